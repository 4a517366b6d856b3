package control

import (
	"fmt"
	"slices"
	"testing"
)

// The first load of a data set goes to its preferred engine, which readers avoid. A second
// load goes to another engine, as the first would block it. A third load is queued until
// it has little time left, as half of the engines are left to readers. A reader is queued
// rather than sent to an engine with a load while other engines have none.
func TestLoadsAndReadersAreSeparated(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b", "c", "d")...)
	preferred := tr.gateway.preferred(7, nil)[0].ID
	load := func(id string) string {
		tr.handle(Event{Kind: RequestArrived, RequestID: id, Class: 2, DeadlineAtMS: tr.nowMS + 9000,
			WorkMS: 500, Dataset: 7, Key: id})
		return tr.starts[len(tr.starts)-1].Engine
	}
	first, second := load("l1"), load("l2")
	if first != preferred || second == preferred {
		t.Errorf("loads went to %s and %s, the preferred engine is %s", first, second, preferred)
	}
	for i := range 6 {
		tr.handle(Event{Kind: RequestArrived, RequestID: fmt.Sprint(i), Class: 0, DeadlineAtMS: tr.nowMS + 2000,
			WorkMS: 50, Dataset: 7})
		if e := tr.starts[len(tr.starts)-1].Engine; e == first || e == second {
			t.Errorf("a reader went to %s, which runs a load of its data set", e)
		}
	}
	before := len(tr.starts)
	load("l3")
	if len(tr.starts) != before {
		t.Errorf("a third load went to %s", tr.starts[before].Engine)
	}
	tr.advance(10 * sweepIntervalMS)
	if third := tr.gateway.requestByID["l3"]; len(third.attempts) != 0 || third.closed {
		t.Errorf("the third load did not wait: %+v", third)
	}
	for i := range 200 { // more than the two engines without a load can take
		tr.handle(Event{Kind: RequestArrived, RequestID: fmt.Sprint("r", i), Class: 0,
			DeadlineAtMS: tr.nowMS + 2000, WorkMS: 50, Dataset: 7})
	}
	for _, s := range tr.starts[before:] {
		if s.Engine == first || s.Engine == second {
			t.Fatalf("a reader went to %s, which runs a load of its data set", s.Engine)
		}
	}
}

// A load that waits so that readers keep enough engines starts while it has time left.
func TestQueuedLoadStartsInTime(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b", "c", "d")...)
	for i := range 3 {
		tr.handle(Event{Kind: RequestArrived, RequestID: fmt.Sprint(i), Class: 2, DeadlineAtMS: tr.nowMS + 9000,
			WorkMS: 500, Dataset: 7, Key: fmt.Sprint(i)})
	}
	third := tr.gateway.requestByID["2"]
	if len(third.attempts) != 0 {
		t.Fatal("the third load did not wait")
	}
	for len(third.attempts) == 0 && !third.closed {
		tr.advance(sweepIntervalMS)
	}
	remainingMS, expectedMS := tr.gateway.objectiveAtMS(third)-tr.nowMS, tr.gateway.expectedDurationMS(third)
	if len(third.attempts) != 1 || remainingMS < expectedMS || remainingMS > urgentDurations*expectedMS {
		t.Errorf("the third load has %d attempts, %.0f ms before its objective", len(third.attempts),
			remainingMS)
	}
}

// Many gateways together must not exceed the limits of all engines: they share one overshoot
// per engine.
func TestGatewaysShareOneOvershoot(t *testing.T) {
	s := oneGateway()
	s.GatewayCount = 16
	tr := newScenario(t, s, engines("a", "b", "c", "d", "e", "f", "g", "h")...)
	for i := range 20 {
		tr.arrive(fmt.Sprint(i), 1, 400, 19000)
	}
	if n := len(tr.starts); n < 1 || n > 2 {
		t.Errorf("%d attempts of four threads in flight, with a quota of half a thread per engine; want 1 or 2",
			n)
	}
}

func TestEngineKindRestrictionHoldsWithoutEngines(t *testing.T) {
	tr := newScenario(t, twoEngineKinds(), EngineInfo{ID: "small"}, EngineInfo{ID: "big", Kind: 1})
	tr.arrive("bound", 1, 400, 9000)
	if len(tr.starts) != 1 || tr.starts[0].Engine != "small" {
		t.Fatalf("attempts %v, want one on the engine of the allowed kind", tr.starts)
	}
	tr.nowMS += 5
	tr.endAttempt("bound", ConnectFailed)
	tr.handle(Event{Kind: EndpointUpdate, Engines: []EngineInfo{{ID: "small", Removed: true}}})
	tr.advance(9000)
	if slices.ContainsFunc(tr.starts, func(a Action) bool { return a.Engine == "big" }) {
		t.Error("an attempt started on an engine of a kind that its class is not allowed to use")
	}
}

// Engines without an earlier attempt of the request rank first, then the better separation of
// loads and readers, then the lower cost.
func TestChoiceRankOrder(t *testing.T) {
	ordered := []choiceRank{
		{cost: -5},
		{cost: 9e6},
		{separation: mixed, cost: -5},
		{separation: mixed, cost: 3},
		{separation: behindLoad, cost: -9e6},
		{attempted: true, cost: 0},
		{attempted: true, separation: mixed, cost: -9e6},
		{attempted: true, separation: behindLoad, cost: 1},
		worstRank,
	}
	for i, a := range ordered {
		for j, b := range ordered {
			if a.better(b) != (i < j) {
				t.Errorf("%+v better than %+v: %v", a, b, a.better(b))
			}
		}
	}
}
