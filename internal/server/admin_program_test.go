package server_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// startWithAdminAPI starts a front end with an operators' API and returns the API's
// address.
func startWithAdminAPI(t *testing.T, engines ...*fakes.Engine) (f *frontEndProcess, operators string) {
	t.Helper()
	operators = testprocess.FreeAddr(t)
	t.Setenv("PROXY_CONTROL", operators)
	return startFrontEnd(t, "", 256, engines...), operators
}

// selectFromGroup returns a statement that reads the k-th group of tables. Reads avoid the
// engine that is preferred for the loads of their group, so that reads of many groups
// reach every engine.
func selectFromGroup(k int) string { return fmt.Sprintf("SELECT a FROM sales_%d.orders", k) }

// expectCallStatus calls the operators' API and checks the status of the response.
func expectCallStatus(t *testing.T, operators, method, path string, want int) {
	t.Helper()
	if status, _ := callOperatorAPI(operators, method, path); status != want {
		t.Errorf("%s %s: status %d, want %d", method, path, status, want)
	}
}

// The operators' API reports the responses of each class by outcome, the requests written
// to engines, the open requests, and the listed engines.
func TestOperatorCounters(t *testing.T) {
	e := fakes.NewScriptedEngine(t, "s-1", func(c fakes.Command) string {
		switch c.Statement {
		case "error":
			return replyError(c)
		case "full":
			return replyFull(c)
		default:
			return replyOneRow(c)
		}
	})
	f, operators := startWithAdminAPI(t, e)
	c := f.connect()
	for k, statement := range []string{"x", "x", "error"} {
		c.roundTrip(loadMessage(k, statement))
	}
	c.roundTrip(requestMessage("lookup", requestID(9), "Req-Wait-Ms: 300\r\n", "full"))
	sent := len(e.Attempts())
	status, body := callOperatorAPI(operators, "GET", "counters")
	var counters struct {
		Classes        map[string]struct{ Success, Busy, Failure int } `json:"calls"`
		OpenRequests   int                                             `json:"inflight"`
		EngineRequests int                                             `json:"backend_calls"`
		ListedEngines  int                                             `json:"hosts_listed"`
	}
	if err := json.Unmarshal(body, &counters); status != 200 || err != nil {
		t.Fatalf("status %d, %q: %v", status, body, err)
	}
	if load := counters.Classes["load"]; load.Success != 2 || load.Failure != 1 || load.Busy != 0 {
		t.Errorf("loads: %+v", load)
	}
	if lookup := counters.Classes["lookup"]; lookup.Success != 0 || lookup.Failure != 0 || lookup.Busy != 1 {
		t.Errorf("lookups: %+v", lookup)
	}
	if counters.EngineRequests != sent || counters.OpenRequests != 0 || counters.ListedEngines != 1 {
		t.Errorf("%d requests at the engine, %s", sent, body)
	}
}

// A disabled engine receives no new request until it is enabled. The API rejects an engine
// id that was never listed, an unknown path and a wrong method. 40 connections to the API
// with an incomplete call do not block other calls.
func TestEngineOverride(t *testing.T) {
	a, b := fakes.NewScriptedEngine(t, "s-1", replyOneRow), fakes.NewScriptedEngine(t, "s-2", replyOneRow)
	f, operators := startWithAdminAPI(t, a, b)
	for range 40 {
		c, err := net.Dial("tcp", operators)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "GET /control/re") // the API may have closed the connection
	}
	for call, want := range map[string]int{
		"GET ready":                200,
		"POST ready":               405,
		"GET engines/s-1/offline":  405,
		"GET none":                 404,
		"POST engines/s-3/offline": 404,
		"POST engines/s-1/away":    404,
		"POST engines/s-1/offline": 200,
	} {
		method, path, _ := strings.Cut(call, " ")
		expectCallStatus(t, operators, method, path, want)
	}
	c := f.connect()
	for k := range 20 {
		c.roundTrip(lookupMessage(k, selectFromGroup(k)))
	}
	if len(a.Attempts()) != 0 {
		t.Errorf("%d requests at the disabled engine, want none", len(a.Attempts()))
	}
	_, counters := callOperatorAPI(operators, "GET", "counters")
	if !strings.Contains(string(counters), `"hosts_down":1,"hosts_listed":2`) {
		t.Errorf("counters %s, want 1 of 2 engines disabled", counters)
	}
	for range 2 { // one call enables an engine that was disabled several times
		callOperatorAPI(operators, "POST", "engines/s-1/offline")
	}
	callOperatorAPI(operators, "POST", "engines/s-2/offline")
	expectCallStatus(t, operators, "POST", "engines/s-1/online", 200)
	c.send(lookupMessage(30, "x")).expectStatus(200)
	if len(a.Attempts()) != 1 {
		t.Errorf("%d requests at the engine that is enabled again, want 1", len(a.Attempts()))
	}
}

// A front end that is out of service fails health checks, closes idle connections, and
// closes each other connection after its response. Back in service, it keeps connections
// open again.
func TestOutOfService(t *testing.T) {
	g := newGate()
	e := fakes.NewScriptedEngine(t, "s-1", g.reply)
	f, operators := startWithAdminAPI(t, e)
	idle, busy := f.connect(), f.connect()
	idle.roundTrip(loadMessage(1, "x"))
	busy.send(loadMessage(2, "slow"))
	waitForRequests(t, 2, e)
	expectCallStatus(t, operators, "POST", "out-of-service", 200)
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	if status, header, _ := f.connect().roundTrip(healthCheck); status != 503 || header.Get("Connection") != "close" {
		t.Errorf("healthy: status %d, %v", status, header)
	}
	expectCallStatus(t, operators, "GET", "ready", 503)
	g.open()
	connected := f.connect()
	connected.send(loadMessage(3, "x"))
	for name, c := range map[string]*client{"busy": busy, "new": connected} {
		c.expectLastResponse(name)
		if _, err := c.reader.ReadByte(); err != io.EOF {
			t.Errorf("%s connection after its last response: %v", name, err)
		}
	}
	callOperatorAPI(operators, "POST", "in-service")
	c := f.connect()
	for range 2 {
		if status, header, _ := c.roundTrip(healthCheck); status != 200 || header.Get("Connection") != "" {
			t.Errorf("back in service: status %d, %v", status, header)
		}
	}
}

// lookupGenerator sends lookups one after another, each on a new connection, and counts
// the sent and the failed ones.
type lookupGenerator struct {
	sent, failed  atomic.Int32
	done, stopped chan struct{}
}

// startLookupGenerator starts sending lookups to a front end. It sends until stop is
// called.
func startLookupGenerator(f *frontEndProcess) *lookupGenerator {
	l := &lookupGenerator{done: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(l.stopped)
		for k := 100; ; k++ {
			select {
			case <-l.done:
				return
			default:
			}
			c := f.connect()
			if status, _, _ := c.roundTrip(lookupMessage(k, selectFromGroup(k))); status != 200 {
				l.failed.Add(1)
			}
			c.close()
			l.sent.Add(1)
		}
	}()
	return l
}

// stop ends the generator after the lookup that is open.
func (l *lookupGenerator) stop() {
	close(l.done)
	<-l.stopped
}

// In an upgrade the next process accepts clients while the previous one finishes its open
// requests: no connection is rejected, and disabled engines stay disabled.
func TestUpgrade(t *testing.T) {
	g := newGate()
	disabled := fakes.NewScriptedEngine(t, "s-1", g.reply)
	e2, e3 := fakes.NewScriptedEngine(t, "s-2", g.reply), fakes.NewScriptedEngine(t, "s-3", g.reply)
	f, operators := startWithAdminAPI(t, disabled, e2, e3)
	callOperatorAPI(operators, "POST", "engines/s-1/offline")
	slow, idle := f.connect(), f.connect()
	idle.roundTrip(lookupMessage(1, "x"))
	slow.send(loadMessage(2, "slow"))
	waitForRequests(t, 2, e2, e3)

	generator := startLookupGenerator(f)
	nextOperators := testprocess.FreeAddr(t)
	next := f.startProcess(nextOperators)
	testprocess.Until(t, "the next process to be ready", func() bool {
		status, _ := callOperatorAPI(nextOperators, "GET", "ready")
		return status == 200
	})
	f.process.Signal(syscall.SIGTERM)
	f.waitForLog("replaced: true")
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection of the previous process: %v", err)
	}
	before := generator.sent.Load()
	testprocess.Until(t, "requests after the handover", func() bool { return generator.sent.Load() > before+50 })
	g.open()
	if status, header, _ := slow.readResponse(); status != 200 || header.Get("Connection") != "close" {
		t.Errorf("request in flight at the previous process: status %d, %v", status, header)
	}
	f.waitForExit()
	generator.stop()
	if generator.failed.Load() > 0 {
		t.Errorf("%d of %d requests were not served", generator.failed.Load(), generator.sent.Load())
	}
	if len(disabled.Attempts()) != 0 {
		t.Errorf("%d requests at the disabled engine, want none", len(disabled.Attempts()))
	}
	expectCallStatus(t, nextOperators, "POST", "engines/s-1/online", 200)
	for k := 0; len(disabled.Attempts()) == 0; k++ {
		c := f.connect()
		c.roundTrip(lookupMessage(1<<20+k, selectFromGroup(k)))
		c.close()
	}
	if next.Stop()["node"] == nil {
		t.Error("the next process printed no counters")
	}
}
