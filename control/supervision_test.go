package control

import "testing"

// An attempt with a bad plan is cancelled and retried on another engine, with and without
// progress reports.
func TestRunawayAttemptIsRetried(t *testing.T) {
	for _, reported := range []bool{false, true} {
		tr := newScenario(t, oneGateway(), engines("a", "b")...)
		tr.arrive("r", 1, 400, 19000) // 100 ms on four threads
		first := tr.starts[0].Engine
		tr.advance(200)
		wait := 600.0
		if reported {
			tr.handle(Event{Kind: AttemptProgress, RequestID: "r", Engine: first, Progress: 0.05})
			wait = 30 // by its progress, the attempt takes four seconds in all
		}
		tr.advance(wait)
		if countActions(tr.actions, CancelAttempt) != 1 {
			t.Fatalf("progress reported %v: %d cancelled, want 1", reported, countActions(tr.actions, CancelAttempt))
		}
		tr.endAttempt("r", Cancelled)
		if len(tr.starts) != 2 || tr.starts[1].Engine == first {
			t.Errorf("progress reported %v: attempts %v", reported, tr.starts)
		}
	}
}

// A load whose response is lost must not block the other requests of its key until its deadline.
// If none waits, the load is left alone, as it may only be slow.
func TestLostLoadReleasesItsKey(t *testing.T) {
	s := oneGateway()
	s.Classes[2].Idempotency = NotIdempotent
	for _, followed := range []bool{true, false} {
		tr := newScenario(t, s, engines("a", "b", "c", "d")...)
		tr.arrive("first", 2, 500, 19000)
		expectedMS := tr.gateway.expectedDurationMS(tr.gateway.requestByID["first"])
		tr.advance(lostResponseFactor*expectedMS - 2*sweepIntervalMS)
		if followed {
			tr.arrive("second", 2, 500, 19000)
		}
		tr.advance(2 * sweepIntervalMS)
		if len(tr.finals) != 0 {
			t.Errorf("final responses %v by %.0f ms, want none", tr.finals, tr.nowMS)
		}
		tr.advance(runawayGraceMS + 2*sweepIntervalMS)
		if !followed {
			if len(tr.finals) != 0 {
				t.Errorf("ended although no other request of its key waits: %v", tr.finals)
			}
			continue
		}
		if len(tr.finals) != 1 || tr.finals[0].RequestID != "first" || tr.finals[0].Kind != FailRequest ||
			countActions(tr.actions, CancelAttempt) != 1 {
			t.Fatalf("final responses %v and %d cancelled attempts, want the first request failed and 1 cancelled",
				tr.finals, countActions(tr.actions, CancelAttempt))
		}
		tr.endAttempt("first", Cancelled)
		tr.advance(tr.settings.KeySettleMS + 2*sweepIntervalMS)
		if second := tr.gateway.requestByID["second"]; len(second.attempts) != 1 {
			t.Errorf("the next request of the key has %d attempts, want 1", len(second.attempts))
		}
	}
}

// An attempt is retried once its status reports have stopped, as its response is lost.
func TestAttemptWithoutStatusIsRetried(t *testing.T) {
	s := manyGateways()
	s.GatewayCount = 1
	tr := newScenario(t, s, engines("a", "b")...)
	tr.arrive("r", 1, 8000, 19000) // two seconds on four threads
	for range 3 {
		tr.advance(s.ProgressIntervalMS)
		tr.handle(Event{Kind: AttemptBlocked, RequestID: "r", BlockedOn: BlockedOnMemory})
	}
	if countActions(tr.actions, CancelAttempt) != 0 {
		t.Fatal("cancelled although status reports arrived")
	}
	tr.advance(missedStatusIntervals*s.ProgressIntervalMS + 100)
	if countActions(tr.actions, CancelAttempt) != 1 {
		t.Error("not cancelled after its status reports had stopped")
	}
}
