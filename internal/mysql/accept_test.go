package mysql

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

// postingLoop runs what is posted at once.
type postingLoop struct{ fakeLoop }

func (loop *postingLoop) Post(f func()) { f() }

// TestFailedAcceptsAreCounted checks that the server counts failed accepts, but not the
// listener's close.
func TestFailedAcceptsAreCounted(t *testing.T) {
	server := NewServer(&postingLoop{}, &Config{})
	server.Serve(&failingListener{failures: 3})
	if server.Counters.AcceptErrors != 3 {
		t.Errorf("%d accept errors", server.Counters.AcceptErrors)
	}
}
