package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"review/harness"
	"review/mywire"
)

// The accounts of clients and of the front ends.
const (
	user, password, database   = "uploader", "dock", "stock"
	engineUser, enginePassword = "dewhill", "inner"
)

const loginTimeout = 3 * time.Second

type object = map[string]any

// deployment is a small deployment of the MySQL front: engines, and front ends with a file
// like deploy/mysql.json each. They share nothing, as without replicated state.
type deployment struct {
	c       *harness.Case
	servers []*mywire.Engine
	engines []object // entries of the files
	fronts  []*front
}

// front is a front end: a process of the program, or its successor after a restart.
type front struct {
	d       *deployment
	name    string
	listen  string
	path    string
	control string   // the operators' API; empty: there is none
	env     []string // of the process, beside the usual
	args    string   // of the process, beside the usual
	process *harness.Process
}

// deploy starts servers, one for each engine, and front ends, and waits for their start.
func deploy(c *harness.Case, engines, fronts int) *deployment {
	d := &deployment{c: c}
	for i := range engines {
		d.engines = append(d.engines, d.newServer(fmt.Sprintf("engine-%d", i+1), fmt.Sprintf("server-%d", i+1)))
	}
	for i := range fronts {
		f := &front{d: d, name: fmt.Sprintf("front-%d", i+1), listen: c.FreeAddr()}
		d.fronts = append(d.fronts, f)
		f.write()
		f.start()
	}
	return d
}

// newServer starts a server and returns the entry of an engine that runs there.
func (d *deployment) newServer(engine, server string) object {
	s, err := mywire.StartEngine(server, enginePassword, d.c.Logf)
	d.c.Must(err)
	d.servers = append(d.servers, s)
	return object{"id": engine, "address": s.Addr, "kind": "large", "user": engineUser, "password": enginePassword}
}

// write writes the front end's file.
func (f *front) write() {
	class := func(name, effect string, aim, limit float64) object {
		return object{"name": name, "aimMs": aim, "aimStretch": 1, "hardLimitMs": limit, "value": 1,
			"lateValue": 0.5, "effect": effect, "sequential": effect == "side_effect", "windowMs": 5000}
	}
	f.path = f.d.c.WriteJSON(f.name+".json", object{
		"on":       true,
		"listen":   f.listen,
		"accounts": []any{object{"user": user, "password": password, "database": database}},
		"engines":  f.d.engines,
		"rules": []any{
			object{"verbs": []string{"INSERT", "REPLACE", "LOAD"}, "class": "write", "key": "table", "cost_ms": 1000},
			object{"verbs": []string{"SELECT"}, "class": "read", "cost_ms": 1000},
		},
		"read_class": "read",
		"load_class": "write",
		"limits":     object{"connections": 64, "per_engine": 32, "waiting": 16, "known_ids": 4096, "idle_ms": 60000},
		"settings": object{
			"categories": []any{class("read", "pure", 3000, 10000), class("write", "side_effect", 5000, 60000)},
			"contract": object{"graceToAnswerMs": 20, "stopSendingWithinMs": 500, "coldShare": 0.5,
				"warmWithinMs": 10000, "fallMultiple": 2, "fallMs": 1000},
			"discovery": "push",
			"domain": object{"blockedByLoads": []bool{true, false}, "classLoad": []bool{false, true},
				"coresByKind": []int{8, 16}, "dop": []int{1, 1}, "memoryByKindMb": []int{16384, 32768}},
			"hostTypes": []string{"small", "large"},
			"limits": object{"cancel": true, "retryAfter": true, "maxRetryAfterMs": 500, "tryLimit": 5,
				"connectTimeoutMs": 250},
			"localities":   []string{"here"},
			"replicasOfMe": 1,
			"reporting":    object{"via": "none"},
			"tickMs":       5,
		},
	})
}

// start starts a process and waits until it listens.
func (f *front) start() {
	f.process = f.d.c.Start(f.name, f.env, "-mysql "+f.path+f.args)
	if !f.process.AwaitLog("listening on "+f.listen, 1, 10*time.Second) {
		f.d.c.End(harness.Invalid, "%s does not listen", f.name)
	}
}

// runs returns the runs of the statements that contain a text, at all servers.
func (d *deployment) runs(text string) (list []mywire.Run) {
	for _, s := range d.servers {
		list = append(list, s.Runs(text)...)
	}
	return list
}

func (f *front) dial() (*mywire.Client, error) {
	return mywire.Dial(f.listen, user, password, database, loginTimeout)
}

// query sends a statement on a new connection and records the answer.
func (f *front) query(name, sql string, timeout time.Duration) (*mywire.Reply, error) {
	client, err := f.dial()
	if err != nil {
		f.d.c.Logf("%s: no connection to %s: %v", name, f.name, err)
		return nil, err
	}
	defer client.Close()
	f.d.c.Logf("%s sends to %s: %s", name, f.name, sql)
	reply, err := client.Query(sql, timeout)
	if err != nil {
		f.d.c.Logf("%s: no answer: %v", name, err)
		return nil, err
	}
	f.d.c.Logf("%s gets: %v", name, shorten(reply.String()))
	return reply, nil
}

// ask sends a statement on a new connection.
func (f *front) ask(sql string) (*mywire.Reply, error) {
	client, err := f.dial()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return client.Query(sql, 20*time.Second)
}

func shorten(s string) string { return s[:min(len(s), 160)] }

// traffic is a stream of statements to a front end, each on a connection of its own.
type traffic struct {
	f       *front
	name    string
	sql     string
	stopped chan struct{}
	all     sync.WaitGroup
	mu      sync.Mutex
	answers map[string]int
}

// send starts to send a statement so many times a second, whether or not the earlier ones
// have been answered. A client that finds no front end, or whose connection ends without an
// answer, comes back once, when the front end accepts connections again.
func (f *front) send(name, sql string, perSecond float64) *traffic {
	t := &traffic{f: f, name: name, sql: sql, stopped: make(chan struct{}), answers: map[string]int{}}
	f.d.c.Logf("%s: %v a second to %s: %s", name, perSecond, f.name, sql)
	t.all.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for {
			select {
			case <-t.stopped:
				return
			case <-tick.C:
				t.all.Go(t.one)
			}
		}
	})
	return t
}

func (t *traffic) one() {
	reply, err := t.f.ask(t.sql)
	if err != nil {
		t.count("no answer at first")
		for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if client, dialErr := t.f.dial(); dialErr == nil {
				reply, err = client.Query(t.sql, 20*time.Second)
				client.Close()
				break
			}
		}
	}
	switch {
	case err != nil:
		t.count("no answer")
	case reply.OK:
		t.count("served")
	default:
		text, _, _ := strings.Cut(reply.String(), ":")
		t.count(text)
	}
}

func (t *traffic) count(answer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[answer]++
}

// stop ends the stream and waits for the answers that are due.
func (t *traffic) stop() {
	close(t.stopped)
	t.all.Wait()
	t.f.d.c.Logf("%s: answers %v", t.name, t.answers)
}
