package main

import (
	"strings"
	"syscall"
	"time"

	"review/harness"
	"review/mywire"
)

// moved: one of four engines gets another server, at another address, by a new
// configuration and SIGHUP. A load is under way at the old server, which stays up.
func moved(c *harness.Case) {
	const (
		told   = 4 * time.Second        // what SIGHUP brings counts as told by then
		within = 500 * time.Millisecond // stopSendingWithinMs
		slack  = 50 * time.Millisecond  // on sockets
		lasts  = 14 * time.Second
	)
	d := deploy(c, 4, 1)
	f := d.fronts[0]
	streams := []*traffic{f.send("reads", "SELECT n FROM trips_5.docks /* work=600 */", 8)}
	for _, table := range []string{"trips_1.batch", "trips_2.batch", "trips_3.batch", "trips_4.batch"} {
		streams = append(streams, f.send("loads", "INSERT INTO "+table+" VALUES (1), (2) /* work=600 */", 1))
	}
	time.Sleep(3 * time.Second)
	i := d.awaitLoad(5 * time.Second)
	if i < 0 {
		c.End(harness.Invalid, "no load runs")
	}
	old := d.servers[i]
	if c.Trouble {
		id := d.engines[i]["id"].(string)
		d.engines[i] = d.newServer(id, old.ID+"-new")
		f.write()
		c.Logf("%s has moved from %s to %s", id, old.Addr, d.engines[i]["address"])
		f.process.Signal(syscall.SIGHUP)
		if !f.process.AwaitLog("4 engines read", 1, told) {
			c.End(harness.Invalid, "the configuration was not read")
		}
	}
	at := time.Now()
	time.Sleep(lasts)
	for _, s := range streams {
		s.stop()
	}
	lateLoads, lateReads := 0, 0
	for _, run := range old.Runs("") {
		switch {
		case !c.Trouble || run.Started.Sub(at) <= told+within+slack:
		case isLoad(&run):
			lateLoads++
		default:
			lateReads++
		}
	}
	if lateLoads+lateReads > 0 {
		c.End(harness.Broken, "the old server got %d loads and %d reads later than %v after SIGHUP",
			lateLoads, lateReads, told+within+slack)
	}
	c.End(harness.Held, "the old server got nothing that it should not get")
}

func isLoad(run *mywire.Run) bool { return strings.HasPrefix(run.SQL, "INSERT") }

// awaitLoad waits until a load has just begun at a server, and returns the server's index.
func (d *deployment) awaitLoad(timeout time.Duration) int {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for i, s := range d.servers {
			for _, run := range s.Runs("") {
				if isLoad(&run) && run.Ended.IsZero() && time.Since(run.Started) < 100*time.Millisecond {
					return i
				}
			}
		}
	}
	return -1
}
