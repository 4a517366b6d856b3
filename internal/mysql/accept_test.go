package mysql

import (
	"net"
	"syscall"
	"testing"
)

// failingListener fails the given number of Accept calls as if the process were out of
// file descriptors, and then behaves like a closed listener.
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

// postingLoop is a fakeLoop that runs posted functions immediately.
type postingLoop struct{ fakeLoop }

func (loop *postingLoop) Post(f func()) { f() }

// TestFailedAcceptsAreCounted checks that the server counts failed Accept calls, except
// the one that fails because the listener was closed.
func TestFailedAcceptsAreCounted(t *testing.T) {
	server := NewServer(&postingLoop{}, &Config{})
	server.Serve(&failingListener{failures: 3})
	if server.Counters.AcceptErrors != 3 {
		t.Errorf("%d accept errors counted, want 3", server.Counters.AcceptErrors)
	}
}
