package main

import (
	"fmt"
	"sync"
	"time"

	"dewhill-review-2/my"
	"dewhill-review-2/rig"
)

// playOrder: two front ends replicate their state. Two clients send loads with ids, which
// share their order key, to one of them, 100 ms apart. A datagram between the front ends is
// lost meanwhile.
func playOrder(r *rig.Rig) string {
	engine := &my.Engine{ID: "engine-1", Logf: r.Logf}
	r.Check(engine.Start("127.0.0.1:0"))
	network, own, peers := r.NewDatagrams()
	var fleet []*frontEnd
	for i, name := range []string{"n0", "n1"} {
		f := &frontEnd{name: name, control: r.FreeTCP(), mysql: r.FreeTCP(), http: r.FreeTCP()}
		f.config = r.WritePlatform(rig.Platform{Name: name, Listen: f.http, Control: f.control, PeerListen: own[i],
			Peers: peers[i], Ordinal: i, Engines: map[string]string{"s-1": r.FreeTCP()}})
		f.group = r.WriteText("group-"+name+".toml", "on = true\n[replica]\non = true\n")
		f.mysqlFile = r.WriteJSON("mysql-"+name+".json", r.MySQLConfig(f.mysql, map[string]string{"engine-1": engine.Addr()}))
		f.start(r)
		fleet = append(fleet, f)
	}
	for _, f := range fleet {
		r.Until(f.name+" to be ready", 30*time.Second, f.ready)
	}
	var clients []*my.Client
	for i := range 2 {
		client, err := my.Dial(fleet[0].mysql, "uploader", "secret", "", 3*time.Second)
		r.Check(err)
		clients = append(clients, client)
		_, err = client.Query(fmt.Sprintf("REPLACE /* dewhill: id=first-%d */ INTO stock_1.levels VALUES (7, 0)", i), 10*time.Second)
		r.Check(err) // the connections of both have been in use
	}
	time.Sleep(500 * time.Millisecond)

	loads := []string{
		"REPLACE /* dewhill: id=batch-1 */ INTO stock_1.levels VALUES (7, 100)",
		"REPLACE /* dewhill: id=batch-2 */ INTO stock_1.levels VALUES (7, 200)",
	}
	var all sync.WaitGroup
	answers := make([]error, 2)
	send := func(i int) {
		r.Logf("client %d: sends %q", i, loads[i])
		all.Go(func() {
			_, answers[i] = clients[i].Query(loads[i], 20*time.Second)
			r.Logf("client %d: answer %v", i, answers[i])
		})
	}
	if r.Trouble {
		network.Lose(0, true)
	}
	send(0)
	time.Sleep(50 * time.Millisecond)
	if r.Trouble {
		network.Lose(0, false)
	}
	time.Sleep(50 * time.Millisecond)
	send(1)
	all.Wait()
	first, second := engine.Runs("batch-1"), engine.Runs("batch-2")
	if len(first) != 1 || len(second) != 1 || answers[0] != nil || answers[1] != nil {
		r.Fail("batch-1 ran %d times (%v), batch-2 %d times (%v)", len(first), answers[0], len(second), answers[1])
	}
	if second[0].Start.Before(first[0].Start) {
		return fmt.Sprintf("batch-2, taken 100 ms after batch-1 and with the same key, ran %v before it",
			first[0].Start.Sub(second[0].Start).Round(time.Millisecond))
	}
	return ""
}
