package server_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/fakes"
)

// TestConnectionsAsTheListenerCloses guards against requests that are read on a connection
// accepted in the instant in which the listener closes, forwarded, and not answered, also in the
// last moments of the process. Clients connect about once a millisecond around that instant.
func TestConnectionsAsTheListenerCloses(t *testing.T) {
	const (
		clients        = 4
		listenerCloses = 700 * time.Millisecond // after SIGTERM
		window         = 60 * time.Millisecond  // before and after
		interval       = time.Millisecond
		requestTime    = 20 * time.Millisecond
	)
	engine := fakes.NewEngine(t, "s-1", func(a fakes.Attempt) fakes.Behavior {
		return fakes.Behavior{Duration: requestTime, Pages: []string{a.ID + "\t1\tx\n"}}
	})
	f := startFrontEnd(t, "", 1024, engine)
	f.process.Signal(syscall.SIGTERM)
	terminatedAt := time.Now()
	var mu sync.Mutex
	outcomes := map[string]fakes.Outcome{}
	var all sync.WaitGroup
	for client := range clients {
		all.Go(func() {
			time.Sleep(time.Until(terminatedAt.Add(listenerCloses - window)))
			var calls sync.WaitGroup
			for n := 0; time.Since(terminatedAt) < listenerCloses+window; n++ {
				id := fmt.Sprintf("%08x%08x", client+1, n)
				calls.Go(func() {
					o := fakes.Call(f.addr, fakes.Request{
						ID: id, Class: "lookup", Statement: "SELECT 1 FROM count_1.sites", Timeout: time.Second})
					mu.Lock()
					outcomes[id] = o
					mu.Unlock()
				})
				time.Sleep(interval)
			}
			calls.Wait()
		})
	}
	all.Wait()
	if code := f.process.Wait(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	served, refused, unread := 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.Served():
			served++
		case o.Status == 429 || o.Status == 503 || !o.Written:
			refused++
		default:
			unread++
		}
	}
	for _, a := range engine.Attempts() {
		if o := outcomes[a.ID]; o.Status == 0 {
			t.Errorf("%s was forwarded and got no response: %s", a.ID, o.ProtocolError)
		}
	}
	t.Logf("%d requests served, %d refused or not connected, %d on connections that were not accepted", served, refused, unread)
	if served == 0 || served == len(outcomes) {
		t.Errorf("%d of %d requests served: the listener did not close among them", served, len(outcomes))
	}
}
