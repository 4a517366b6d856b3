package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/harness"
)

// platformSettings are settings of the platform's front, like those of the site
// sapporo-main.
func platformSettings(ordinal, fronts int) object {
	class := func(name, effect string, aim, limit float64) object {
		return object{"name": name, "aimMs": aim, "aimStretch": 2, "hardLimitMs": limit, "value": 1, "lateValue": 0.3,
			"effect": effect, "group": "all", "sequential": effect == "side_effect", "stream": false, "windowMs": 5000}
	}
	return object{
		"categories": []any{class("lookup", "pure", 1000, 5000), class("report", "pure", 3000, 15000),
			class("load", "side_effect", 3000, 25000)},
		"contract": object{"coldShare": 0.33, "fallMs": 1500, "fallMultiple": 4, "graceToAnswerMs": 20,
			"mustAskInMs": 10000, "orderSettleMs": 0, "stopSendingWithinMs": 500, "warmWithinMs": 15000},
		"discovery": "push",
		"domain": object{"blockedByLoads": []bool{true, true, false}, "classLoad": []bool{false, false, true},
			"coresByKind": []int{8, 16}, "dop": []int{1, 3, 2}, "memoryByKindMb": []int{16384, 32768}, "takesPriority": true},
		"hostTypes": []string{"std-8", "std-16"},
		"limits": object{"cancel": true, "connIdleMs": 15000, "connectTimeoutMs": 250, "maxOpen": 20000,
			"maxRetryAfterMs": 500, "mayTell": true, "probes": true, "retryAfter": true, "secondCopies": false,
			"streamsPerConn": 32, "tryLimit": 5},
		"localities":   []string{"sapporo-dc"},
		"ordinal":      ordinal,
		"replicasOfMe": fronts,
		"reporting":    object{"fields": []string{"rif", "busy", "x1"}, "via": "answers"},
		"stages":       []string{"query-fleet"},
		"tickMs":       5, "tier": 0, "weights": "none", "zone": 0,
	}
}

// freeUDP returns a loopback address whose UDP port is free.
func freeUDP(c *harness.Case) string {
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Must(err)
	defer func() { _ = l.Close() }()
	return l.LocalAddr().String()
}

// startFleet starts front ends with both fronts and replicated state, without disks. Each
// lists the others as its peers. They are ready when it returns, and their votes count.
func (d *deployment) startFleet(fronts int) {
	var peers []string
	for range fronts {
		peers = append(peers, freeUDP(d.c))
	}
	group := filepath.Join(d.c.Temp, "group.toml")
	d.c.Must(os.WriteFile(group, []byte("on = true\n\n[replica]\non = true\n"), 0o600))
	host := object{"host": "s-00c41f7a", "dial": d.c.FreeAddr(), "site": "sapporo-dc", "class": "std-8", "block": 0,
		"health": "active", "share": 1, "born_ms": 0}
	known := object{"rev": 1, "notices": []any{object{"rev": 1,
		"pool": object{"seq": 1, "whole": true, "hosts": []any{host}}}}}
	for i := range fronts {
		f := &front{d: d, name: fmt.Sprintf("front-%d", i+1), listen: d.c.FreeAddr(), control: d.c.FreeAddr()}
		f.write()
		path := d.c.WriteJSON(f.name+"-platform.json", object{
			"name": f.name, "listen": d.c.FreeAddr(), "control": f.control,
			"seed":        fmt.Sprintf("%x", time.Now().UnixNano()+int64(i)),
			"limits":      object{"cores": 1, "memory_mb": 192, "sockets": 1024},
			"peer_listen": peers[i], "peers": peers, "known": known, "settings": platformSettings(i, fronts),
		})
		f.env = []string{"PROXY_CONFIG=" + path}
		f.args = " -group " + group
		d.fronts = append(d.fronts, f)
		f.start()
	}
	for _, f := range d.fronts {
		if !f.awaitReady(10*time.Second) || !f.process.AwaitLog("lease: voting", 1, 20*time.Second) {
			d.c.End(harness.Invalid, "%s does not get ready", f.name)
		}
	}
}

// get calls the operators' API.
func (f *front) get(path string) (status int, body string) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.control + path)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text))
}

// awaitReady waits until the front end says that it is ready.
func (f *front) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := f.get("/control/ready"); status == http.StatusOK {
			f.d.c.Logf("%s says that it is ready", f.name)
			return true
		}
	}
	return false
}

// logState records what the operators' API says.
func (f *front) logState() {
	ready, _ := f.get("/control/ready")
	_, state := f.get("/control/state")
	f.d.c.Logf("%s: /control/ready %d, /control/state %s", f.name, ready, state)
}

// rolling: loads with ids run; then one front end after another is restarted as planned,
// the next only when the last has been ready for seconds. Then some loads are repeated.
func rolling(c *harness.Case) {
	const (
		fronts  = 3
		servers = 2
		ids     = 2760 // ten minutes of loads: 5% of 92 queries a second
		perS    = 90   // fewer than the site's 92 queries a second
		every   = 20   // one in so many loads is repeated
		runs    = 13 * time.Second
		grace   = 3700 * time.Millisecond // from SIGTERM to SIGKILL at a planned restart
	)
	d := deploy(c, servers, 0)
	d.startFleet(fronts)
	sql := func(n int) string {
		return fmt.Sprintf("/* dewhill: id=batch-%04d key=dock-%04d */ INSERT INTO trips_5.batch VALUES (%d)", n, n, n)
	}
	var all sync.WaitGroup
	var ok atomic.Int64
	tick := time.NewTicker(time.Second / perS)
	for n := range ids {
		<-tick.C
		all.Go(func() {
			f := d.fronts[n%fronts]
			reply, err := f.ask(sql(n))
			if err == nil && reply.OK {
				ok.Add(1)
			}
			c.Logf("load %d sent to %s, answer: %v, error: %v", n, f.name, reply, err)
		})
	}
	tick.Stop()
	all.Wait()
	c.Logf("%d of %d loads were answered with OK", ok.Load(), ids)
	time.Sleep(2 * time.Second)
	for _, f := range d.fronts {
		f.logState()
	}
	if c.Trouble {
		for _, f := range d.fronts {
			f.process.Signal(syscall.SIGTERM)
			if !f.process.Exited(grace) {
				f.process.Kill()
			}
			f.start()
			if !f.awaitReady(10 * time.Second) {
				c.End(harness.Invalid, "%s does not get ready", f.name)
			}
			time.Sleep(runs)
			f.logState()
		}
	}
	answers := map[string]int{}
	for n := 0; n < ids; n += every {
		reply, err := d.fronts[0].ask(sql(n))
		c.Logf("load %d sent again to %s, answer: %v, error: %v", n, d.fronts[0].name, reply, err)
		answer := "no answer"
		if err == nil {
			answer, _, _ = strings.Cut(reply.String(), ":")
		}
		answers[answer]++
	}
	c.Logf("answers to %d repeats: %v", ids/every, answers)
	count := map[string]int{}
	for _, run := range d.runs("batch-") {
		count[run.SQL]++
	}
	twice := 0
	for n := range ids {
		if count[sql(n)] > 1 {
			twice++
			c.Logf("ran %d times: %s", count[sql(n)], sql(n))
		}
	}
	if int64(len(count)) < ok.Load() {
		c.End(harness.Invalid, "%d loads were answered with OK, and %d ran", ok.Load(), len(count))
	}
	if twice > 0 {
		c.End(harness.Broken, "%d of %d loads that were repeated ran twice", twice, ids/every)
	}
	c.End(harness.Held, "none of the %d loads that were repeated ran twice", ids/every)
}
