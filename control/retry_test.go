package control

import (
	"fmt"
	"testing"
)

func TestRetriesStayInBudget(t *testing.T) {
	s := oneGateway()
	s.RetryBudgetBase = 1
	s.RetryBudgetPerRequest = 0.02
	s.RetryBudgetWindowMS = 4000
	tr := newScenario(t, s, engines("a", "b", "c")...)
	for i := range 200 {
		id := fmt.Sprint(i)
		tr.arrive(id, 0, 50, 2000)
		tr.advance(5)
		if b := tr.requests[id]; len(b.attempts) > 0 && b.attempts[0].endedAtMS == 0 {
			tr.endAttempt(id, Errored)
		}
	}
	if len(tr.retries) == 0 {
		t.Error("no retry was made")
	}
}

// Even without a retry budget in the settings, retries must not amplify the load.
func TestRetriesDoNotAmplifyLoad(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a", "b", "c")...)
	for i := range 400 {
		id := fmt.Sprint(i)
		tr.arrive(id, 0, 50, 2000)
		tr.nowMS += 5
		for n := 0; n < 4; n++ {
			if b := tr.requests[id]; len(b.attempts) > n && b.attempts[n].endedAtMS == 0 {
				tr.endAttempt(id, Rejected)
			}
		}
	}
	if limit := 400 + baseRetries + 400*retriesPerRequest; float64(len(tr.starts)) > limit {
		t.Errorf("%d attempts for 400 requests, want at most %v", len(tr.starts), limit)
	}
}

// An attempt reaches its engine some time after it was started, so two retries that were started
// a window apart may arrive within one window. The budget therefore counts retries over a window
// that is extended by the largest such delay.
func TestRetryBudgetAllowsForSendDelay(t *testing.T) {
	s := oneGateway()
	s.RetryBudgetBase = 1
	s.RetryBudgetPerRequest = 0
	s.RetryBudgetWindowMS = 1000
	s.SendDelayAllowanceMS = 350
	tr := newScenario(t, s, engines("a", "b")...)
	tr.gateway.retryBudget.retries = []float64{tr.nowMS}
	for after, want := range map[float64]bool{999: false, 1300: false, 1400: true} {
		tr.gateway.nowMS = tr.nowMS + after
		if tr.gateway.retryBudgetAllows() != want {
			t.Errorf("%v ms after a retry: another retry allowed is %v", after, !want)
		}
	}
}

// Guards against requests that fail because the gateway itself cancelled their attempts for a
// retry that its budget does not allow: attempts cancelled at once must not count on one token.
func TestCancelledAttemptsHaveARetryEach(t *testing.T) {
	const requests = 3
	s := oneGateway()
	s.RetryBudgetBase = 1
	s.RetryBudgetPerRequest = 0
	s.RetryBudgetWindowMS = 4000
	tr := newScenario(t, s, engines("a", "b", "c", "d")...)
	for i := range requests {
		tr.arrive(fmt.Sprint(i), 0, 50, 2000)
	}
	tr.advance(1500) // the engines give no sign of life
	for _, a := range tr.actions {
		if a.Kind == CancelAttempt && a.Reason == UnresponsiveAttempt {
			tr.endAttempt(a.RequestID, Cancelled)
		}
	}
	for _, a := range tr.finals {
		if a.Reason == RetryBudgetExhausted {
			t.Errorf("request %s failed: its attempt was cancelled for a retry beyond the budget", a.RequestID)
		}
	}
	if countActions(tr.actions, CancelAttempt) == 0 {
		t.Error("no attempt was cancelled")
	}
}
