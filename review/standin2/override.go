package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"dewhill-review-2/my"
	"dewhill-review-2/rig"
)

// playOverride: an operator takes an engine out of service for the fleet; then a front end
// is restarted.
func playOverride(r *rig.Rig) string {
	bad, good := r.NewEngine("s-1", 20), r.NewEngine("s-2", 20)
	sqlEngine := &my.Engine{ID: "engine-1", Logf: r.Logf}
	r.Check(sqlEngine.Start("127.0.0.1:0"))
	fleet := seededFleet(r, []string{"n0", "n1"}, map[string]string{"s-1": bad.Addr, "s-2": good.Addr},
		map[string]string{"engine-1": sqlEngine.Addr()})
	first, second := fleet[0], fleet[1]
	for _, f := range fleet {
		f.start(r)
	}
	for _, f := range fleet {
		r.Until(f.name+" to be ready", 20*time.Second, f.ready)
	}
	status, body, err := rig.HTTP("POST", "http://"+first.control+"/control/engines/s-1/offline", 5*time.Second)
	r.Logf("operator: engines/s-1/offline at n0: %d %s %v", status, body, err)
	if status != 200 {
		r.Fail("the override failed")
	}
	time.Sleep(2 * time.Second) // both have it
	r.Logf("n1's state: %s", second.state())
	if r.Trouble {
		second.process.Signal(syscall.SIGTERM)
		r.Until("n1 to end", 10*time.Second, func() bool { return !second.process.Running() })
		second.start(r)
	}
	since := time.Now()
	r.Until("n1 to be healthy", 10*time.Second, func() bool {
		status, _, err := rig.HTTP("GET", "http://"+second.http+"/-/healthy", time.Second)
		return err == nil && status == 200
	})
	r.Logf("n1 answers /-/healthy with 200; clients come")
	var all sync.WaitGroup
	for i := range 300 { // 3 s of 100 requests a second
		all.Go(func() {
			id := fmt.Sprintf("%016x", 0xabc000+i)
			status, body, err := rig.Post(second.http, "lookup", id, "SELECT a, b, c FROM stock_1.trips", 4000)
			if i%20 == 0 || err != nil {
				r.Logf("client: request %s: %s %s %v", id, status, body, err)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	all.Wait()
	r.Logf("n1's state: %s", second.state())
	late := bad.Pulls(since)
	if len(good.Pulls(since)) == 0 {
		r.Fail("no request reached s-2")
	}
	if len(late) > 0 {
		return fmt.Sprintf("engine s-1, out of service, got %d requests from n1, the first %v after n1's start, the last %v after it",
			len(late), late[0].At.Sub(since).Round(time.Millisecond), late[len(late)-1].At.Sub(since).Round(time.Millisecond))
	}
	return ""
}
