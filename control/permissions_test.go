package control

import (
	"fmt"
	"testing"
)

// Where the settings don't allow it, no engine is probed, no peer is told anything, no
// priority is set and no attempt is cancelled; where they do, each of these is done in the
// same scenario.
func TestOnlyWhatTheSettingsAllow(t *testing.T) {
	for _, c := range []struct {
		name   string
		action ActionKind
		forbid func(*Settings)
	}{
		{"probes", ProbeEngine, func(s *Settings) { s.CanProbe = false }},
		{"probes without reports", ProbeEngine, func(s *Settings) { s.LoadReportsInProbes = false }},
		{"gossip", Broadcast, func(s *Settings) { s.CanGossip = false }},
		{"priorities", SetTerms, func(s *Settings) { s.CanPrioritize = false }},
		{"cancels", CancelAttempt, func(s *Settings) { s.CanCancel = false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := manyGateways()
			s.CanGossip = true
			s.CanPrioritize = true
			if allowed := countActions(busyScenario(t, s).actions, c.action); allowed == 0 {
				t.Error("not done where it is allowed")
			}
			c.forbid(&s)
			if forbidden := countActions(busyScenario(t, s).actions, c.action); forbidden != 0 {
				t.Errorf("done %d times where it is forbidden", forbidden)
			}
		})
	}
}

// busyScenario is one of engines that answer probes, and nothing else, while requests of
// all classes come.
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

// A load report that comes although the settings have none is used: what an engine says of
// itself is true. (TestRunawayAttemptIsRetried has the same of a note.)
func TestReportsThatComeAreUsed(t *testing.T) {
	s := oneGateway()
	if s.LoadReportsInReplies || s.LoadReportsInProbes {
		t.Fatal("the settings have load reports")
	}
	tr := newScenario(t, s, engines("a")...)
	tr.arrive("r", 0, 50, 2000)
	tr.nowMS += 10
	tr.handle(Event{Kind: AttemptEnded, RequestID: "r", Engine: "a", Result: Served, RequestDone: true,
		LoadReport: &LoadReport{-1, -1, 0.5, -1, -1}})
	e := tr.gateway.engineByID["a"]
	want := fullThreadsPerCore * e.cores * 0.5
	if e.load.reportedThreads != want || e.load.reportedAtMS != tr.nowMS {
		t.Errorf("%v threads reported at %v, want %v", e.load.reportedThreads, e.load.reportedAtMS, want)
	}
}
