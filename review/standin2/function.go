package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"dewhill-review-2/my"
	"dewhill-review-2/rig"
)

// playFunction: a client sends a load with an id that is written as a SELECT of a stored
// function, loses its connection before the answer, and repeats the load by its id.
func playFunction(r *rig.Rig) string {
	engine := &my.Engine{ID: "engine-1", Logf: r.Logf}
	engine.Rows = func(string) [][]string { return [][]string{{"7"}} }
	r.Check(engine.Start("127.0.0.1:0"))
	listen := r.FreeTCP()
	config := r.MySQLConfig(listen, map[string]string{"engine-1": engine.Addr()})
	// No rule says what a SELECT is, as in a file that the importer writes: the page's
	// default decides.
	config["rules"] = nil
	r.StartFront("mysql", "", "-mysql", r.WriteJSON("mysql.json", config))
	r.Until("the front end to listen", 10*time.Second, func() bool { return rig.Accepts(listen) })
	relay := r.NewRelay(listen)

	const load = "SELECT /* dewhill: id=batch-0413 */ stock.add_batch('batch-0413') /* ms=300 */"
	first, err := my.Dial(relay.Addr, "uploader", "secret", "", 3*time.Second)
	r.Check(err)
	var lost atomic.Bool
	if r.Trouble {
		relay.OnReply(func(n int) bool {
			if lost.Swap(true) {
				return false
			}
			r.Logf("network: the answer of %d bytes is lost, and the client's connection is reset", n)
			return true
		})
	}
	r.Logf("client: sends %q", load)
	rows, err := first.Query(load, 5*time.Second)
	r.Logf("client: answer %v, %v", rows, err)
	if err != nil {
		time.Sleep(500 * time.Millisecond)
		second, err := my.Dial(relay.Addr, "uploader", "secret", "", 3*time.Second)
		r.Check(err)
		r.Logf("client: repeats %q", load)
		rows, err = second.Query(load, 5*time.Second)
		r.Logf("client: answer to the repeat %v, %v", rows, err)
	}
	done := 0
	for _, run := range engine.Runs("add_batch") {
		if run.Done {
			done++
		}
	}
	r.Logf("the load was applied %d times", done)
	if done == 0 || r.Trouble && !lost.Load() {
		r.Fail("the load was not applied, or no answer was lost")
	}
	if done > 1 {
		return fmt.Sprintf("the load batch-0413 was applied %d times", done)
	}
	return ""
}
