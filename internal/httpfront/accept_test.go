package httpfront

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/testprocess"
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

// TestQueuedConnectionsAreReadSoon guards against requests that are read so late, behind
// connections that each wait for a slot, that engines get a later deadline than the client
// has.
func TestQueuedConnectionsAreReadSoon(t *testing.T) {
	const queued, slotInterval = 8, 60 * time.Millisecond
	const maxReadDelay = 150 * time.Millisecond
	loop := newSteppedLoop()
	server := New(loop, Options{MaxConnections: 10})
	go loop.runPosted()
	for range cap(server.slots) {
		server.slots <- struct{}{}
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() { // connections that end one by one
		for {
			select {
			case <-time.After(slotInterval):
				<-server.slots
			case <-stop:
				return
			}
		}
	}()
	startedAt := time.Now()
	served := 0
	for range queued {
		here, _ := testprocess.ConnectedPair(t)
		server.ServeConn(here)
		if errors.Is(here.SetDeadline(time.Time{}), net.ErrClosed) {
			continue
		}
		served++
		if delay := time.Since(startedAt); delay > maxReadDelay {
			t.Errorf("a connection was read %v after it was queued, want %v at most", delay, maxReadDelay)
		}
	}
	if served == 0 {
		t.Error("no connection waited for a slot")
	}
}
