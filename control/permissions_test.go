package control

import (
	"fmt"
	"testing"
)

// Without permission in the settings, the gateway probes no engine, sends nothing to its peers,
// sets no priority and cancels no attempt. With permission, it does each of these in the same
// scenario.
func TestForbiddenActionsAreNotIssued(t *testing.T) {
	for _, c := range []struct {
		name   string
		action ActionKind
		forbid func(*Settings)
	}{
		{"probes", ProbeEngine, func(s *Settings) { s.CanProbe = false }},
		{"probes without reports", ProbeEngine, func(s *Settings) { s.LoadReportsInProbes = false }},
		{"gossip", Broadcast, func(s *Settings) { s.CanGossip = false }},
		{"priorities", SetResources, func(s *Settings) { s.CanPrioritize = false }},
		{"cancels", CancelAttempt, func(s *Settings) { s.CanCancel = false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := manyGateways()
			s.CanGossip = true
			s.CanPrioritize = true
			if allowed := countActions(busyScenario(t, s).actions, c.action); allowed == 0 {
				t.Error("no action of this kind although the settings allow it")
			}
			c.forbid(&s)
			if forbidden := countActions(busyScenario(t, s).actions, c.action); forbidden != 0 {
				t.Errorf("%d actions of this kind although the settings forbid it", forbidden)
			}
		})
	}
}

// busyScenario returns a scenario in which requests of all classes arrive and the engines answer
// probes but nothing else.
func busyScenario(t *testing.T, s Settings) *scenario {
	t.Helper()
	tr := newScenario(t, s, engines("a", "b", "c", "d")...)
	worksMS := []float64{50, 900, 500}
	for i := range 12 {
		actions := tr.arrive(fmt.Sprint(i), i%len(worksMS), worksMS[i%len(worksMS)], 4000)
		tr.answerProbes(actions, LoadReport{-1, -1, 0.1, 0.1, -1})
		tr.advance(100)
	}
	tr.advance(5000)
	return tr
}

// A load report is used even if the settings say that engines send none: an engine's report of
// its own load is reliable. (TestRunawayAttemptIsRetried covers the same for progress reports.)
func TestUnannouncedLoadReportsAreUsed(t *testing.T) {
	s := oneGateway()
	if s.LoadReportsInReplies || s.LoadReportsInProbes {
		t.Fatal("the settings enable load reports")
	}
	tr := newScenario(t, s, engines("a")...)
	tr.arrive("r", 0, 50, 2000)
	tr.nowMS += 10
	tr.handle(Event{Kind: AttemptEnded, RequestID: "r", Engine: "a", Result: Served, RequestDone: true,
		LoadReport: &LoadReport{-1, -1, 0.5, -1, -1}})
	e := tr.gateway.engineByID["a"]
	want := fullThreadsPerCore * e.cores * 0.5
	if e.load.reportedThreads != want || e.load.reportedAtMS != tr.nowMS {
		t.Errorf("%v threads reported at %v, want %v threads now", e.load.reportedThreads,
			e.load.reportedAtMS, want)
	}
}
