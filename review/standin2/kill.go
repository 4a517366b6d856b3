package main

import (
	"fmt"
	"sync"
	"time"

	"dewhill-review-2/my"
	"dewhill-review-2/rig"
)

// playKill: the machine of one of four engines vanishes under the load of one client, and
// is back 8 s later. Then the deadline of that load passes, while the loads of other clients
// run on the engine.
func playKill(r *rig.Rig) string {
	const (
		engineCount = 4
		loadCount   = 16
	)
	engines := map[string]*my.Engine{}
	relays := map[string]*rig.Relay{}
	addrs := map[string]string{}
	for i := range engineCount {
		id := fmt.Sprintf("engine-%d", i+1)
		engines[id] = &my.Engine{ID: id, Logf: r.Logf}
		r.Check(engines[id].Start("127.0.0.1:0"))
		relays[id] = r.NewRelay(engines[id].Addr())
		addrs[id] = relays[id].Addr
	}
	listen := r.FreeTCP()
	r.StartFront("mysql", "", "-mysql", r.WriteJSON("mysql.json", r.MySQLConfig(listen, addrs)))
	r.Until("the front end to listen", 10*time.Second, func() bool { return rig.Accepts(listen) })

	var all sync.WaitGroup
	send := func(name, load string) {
		client, err := my.Dial(listen, "uploader", "secret", "", 3*time.Second)
		r.Check(err)
		all.Go(func() {
			defer client.Close()
			r.Logf("%s: sends %q", name, load)
			_, err := client.Query(load, 30*time.Second)
			r.Logf("%s: answer %v", name, err)
		})
	}
	runs := func(text string) (list []my.Run) {
		for _, e := range engines {
			list = append(list, e.Runs(text)...)
		}
		return list
	}
	begin := time.Now()
	send("client 0", "INSERT /* dewhill: id=batch-0 deadline=14000 */ INTO stock_100.trips VALUES (0) /* ms=3000 */")
	r.Until("the load to begin", 5*time.Second, func() bool { return len(runs("id=batch-0 ")) == 1 })
	hit := runs("id=batch-0 ")[0].Engine
	time.Sleep(time.Second)
	if r.Trouble {
		r.Logf("the machine of %s vanishes", hit)
		relays[hit].Vanish()
		engines[hit].Stop()
	}
	time.Sleep(8 * time.Second)
	if r.Trouble {
		r.Check(engines[hit].Start("127.0.0.1:0"))
		relays[hit].Return(engines[hit].Addr())
		r.Logf("the machine of %s is back", hit)
	}
	time.Sleep(time.Until(begin.Add(11 * time.Second)))
	for i := 1; i <= loadCount; i++ {
		send(fmt.Sprint("client ", i), fmt.Sprintf("INSERT /* dewhill: id=batch-%d */ INTO stock_%d.trips VALUES (%d) /* ms=6000 */", i, i, i))
	}
	all.Wait()
	reached := 0
	for i := 1; i <= loadCount; i++ {
		for _, run := range runs(fmt.Sprintf("id=batch-%d ", i)) {
			if run.Engine == hit {
				reached++
			}
			if run.Killed {
				client, err := my.Dial(listen, "uploader", "secret", "", 3*time.Second)
				r.Check(err)
				_, err = client.Query(run.SQL, 10*time.Second)
				r.Logf("client %d: repeats its load by its id: answer %v", i, err)
				return fmt.Sprintf("the load batch-%d, whose client waited and whose deadline was 60 s, was ended on %s by KILL QUERY %d, which was meant for batch-0",
					i, run.Engine, run.ConnectionID)
			}
		}
	}
	if reached == 0 {
		r.Fail("no load reached %s", hit)
	}
	return ""
}
