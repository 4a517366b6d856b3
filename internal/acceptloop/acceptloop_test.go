package acceptloop

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// acceptErrors are the errors of accept(2) after which a listener still works.
var acceptErrors = []syscall.Errno{
	syscall.ECONNABORTED,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EPERM,
	syscall.EPROTO,
}

// acceptResult is the result of an Accept of a fakeListener.
type acceptResult struct {
	conn net.Conn
	err  error
}

// fakeListener returns the queued results in order. When the queue is empty,
// Accept blocks like that of a listener without clients.
type fakeListener struct {
	results chan acceptResult
	closed  chan struct{}
}

func newFakeListener() *fakeListener {
	return &fakeListener{results: make(chan acceptResult, 100), closed: make(chan struct{})}
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, acceptError(net.ErrClosed)
	default:
	}
	select {
	case result := <-l.results:
		return result.conn, result.err
	case <-l.closed:
		return nil, acceptError(net.ErrClosed)
	}
}

func (l *fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *fakeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *fakeListener) fail(errno syscall.Errno) {
	l.results <- acceptResult{err: acceptError(os.NewSyscallError("accept4", errno))}
}

// acceptError wraps an error in the same way as a TCP listener.
func acceptError(err error) error { return &net.OpError{Op: "accept", Net: "tcp", Err: err} }

// loopRun records the calls of a running accept loop and whether it has ended.
type loopRun struct {
	handled  []net.Conn
	failed   []error
	failedAt []time.Time
	ended    bool
}

func start(listener net.Listener) *loopRun {
	r := &loopRun{}
	go func() {
		handle := func(conn net.Conn) { r.handled = append(r.handled, conn) }
		failed := func(err error) {
			r.failed = append(r.failed, err)
			r.failedAt = append(r.failedAt, time.Now())
		}
		Run(listener, handle, failed)
		r.ended = true
	}()
	return r
}

// TestErrorsDoNotEndTheLoop checks that each error of accept(2) is reported and
// that the connection after it is handled.
func TestErrorsDoNotEndTheLoop(t *testing.T) {
	for _, errno := range acceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := newFakeListener()
				r := start(listener)
				ours, theirs := net.Pipe()
				defer func() { _ = ours.Close() }()
				defer func() { _ = theirs.Close() }()
				listener.fail(errno)
				listener.results <- acceptResult{conn: ours}
				time.Sleep(2 * backoff)
				synctest.Wait()
				if len(r.failed) != 1 || !errors.Is(r.failed[0], errno) {
					t.Errorf("reported errors %v, want %v", r.failed, errno)
				}
				if len(r.handled) != 1 || r.handled[0] != ours || r.ended {
					t.Errorf("handled %d connections, want 1; ended %v, want false", len(r.handled), r.ended)
				}
				_ = listener.Close()
				synctest.Wait()
				if !r.ended {
					t.Error("the loop is still running after the close of the listener")
				}
			})
		})
	}
}

// TestErrorsDoNotSpin checks that the loop calls Accept exactly once per backoff
// interval while every accept fails, and that the interval does not grow with the
// number of failures.
func TestErrorsDoNotSpin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newFakeListener()
		const rounds = 10
		for range rounds {
			for _, errno := range acceptErrors {
				listener.fail(errno)
			}
		}
		total := rounds * len(acceptErrors)
		begun := time.Now()
		r := start(listener)
		time.Sleep(time.Duration(total+1) * backoff)
		synctest.Wait()
		if len(r.failedAt) != total {
			t.Errorf("%d failed accepts, want %d", len(r.failedAt), total)
		}
		for n, at := range r.failedAt {
			if elapsed := at.Sub(begun); elapsed != time.Duration(n)*backoff {
				t.Errorf("accept %d failed after %v, want %v", n, elapsed, time.Duration(n)*backoff)
			}
		}
		_ = listener.Close()
		synctest.Wait()
		if !r.ended {
			t.Error("the loop is still running after the close of the listener")
		}
	})
}

// TestCloseEndsTheLoop checks that closing the listener ends the loop, both while
// the loop waits for a connection and during a backoff, and that the close is not
// reported as an error.
func TestCloseEndsTheLoop(t *testing.T) {
	for name, failures := range map[string]int{"waiting": 0, "backing off": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := newFakeListener()
				for range failures {
					listener.fail(syscall.EMFILE)
				}
				r := start(listener)
				synctest.Wait()
				_ = listener.Close()
				time.Sleep(2 * backoff)
				synctest.Wait()
				if !r.ended || len(r.failed) != failures || len(r.handled) != 0 {
					t.Errorf("ended %v, %d errors reported, %d connections handled; want true, %d, 0",
						r.ended, len(r.failed), len(r.handled), failures)
				}
			})
		})
	}
}

// TestCloseOfATCPListener checks that the loop handles a connection of a TCP
// listener and ends when the listener is closed.
func TestCloseOfATCPListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handled := make(chan net.Conn)
	ended := make(chan struct{})
	go func() {
		failed := func(err error) { t.Errorf("accept: %v", err) }
		Run(listener, func(conn net.Conn) { handled <- conn }, failed)
		close(ended)
	}()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	_ = (<-handled).Close()
	_ = listener.Close()
	<-ended
}
