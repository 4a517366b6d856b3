package control

import (
	"fmt"
	"slices"
	"testing"
)

// No attempt starts on an engine that an endpoint update shows as draining or removed.
func TestDrainingEngineGetsNothing(t *testing.T) {
	for name, info := range map[string]EngineInfo{
		"draining": {ID: "a", Draining: true},
		"removed":  {ID: "a", Removed: true},
	} {
		tr := newScenario(t, oneGateway(), engines("a", "b")...)
		tr.handle(Event{Kind: EndpointUpdate, Engines: []EngineInfo{info}})
		for i := range 30 {
			tr.arrive(fmt.Sprint(i), i%2, 50, 9000)
		}
		if slices.ContainsFunc(tr.starts, func(a Action) bool { return a.Engine == "a" }) {
			t.Errorf("%s: an attempt was started on the engine", name)
		}
	}
}

// The state of engines removed long ago is deleted, and the caches by data set are bounded.
func TestCachesAreBounded(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b")...)
	for i := range 300 {
		id := fmt.Sprint("e", i)
		tr.handle(Event{Kind: EndpointUpdate, Engines: engines(id)})
		tr.advance(1000)
		tr.handle(Event{Kind: EndpointUpdate, Engines: []EngineInfo{{ID: id, Removed: true}}})
	}
	if n := len(tr.gateway.engines); n > 2+removedEngineTTLMS/1000+2 || n != len(tr.gateway.engineByID) {
		t.Errorf("%d engines in the list, %d by ID", n, len(tr.gateway.engineByID))
	}
	for i := range 3 * maxDatasets {
		tr.handle(Event{Kind: RequestArrived, RequestID: fmt.Sprint(i), Class: 1, DeadlineAtMS: tr.nowMS + 50,
			WorkMS: 50, Dataset: i})
		tr.handle(Event{Kind: RequestAbandoned, RequestID: fmt.Sprint(i)})
	}
	n, m := len(tr.gateway.preferredEngines), len(tr.gateway.engineByID["a"].affinity.scores)
	if n > maxDatasets || m > maxDatasets {
		t.Errorf("%d preferences and %d affinity scores, at most %d each allowed", n, m, maxDatasets)
	}
}

// A restart under the same ID, which shows only in the start time, resets the health of
// the engine and puts it in slow start.
func TestRestartUnderOldIDResetsHealth(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b")...)
	tr.gateway.eject(tr.gateway.engineByID["a"], ConsecutiveFailures)
	list := []EngineInfo{{ID: "a", StartedAtMS: tr.nowMS}, {ID: "b"}}
	tr.handle(Event{Kind: EndpointSnapshot, Engines: list})
	if e := tr.gateway.engineByID["a"]; e.health.ejected || !tr.gateway.inSlowStart(e) {
		t.Errorf("after a restart: ejected %v, in slow start %v", e.health.ejected, tr.gateway.inSlowStart(e))
	}
}

// A polled endpoint list is requested at the start, and after a failed request again once
// a delay has passed.
func TestEndpointListIsPolledAgain(t *testing.T) {
	s := oneGateway()
	s.PollsEndpointList = true
	tr := newScenario(t, s, engines("a")...)
	if k := countActions(tr.actions, WatchEndpoints); k != 1 {
		t.Fatalf("list requested %d times at the start, want 1", k)
	}
	actions := tr.handle(Event{Kind: EndpointListFailed})
	i := slices.IndexFunc(actions, func(a Action) bool { return a.Kind == SetTimer && a.Timer == WatchTimer })
	if i < 0 || actions[i].DelayMS < minWatchRetryMS || countActions(actions, WatchEndpoints) != 0 {
		t.Fatalf("after a failed request: actions %v, want a timer for the next request", actions)
	}
	actions = tr.handle(Event{Kind: TimerFired, Timer: WatchTimer})
	if countActions(actions, WatchEndpoints) != 1 {
		t.Errorf("when the timer fired: actions %v, want one request", actions)
	}
}

// A disabled engine gets no requests while the endpoint list has it as active, also if it
// is first listed after it was disabled. When it is enabled again, it is treated as just
// started unless the list has shown a restart in the meantime.
func TestAdministrativeOverride(t *testing.T) {
	s := oneGateway()
	s.SlowStartInitialFraction = 0.33
	s.SlowStartWindowMS = 15000
	s.OverloadMultiple = 4
	s.OverloadWindowMS = 1500
	g := New(s, 1)
	handle := func(now float64, ev Event) []Action { return g.Handle(now, ev) }
	handle(0, Event{Kind: EndpointSnapshot, Engines: engines("a", "b")})
	handle(1, Event{Kind: EngineDisabled, Engine: "b"})
	handle(1, Event{Kind: EngineDisabled, Engine: "c"})
	handle(2, Event{Kind: EndpointUpdate, Engines: []EngineInfo{{ID: "b", StartedAtMS: 1}, {ID: "c"}}})
	handle(3, Event{Kind: EndpointSnapshot, Engines: engines("a", "b", "c")})
	for k := range 8 {
		for _, a := range handle(10, Event{Kind: RequestArrived, RequestID: fmt.Sprint(k), DeadlineAtMS: 9000,
			WorkMS: 10, Dataset: k}) {
			if a.Kind == StartAttempt && a.Engine != "a" {
				t.Errorf("an attempt was started on %s, which is disabled", a.Engine)
			}
		}
	}
	if listed, outOfService := g.EngineCounts(); listed != 3 || outOfService != 2 {
		t.Errorf("%d engines listed and %d out of service, want 3 and 2", listed, outOfService)
	}
	handle(1000, Event{Kind: EndpointUpdate, Engines: []EngineInfo{{ID: "b", StartedAtMS: 900}}})
	handle(2000, Event{Kind: EngineEnabled, Engine: "b"})
	handle(2000, Event{Kind: EngineEnabled, Engine: "c"})
	for id, since := range map[string]float64{"b": 900, "c": 2000} {
		if e := g.engineByID[id]; !e.listing.available || e.StartedAtMS != since || !g.inSlowStart(e) {
			t.Errorf("%s: available %v, started at %v; want true, %v, and in slow start",
				id, e.listing.available, e.StartedAtMS, since)
		}
	}
	if listed, outOfService := g.EngineCounts(); listed != 3 || outOfService != 0 {
		t.Errorf("%d engines listed and %d out of service, want 3 and 0", listed, outOfService)
	}
	// A disabled engine that is missing from a snapshot is not listed.
	handle(3000, Event{Kind: EngineDisabled, Engine: "b"})
	handle(3000, Event{Kind: EndpointSnapshot, Engines: engines("a")})
	if listed, _ := g.EngineCounts(); listed != 1 || !g.engineByID["b"].Removed {
		t.Errorf("%d engines listed, b removed: %v; want 1, true", listed, g.engineByID["b"].Removed)
	}
}
