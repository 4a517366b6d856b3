package control

import (
	"encoding/binary"
	"fmt"
	"testing"
)

// A hung engine is ejected, its dashboards are retried elsewhere, and it recovers
// after one that is answered.
func TestUnresponsiveEngineIsEjected(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b", "c", "d")...)
	answer := func() {
		for _, b := range tr.order {
			for i, x := range b.attempts {
				if x.endedAtMS == 0 && x.engine != "a" && tr.nowMS-x.startedAtMS >= 100 {
					tr.handle(Event{Kind: AttemptEnded, RequestID: b.id, Attempt: i, Engine: x.engine,
						Result: Served, RequestDone: true, ElapsedMS: 100})
				}
			}
		}
	}
	for i := range 80 {
		tr.arrive(fmt.Sprint(i), 0, 50, 2000)
		tr.advance(25)
		answer()
	}
	if e := tr.gateway.engineByID["a"]; !e.health.ejected {
		t.Error("the unresponsive engine is not ejected")
	}
	if countActions(tr.actions, CancelAttempt) == 0 {
		t.Error("nothing was cancelled there")
	}
	if n := tr.gateway.engineByID["a"].load.dashboardThreads; n > 8 {
		t.Errorf("%d dashboards at the unresponsive engine", n)
	}
	for _, b := range tr.order {
		for i, x := range b.attempts {
			if x.endedAtMS == 0 {
				tr.handle(Event{Kind: AttemptEnded, RequestID: b.id, Attempt: i, Engine: x.engine,
					Result: Cancelled, ElapsedMS: 300, RequestDone: b.closedAtMS != 0})
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

// A client that sends what no engine can run gets its error from a second engine,
// and has no engine ejected; an engine that fails what another serves is ejected,
// and a connection that ends many attempts is one failure.
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
			t.Errorf("%s was sent %d times", id, n)
		}
		tr.advance(100)
	}
	if len(tr.finals) != 20 || ejected() != 0 {
		t.Errorf("%d answers, %d engines ejected; want 20, 0", len(tr.finals), ejected())
	}
	tr.advance(retryWindowMS)
	for i := range 9 {
		tr.arrive(fmt.Sprint("r", i), 0, 50, 2000)
	}
	for i := range 9 { // all that is in flight at one engine
		if id := fmt.Sprint("r", i); tr.requests[id].attempts[0].engine == "a" {
			tr.endAttempt(id, Reset)
		}
	}
	if e := tr.gateway.engineByID["a"]; e.health.ejected || e.health.consecutiveFailures != 1 {
		t.Errorf("one lost connection counts as %d failures", e.health.consecutiveFailures)
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
		t.Error("an engine that fails what others serve is not ejected")
	}
}

// When most engines fail, the fault is elsewhere: none is treated as ejected.
func TestNoEngineIsEjectedWhenMostFail(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b", "c")...)
	for _, e := range tr.gateway.engines {
		tr.gateway.eject(e, ConsecutiveFailures)
	}
	tr.arrive("r", 0, 50, 2000)
	if len(tr.starts) != 1 {
		t.Error("a dashboard found no engine")
	}
}

// An engine is slow by comparison with the others; when all are slow, none is.
func TestSpeedIsRelative(t *testing.T) {
	for name, c := range map[string]struct {
		latency [4]float64
		slow    bool
	}{"one slow": {[4]float64{800, 100, 120, 90}, true}, "all slow": {[4]float64{800, 900, 850, 700}, false}} {
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
			t.Errorf("%s: slow is %v", name, got)
		}
	}
}

// A gateway that was paused must not take its own pause for slow or unresponsive engines.
func TestOwnPauseDoesNotCountAgainstEngines(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b", "c")...)
	for i := range 6 {
		tr.arrive(fmt.Sprint(i), 0, 50, 4000)
	}
	tr.nowMS += 2000 // no sweep in all that time
	tr.timers = tr.timers[:0]
	tr.handle(Event{Kind: TimerFired, Timer: SweepTimer})
	for i := range 6 {
		tr.endAttempt(fmt.Sprint(i), Served)
	}
	if countActions(tr.actions, CancelAttempt) != 0 || tr.gateway.estimates.dashboardLatencyMS.count != 0 {
		t.Errorf("%d cancelled, %v latencies recorded in a pause; want none",
			countActions(tr.actions, CancelAttempt), tr.gateway.estimates.dashboardLatencyMS.count)
	}
	for _, e := range tr.gateway.engines {
		if e.health.ejected {
			t.Errorf("%s ejected for a pause of the gateway", e.ID)
		}
	}
}

// What is blocked by a load of its data set shows what that load does: it moves neither
// the thread limit nor the engine's speed, and has no engine ejected.
func TestBlockedReadsDoNotJudgeTheirEngine(t *testing.T) {
	for _, behind := range []bool{true, false} {
		s := twoEngineKinds()
		s.CanGossip = true
		tr := newScenario(t, s, engines("a", "b", "c")...)
		dataset := uint32(9)
		if behind {
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
		moved := 0
		for _, e := range tr.gateway.engines {
			if e.limit.errorSumMS < before[e.ID] || e.health.latencyMS.count > 0 || e.health.ejected {
				moved++
			}
		}
		if behind && moved != 0 || !behind && moved == 0 {
			t.Errorf("blocked %v: %d engines judged", behind, moved)
		}
	}
}
