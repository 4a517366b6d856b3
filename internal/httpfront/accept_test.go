package httpfront

import (
	"net"
	"syscall"
	"testing"
)

// failingListener is a listener of a process that is out of descriptors for so many
// accepts, and is closed then.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures == 0 {
		return nil, net.ErrClosed
	}
	l.failures--
	return nil, syscall.EMFILE
}

// TestFailedAcceptsEvict checks that each failed accept is counted and evicts a
// connection, and that the listener's close does neither.
func TestFailedAcceptsEvict(t *testing.T) {
	loop, server, dial := newFakeServer()
	for range 3 {
		dial()
	}
	loop.now += evictableAfterMS + 1
	server.Serve(&failingListener{failures: 2})
	if server.Counters.AcceptErrors != 2 || server.Counters.Evicted != 2 || len(server.connections) != 1 {
		t.Errorf("%d accept errors, %d evicted, %d connections",
			server.Counters.AcceptErrors, server.Counters.Evicted, len(server.connections))
	}
}
