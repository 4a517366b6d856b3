package httpfront

import (
	"net"
	"syscall"
	"testing"
)

// failingListener fails a number of accepts with EMFILE, as in a process that is out
// of descriptors, and then reports that it is closed.
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
// connection, and that the close of the listener does neither.
func TestFailedAcceptsEvict(t *testing.T) {
	loop, server, dial := newFakeServer()
	for range 3 {
		dial()
	}
	loop.now += evictableAfterMS + 1
	server.Serve(&failingListener{failures: 2})
	if server.Counters.AcceptErrors != 2 || server.Counters.Evicted != 2 || len(server.connections) != 1 {
		t.Errorf("%d accept errors, %d evicted, %d connections left; want 2, 2, 1",
			server.Counters.AcceptErrors, server.Counters.Evicted, len(server.connections))
	}
}
