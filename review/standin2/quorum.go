package main

import (
	"fmt"
	"syscall"
	"time"

	"dewhill-review-2/my"
	"dewhill-review-2/rig"
)

// frontEnd is a front end with both fronts, which replicates its state.
type frontEnd struct {
	name, control, mysql, http string
	config, group, mysqlFile   string
	process                    *rig.Process
}

func (f *frontEnd) start(r *rig.Rig) {
	f.process = r.StartFront(f.name, f.config, "-group", f.group, "-mysql", f.mysqlFile)
}

// state returns the answer to GET /control/state.
func (f *frontEnd) state() string {
	_, body, _ := rig.HTTP("GET", "http://"+f.control+"/control/state", time.Second)
	return body
}

// ready reports whether GET /control/ready answers with 200.
func (f *frontEnd) ready() bool {
	status, _, err := rig.HTTP("GET", "http://"+f.control+"/control/ready", time.Second)
	return err == nil && status == 200
}

// seededFleet returns front ends that join by seeds: the address of the first one.
func seededFleet(r *rig.Rig, names []string, engines, mysqlEngines map[string]string) []*frontEnd {
	var fleet []*frontEnd
	seed := ""
	for i, name := range names {
		peer := r.FreeUDP()
		if i == 0 {
			seed = peer
		}
		f := &frontEnd{name: name, control: r.FreeTCP(), mysql: r.FreeTCP(), http: r.FreeTCP()}
		f.config = r.WritePlatform(rig.Platform{Name: name, Listen: f.http, Control: f.control, PeerListen: peer, Ordinal: i, Engines: engines})
		f.group = r.WriteText("group-"+name+".toml", fmt.Sprintf("on = true\nseeds = [%q]\n[replica]\non = true\n", seed))
		f.mysqlFile = r.WriteJSON("mysql-"+name+".json", r.MySQLConfig(f.mysql, mysqlEngines))
		fleet = append(fleet, f)
	}
	return fleet
}

// playQuorum: one front end is in service and runs a load. It is paused, and a second one
// is switched on, which joins by the address of the first. The load's client repeats it
// through the second one.
func playQuorum(r *rig.Rig) string {
	engine := &my.Engine{ID: "engine-1", Logf: r.Logf}
	r.Check(engine.Start("127.0.0.1:0"))
	fleet := seededFleet(r, []string{"n0", "n1"}, map[string]string{"s-1": r.FreeTCP()}, map[string]string{"engine-1": engine.Addr()})
	first, second := fleet[0], fleet[1]
	first.start(r)
	r.Until("n0 to be ready", 20*time.Second, first.ready)
	const load = "INSERT /* dewhill: id=batch-0413 */ INTO stock_1.trips VALUES (1) /* ms=2000 */"
	client, err := my.Dial(first.mysql, "uploader", "secret", "", 3*time.Second)
	r.Check(err)
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		r.Logf("client: sends %q to n0", load)
		_, err := client.Query(load, 4*time.Second)
		r.Logf("client: answer %v", err)
	}()
	r.Until("the load to begin", 5*time.Second, func() bool { return len(engine.Runs("batch-0413")) == 1 })
	if r.Trouble {
		first.process.Signal(syscall.SIGSTOP)
	}
	paused := time.Now()
	second.start(r)
	r.Until("n1 to listen", 10*time.Second, func() bool { return rig.Accepts(second.mysql) })
	<-lost
	client.Close()
	r.Logf("n1 answers /control/ready with 200: %v", second.ready())
	var answer error
	for time.Since(paused) < 11*time.Second {
		again, err := my.Dial(second.mysql, "uploader", "secret", "", 3*time.Second)
		r.Check(err)
		r.Logf("client: repeats %q through n1", load)
		_, answer = again.Query(load, 8*time.Second)
		again.Close()
		r.Logf("client: answer to the repeat %v", answer)
		if my.CodeOf(answer) != 1226 { // refused, nothing ran: it may be sent again
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.Logf("n1's state: %s", second.state())
	if r.Trouble {
		time.Sleep(time.Until(paused.Add(8 * time.Second)))
		first.process.Signal(syscall.SIGCONT)
		time.Sleep(4 * time.Second)
	}
	r.Logf("n0's state: %s", first.state())
	done := 0
	for _, run := range engine.Runs("batch-0413") {
		if run.Done {
			done++
		}
	}
	r.Logf("the load was applied %d times", done)
	if done > 1 {
		return fmt.Sprintf("the load batch-0413 was applied %d times", done)
	}
	return ""
}
