package control

import (
	"slices"
	"testing"
)

func TestNotIdempotentIsNotRepeated(t *testing.T) {
	for res, want := range map[Result]ActionKind{
		Errored: FailRequest, TimedOut: FailRequest, Reset: FailRequest,
		Rejected: StartAttempt, ConnectFailed: StartAttempt,
	} {
		s := oneGateway()
		s.Classes[0].Idempotency = NotIdempotent
		tr := newScenario(t, s, engines("a", "b", "c")...)
		tr.arrive("r", 0, 50, 2000)
		tr.nowMS += 10
		actions := tr.endAttempt("r", res)
		failed, retried := countActions(actions, FailRequest), countActions(actions, StartAttempt)
		if want == FailRequest && failed != 1 || want == StartAttempt && (failed == 1 || retried != 1) {
			t.Errorf("after result %d: %d failed and %d retried, want action %d", res, failed, retried, want)
		}
	}
}

func TestIdempotencyKeyScopeAndWindow(t *testing.T) {
	s := oneGateway()
	s.Classes[2].IdempotencyScope = SameZone
	tr := newScenario(t, s, EngineInfo{ID: "a", Zone: 0}, EngineInfo{ID: "b", Zone: 1})
	tr.arrive("r", 2, 100, 9000)
	tr.nowMS += 10
	draining := tr.engines[tr.starts[0].Engine]
	draining.Draining = true
	tr.handle(Event{Kind: EndpointUpdate, Engines: []EngineInfo{draining}})
	tr.endAttempt("r", Reset)
	tr.advance(9000)
	failed, rejected := countActions(tr.actions, FailRequest), countActions(tr.actions, RejectRequest)
	if len(tr.starts) != 1 || failed != 1 || rejected != 0 {
		t.Errorf("%d attempts, %d failed, %d rejected; want 1, 1, 0", len(tr.starts), failed, rejected)
	}
}

// Without hedging, a request has at most one attempt in flight. A request with an
// idempotency key is not repeated once its window may have expired.
func TestForbiddenRepeatsDoNotStart(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b")...)
	tr.arrive("r", 0, 50, 9000)
	r, b := tr.gateway.requestByID["r"], tr.gateway.engineByID["b"]
	if tr.gateway.mayStart(r, b) {
		t.Error("a second attempt may start while the first is in flight, without hedging")
	}
	tr.arrive("k", 2, 50, 19000)
	k := tr.gateway.requestByID["k"]
	k.attempts[0].inFlight = false // the connection of the attempt broke
	if !tr.gateway.mayStart(k, b) {
		t.Error("a request with an idempotency key may not be repeated within its window")
	}
	tr.gateway.nowMS += 2995
	if tr.gateway.mayStart(k, b) {
		t.Error("a request with an idempotency key may be repeated after its window")
	}
	if s := oneGateway(); s.CanHedge {
		t.Error("the settings allow hedging")
	}
}

func TestNotIdempotentIsFailedNotRejected(t *testing.T) {
	s := oneGateway()
	s.Classes[0].Idempotency = NotIdempotent
	tr := newScenario(t, s, engines("a")...)
	tr.arrive("r", 0, 50, 500)
	tr.advance(600)
	if countActions(tr.actions, FailRequest) != 1 || countActions(tr.actions, RejectRequest) != 0 {
		t.Errorf("%d failed, %d rejected; want 1, 0", countActions(tr.actions, FailRequest),
			countActions(tr.actions, RejectRequest))
	}
}

func TestKeysRunInOrderAndSettle(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b")...)
	tr.arrive("first", 2, 100, 9000)
	tr.arrive("second", 2, 100, 9000)
	tr.arrive("short", 0, 50, 2000)
	tr.advance(50)
	if got := startedOrder(tr.starts); !slices.Equal(got, []string{"first", "short"}) {
		t.Fatalf("attempts started for %v", got)
	}
	tr.handle(Event{Kind: RequestAbandoned, RequestID: "first"})
	tr.advance(50)
	if len(tr.starts) != 2 {
		t.Fatal("second started while an attempt of the first was in flight")
	}
	tr.handle(Event{Kind: AttemptEnded, RequestID: "first", Engine: tr.starts[0].Engine, Result: TimedOut,
		RequestDone: true})
	tr.advance(390)
	if len(tr.starts) != 2 {
		t.Fatal("second started before the key had settled")
	}
	tr.advance(60)
	if got := startedOrder(tr.starts); !slices.Equal(got, []string{"first", "short", "second"}) {
		t.Errorf("attempts started for %v", got)
	}
}
