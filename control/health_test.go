package control

import (
	"encoding/binary"
	"fmt"
	"testing"
)

// An engine that does not answer is ejected and its dashboards are cancelled, to be retried
// elsewhere. It recovers when a later dashboard, as a recovery probe, is answered.
func TestUnresponsiveEngineIsEjected(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b", "c", "d")...)
	serveOthers := func() {
		for _, r := range tr.requestList {
			for i, attempt := range r.attempts {
				if attempt.endedAtMS == 0 && attempt.engine != "a" && tr.nowMS-attempt.startedAtMS >= 100 {
					tr.handle(Event{Kind: AttemptEnded, RequestID: r.id, Attempt: i, Engine: attempt.engine,
						Result: Served, RequestDone: true, ElapsedMS: 100})
				}
			}
		}
	}
	for i := range 80 {
		tr.arrive(fmt.Sprint(i), 0, 50, 2000)
		tr.advance(25)
		serveOthers()
	}
	if e := tr.gateway.engineByID["a"]; !e.health.ejected {
		t.Error("the unresponsive engine is not ejected")
	}
	if countActions(tr.actions, CancelAttempt) == 0 {
		t.Error("no attempt on the unresponsive engine was cancelled")
	}
	if n := tr.gateway.engineByID["a"].load.dashboardThreads; n > 8 {
		t.Errorf("%d dashboards in flight on the unresponsive engine, at most 8 allowed", n)
	}
	for _, r := range tr.requestList {
		for i, attempt := range r.attempts {
			if attempt.endedAtMS == 0 {
				tr.handle(Event{Kind: AttemptEnded, RequestID: r.id, Attempt: i, Engine: attempt.engine,
					Result: Cancelled, ElapsedMS: 300, RequestDone: r.closedAtMS != 0})
			}
		}
	}
	tr.advance(maxEjectionMS + 100)
	before := len(tr.starts)
	for i := 0; i < 40 && tr.gateway.engineByID["a"].health.ejected; i++ {
		tr.arrive(fmt.Sprint("t", i), 0, 50, 2000)
		tr.nowMS += 20
		tr.endAttempt(fmt.Sprint("t", i), Served)
	}
	if tr.gateway.engineByID["a"].health.ejected || len(tr.starts) == before {
		t.Error("the engine did not recover after a recovery probe")
	}
}

// A request that fails on every engine is failed after its second attempt, and no engine
// is ejected for it. An engine that fails requests which another engine then serves is
// ejected. A lost connection that ends many attempts counts as one failure.
func TestErrorsCountAgainstTheirCause(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b", "c")...)
	ejected := func() (n int) {
		for _, e := range tr.gateway.engines {
			if e.health.ejected {
				n++
			}
		}
		return n
	}
	for i := range 20 {
		id := fmt.Sprint("malformed", i)
		tr.arrive(id, 0, 50, 2000)
		for tr.requests[id].closedAtMS == 0 {
			tr.endAttempt(id, Errored)
		}
		if n := len(tr.requests[id].attempts); n > 2 {
			t.Errorf("%s had %d attempts, at most 2 allowed", id, n)
		}
		tr.advance(100)
	}
	if len(tr.finals) != 20 || ejected() != 0 {
		t.Errorf("%d final responses, %d engines ejected; want 20, 0", len(tr.finals), ejected())
	}
	tr.advance(retryWindowMS)
	for i := range 9 {
		tr.arrive(fmt.Sprint("r", i), 0, 50, 2000)
	}
	for i := range 9 { // end all attempts in flight on one engine
		if id := fmt.Sprint("r", i); tr.requests[id].attempts[0].engine == "a" {
			tr.endAttempt(id, Reset)
		}
	}
	if e := tr.gateway.engineByID["a"]; e.health.ejected || e.health.consecutiveFailures != 1 {
		t.Errorf("one lost connection: %d failures, ejected %v; want 1, false",
			e.health.consecutiveFailures, e.health.ejected)
	}
	for i := range 9 {
		tr.endAttempt(fmt.Sprint("r", i), Served)
	}
	for i := 0; i < 60 && !tr.gateway.engineByID["b"].health.ejected; i++ {
		id := fmt.Sprint("s", i)
		tr.arrive(id, 0, 50, 2000)
		if tr.requests[id].attempts[0].engine == "b" {
			tr.endAttempt(id, Errored)
		}
		tr.advance(50)
		tr.endAttempt(id, Served)
	}
	if !tr.gateway.engineByID["b"].health.ejected {
		t.Error("an engine that fails requests which others serve is not ejected")
	}
}

// When most engines are ejected, the fault is elsewhere, and none is treated as ejected.
func TestNoEngineIsEjectedWhenMostFail(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b", "c")...)
	for _, e := range tr.gateway.engines {
		tr.gateway.eject(e, ConsecutiveFailures)
	}
	tr.arrive("r", 0, 50, 2000)
	if len(tr.starts) != 1 {
		t.Error("a dashboard was not started on any engine")
	}
}

// An engine is slow relative to the others; when all engines are slow, none counts as slow.
func TestSpeedIsRelative(t *testing.T) {
	for name, c := range map[string]struct {
		latency [4]float64
		slow    bool
	}{
		"one slow": {[4]float64{800, 100, 120, 90}, true},
		"all slow": {[4]float64{800, 900, 850, 700}, false},
	} {
		tr := newScenario(t, oneGateway(), engines("a", "b", "c", "d")...)
		for i, e := range tr.gateway.engines {
			e.health.lastDashboardAtMS = tr.nowMS
			for range 20 {
				e.health.latencyMS.add(c.latency[i])
				e.health.workMS.add(100)
			}
		}
		tr.gateway.updateRelativeSpeeds()
		if got := tr.gateway.engineByID["a"].health.relativeSpeed < slowBelowSpeed; got != c.slow {
			t.Errorf("%s: first engine is slow: %v, want %v", name, got, c.slow)
		}
	}
}

// After a pause of the gateway's process, engines must not be treated as slow or
// unresponsive, and no attempt is cancelled.
func TestOwnPauseDoesNotCountAgainstEngines(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b", "c")...)
	for i := range 6 {
		tr.arrive(fmt.Sprint(i), 0, 50, 4000)
	}
	tr.nowMS += 2000 // without any sweep
	tr.timers = tr.timers[:0]
	tr.handle(Event{Kind: TimerFired, Timer: SweepTimer})
	for i := range 6 {
		tr.endAttempt(fmt.Sprint(i), Served)
	}
	if countActions(tr.actions, CancelAttempt) != 0 || tr.gateway.estimates.dashboardLatencyMS.count != 0 {
		t.Errorf("%d attempts cancelled, %v latencies recorded after a pause; want none",
			countActions(tr.actions, CancelAttempt), tr.gateway.estimates.dashboardLatencyMS.count)
	}
	for _, e := range tr.gateway.engines {
		if e.health.ejected {
			t.Errorf("%s was ejected because of a pause of the gateway", e.ID)
		}
	}
}

// The latency of a read that is blocked by a load of its data set reflects the load and not
// the engine: it changes neither the thread limit nor the engine's speed, and ejects no
// engine. Reads of a data set without a load do change them.
func TestBlockedReadsDoNotCountAgainstEngine(t *testing.T) {
	for _, blocked := range []bool{true, false} {
		s := twoEngineKinds()
		s.CanGossip = true
		tr := newScenario(t, s, engines("a", "b", "c")...)
		dataset := uint32(9)
		if blocked {
			dataset = 7
		}
		before := map[string]float64{}
		msg := demandMessage(0)
		for _, e := range tr.gateway.engines {
			before[e.ID] = e.limit.errorSumMS
			for _, x := range []uint32{e.gossipTag, dataset} {
				msg = binary.BigEndian.AppendUint32(msg, x)
			}
		}
		for i := range 3 * dashboardsPerInterval {
			tr.handle(Event{Kind: GossipReceived, Peer: 1, Message: msg})
			id := fmt.Sprint("r", i)
			tr.handle(Event{Kind: RequestArrived, RequestID: id, Class: 0, DeadlineAtMS: tr.nowMS + 2000,
				WorkMS: 50, Dataset: 7})
			tr.advance(1100)
			if tr.requests[id].closedAtMS == 0 {
				tr.endAttempt(id, Served)
			}
		}
		changed := 0
		for _, e := range tr.gateway.engines {
			if e.limit.errorSumMS < before[e.ID] || e.health.latencyMS.count > 0 || e.health.ejected {
				changed++
			}
		}
		if blocked && changed != 0 || !blocked && changed == 0 {
			t.Errorf("reads blocked: %v; the state of %d engines changed", blocked, changed)
		}
	}
}
