package main

import (
	"sync/atomic"
	"time"

	"review/harness"
)

// retry: a front end dies under a load with an id and comes back. Its clients come back as
// well, so it meets its limit of open requests at first. The uploader marks its repeats.
func retry(c *harness.Case) {
	const (
		id      = "batch-0413"
		load    = "INSERT INTO trips_5.batch VALUES (1), (2) /* work=1200 */"
		read    = "SELECT n FROM trips_5.docks /* work=400 */"
		reads   = 10.0 // a second; 4 are open in the mean, of at most 16
		downFor = 2 * time.Second
		wait    = 200 * time.Millisecond // before a client's own retry
		away    = 500 * time.Millisecond // as the front end asks in its refusals
	)
	d := deploy(c, 2, 3)
	f := d.fronts[0]
	others := d.fronts[1].send("reads at another front end", read, reads)
	readers := f.send("reads", read, reads)
	time.Sleep(1500 * time.Millisecond)

	var answered atomic.Bool
	first := make(chan struct{})
	go func() {
		defer close(first)
		reply, err := f.query("uploader", "/* dewhill: id="+id+" */ "+load, 20*time.Second)
		answered.Store(err == nil && reply.OK)
	}()
	time.Sleep(600 * time.Millisecond)
	if c.Trouble {
		f.process.Kill()
	}
	<-first
	time.Sleep(downFor)
	if n := len(d.runs(id)); n != 1 {
		c.End(harness.Invalid, "the first try began to run %d times, not once", n)
	}
	if c.Trouble {
		f.start()
	}
	time.Sleep(wait)
	refused := 0
	for range 6 {
		reply, err := f.query("uploader", "/* dewhill: id="+id+" retry=yes */ "+load, 20*time.Second)
		if err != nil || reply.Code != 1226 {
			break
		}
		refused++
		time.Sleep(away)
	}
	readers.stop()
	others.stop()
	runs := d.runs(id)
	for _, run := range runs {
		c.Logf("run at %s: %s", run.Engine, run.SQL)
	}
	if len(runs) > 1 {
		c.End(harness.Broken, "the load ran %d times; its marked repeat was refused %d times and then ran", len(runs), refused)
	}
	c.End(harness.Held, "the load ran once (first try answered: %v; its marked repeat was refused %d times)", answered.Load(), refused)
}
