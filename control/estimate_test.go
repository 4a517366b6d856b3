package control

import "testing"

// Cancelled attempts count in the expected duration: without them an overloaded fleet
// would look fast, and more and more of its ordinary work would be cancelled.
func TestCancelledAttemptsCountInSlowdown(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b")...)
	before := tr.gateway.estimates.slowdown.value
	tr.arrive("r", 1, 400, 19000)
	tr.advance(1500)
	if countActions(tr.actions, CancelAttempt) != 1 {
		t.Fatal("the attempt was not cancelled exactly once")
	}
	tr.endAttempt("r", Cancelled)
	if tr.gateway.estimates.slowdown.value <= before {
		t.Errorf("slowdown %v after a cancelled attempt, want more than the %v before",
			tr.gateway.estimates.slowdown.value, before)
	}
}
