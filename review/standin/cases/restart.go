package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"review/harness"
)

// restart: one of four front ends gets SIGTERM for a planned restart. Clients go on
// connecting to it for 0.2 s; each sends a statement as soon as it has logged in.
func restart(c *harness.Case) {
	const (
		every   = 20 * time.Millisecond
		arrive  = 200 * time.Millisecond
		crosses = 50 * time.Millisecond // a request that crosses a close so far is sent again once
		read    = "SELECT n FROM trips_5.docks /* work=20 */"
		load    = "INSERT INTO trips_5.batch VALUES (1), (2) /* work=20 */"
	)
	d := deploy(c, 2, 4)
	f := d.fronts[0]
	if reply, err := f.query("early client", read, 5*time.Second); err != nil || !reply.OK {
		c.End(harness.Invalid, "no answer before the restart")
	}
	at := time.Now()
	if c.Trouble {
		f.process.Signal(syscall.SIGTERM)
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	taken, lost := 0, 0
	// send sends a statement on a new connection. It reports whether it was written to a
	// connection that was accepted and logged in, whether it was answered, and whether the
	// connection ended so soon that the statement may have crossed its close.
	send := func(name, sql string) (sent, answered, crossed bool) {
		client, err := f.dial()
		if err != nil {
			c.Logf("%s: not connected: %v", name, err)
			return false, false, false
		}
		defer func() { _ = client.Conn.Close() }()
		began := time.Now()
		c.Logf("%s: logged in %v after the signal, sends: %s", name, began.Sub(at).Round(time.Millisecond), sql)
		reply, err := client.Query(sql, 15*time.Second)
		if err != nil {
			c.Logf("%s: no answer, the connection ended after %v: %v", name, time.Since(began).Round(time.Microsecond), err)
			return true, false, time.Since(began) <= crosses
		}
		c.Logf("%s gets: %v", name, reply)
		return true, true, false
	}
	for i := 0; time.Since(at)+every <= arrive; i++ {
		time.Sleep(every)
		sql := read
		if i%2 == 1 {
			sql = load
		}
		all.Go(func() {
			name := fmt.Sprintf("client %d", i)
			sent, answered, crossed := send(name, sql)
			if sent && !answered && crossed {
				sent, answered, _ = send(name, sql)
			}
			mu.Lock()
			defer mu.Unlock()
			if sent {
				taken++
			}
			if sent && !answered {
				lost++
			}
		})
	}
	all.Wait()
	c.Logf("%d statements ran", len(d.runs("trips_5"))-1)
	if lost > 0 {
		c.End(harness.Broken, "%d of %d clients that logged in got no answer to their statement", lost, taken)
	}
	c.End(harness.Held, "all %d clients that logged in got an answer", taken)
}
