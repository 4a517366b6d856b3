package control

import (
	"fmt"
	"math"
	"testing"
)

// Where engines share a thread limit, secondary work starts only on an engine whose load
// report shows headroom. Attempts started after a report reduce its headroom.
func TestSecondaryWorkNeedsReportedHeadroom(t *testing.T) {
	full, idle := LoadReport{-1, -1, 0.5, 1.1, -1}, LoadReport{-1, -1, 0.1, 0.1, -1}
	tr := newScenario(t, manyGateways(), engines("a", "b", "c", "d")...)
	actions := tr.arrive("r", 1, 900, 19000)
	if countActions(actions, StartAttempt) != 0 || countActions(actions, ProbeEngine) != enginesPerProbe {
		t.Fatalf("without a report: %d attempts started, %d probes; want 0, %d",
			countActions(actions, StartAttempt), countActions(actions, ProbeEngine), enginesPerProbe)
	}
	if sent := tr.answerProbes(actions, full); countActions(sent, StartAttempt) != 0 {
		t.Error("an attempt was started on a full engine")
	}
	tr.advance(probeIntervalMS + sweepIntervalMS)
	invalid := tr.answerProbes(tr.actions[len(actions):], LoadReport{math.NaN(), 0, math.Inf(1), 0, 0})
	if countActions(invalid, StartAttempt) != 0 {
		t.Error("an attempt was started because of a report with NaN and infinite values")
	}
	if sent := tr.answerProbes(tr.actions[len(actions):], idle); countActions(sent, StartAttempt) != 1 {
		t.Fatalf("with headroom: %d attempts started, want 1", countActions(sent, StartAttempt))
	}
	for i := range 30 {
		tr.arrive(fmt.Sprint(i), 1, 900, 19000)
	}
	if k := len(tr.starts); k < 2 || k > 8 {
		t.Errorf("%d attempts started after one round of reports, want 2 to 8", k)
	}
}
