package lease

import (
	"fmt"
	"testing"
)

const (
	// maxRecoveryMS is the time within which a restarted front end must vote again:
	// operators wait for it for 10 seconds.
	maxRecoveryMS = 10_000.0
	// trafficPerSecond is the rate of new loads while front ends are restarted.
	trafficPerSecond = 90.0
	// repeatsPerBatch is the number of loads that are repeated at once.
	repeatsPerBatch = 100
)

// recentSeconds is the age of completed loads that are far from being evicted.
const recentSeconds = 200

// addCompletedLoads gives all front ends the records of completed loads with the keys of
// the numbers 0 to count - 1, whose ages are up to maxAgeSeconds.
func (f *fleet) addCompletedLoads(count, maxAgeSeconds int) {
	for n := range count {
		completed := Value{State: Ended, Owner: 1, Fingerprint: uint64(n), Outcome: []byte("done")}
		record := recordCopy{
			key: testKey(n), accepted: Ballot{Number: 1, ProposerID: 1}, value: completed,
			ageSeconds: uint32(maxAgeSeconds * (count - n) / count),
		}
		header := &message{verb: verbRecords, canVote: true, senderID: 1}
		for i := range f.managers {
			f.apply(i, MessageReceived{From: Peer{Number: (i + 1) % len(f.managers)}, Message: record.append(header.append(nil))})
		}
	}
}

// requestLoad requests the lease of a load from a front end. A granted load is completed
// at once. decided is called with the decision.
func (f *fleet) requestLoad(i, n int, decided func(DecisionKind)) {
	f.lastRequestID++
	f.waiting[f.lastRequestID] = func(d Decision) {
		if d.Kind == Granted {
			f.apply(i, Released{Key: testKey(n), Result: Completed, Outcome: []byte("done")})
		}
		decided(d.Kind)
	}
	f.apply(i, AcquireRequest{
		Key: testKey(n), Fingerprint: uint64(n), RequestID: f.lastRequestID, DeadlineMS: f.NowMS + 10_000,
	})
}

// startTraffic sends new loads with the keys of the numbers from first on to the front
// ends that are up, until the returned function is called. That function returns the
// numbers of the loads that ran.
func (f *fleet) startTraffic(first int) (stop func() (ran []int)) {
	var ran []int
	stopped := false
	next := first
	var send func()
	send = func() {
		if stopped {
			return
		}
		n := next
		next++
		if i := n % len(f.managers); f.managers[i] != nil {
			f.requestLoad(i, n, func(kind DecisionKind) {
				if kind == Granted {
					ran = append(ran, n)
				}
			})
		}
		f.After(1000/trafficPerSecond, send)
	}
	send()
	return func() []int {
		stopped = true
		return ran
	}
}

// restart stops a front end, starts it again after downMS, and returns the time from then
// on until it votes.
func (f *fleet) restart(i int, downMS float64) (recoveryMS float64) {
	const pollMS = 10.0
	f.kill(i)
	f.Run(downMS)
	f.start(i)
	startedAtMS := f.NowMS
	for !f.managers[i].CanVote() && f.NowMS < startedAtMS+maxRecoveryMS {
		f.Run(pollMS)
	}
	return f.NowMS - startedAtMS
}

// checkKnown repeats loads that have run, and reports those that are granted again or
// that are not known.
func (f *fleet) checkKnown(t *testing.T, loads []int) {
	t.Helper()
	granted, unknown := 0, 0
	for k, n := range loads {
		f.requestLoad(n%len(f.managers), n, func(kind DecisionKind) {
			switch kind {
			case AlreadyCompleted:
			case Granted:
				granted++
			default:
				unknown++
			}
		})
		if k%repeatsPerBatch == 0 {
			f.Run(20)
		}
	}
	f.Run(11_000)
	if granted > 0 || unknown > 0 {
		t.Errorf("of %d loads that have run, %d run again and %d are not known", len(loads), granted, unknown)
	}
}

// numbersTo returns the numbers from 0 to count - 1.
func numbersTo(count int) (numbers []int) {
	for n := range count {
		numbers = append(numbers, n)
	}
	return numbers
}

// rollingRestart describes a fleet in which one front end after another is restarted, each as
// soon as the one before votes.
type rollingRestart struct {
	fronts, loads int
	lossRate      float64
	traffic       bool
	maxAgeSeconds int // of the loads
	remembered    int // number of the latest loads that are known after the restarts
}

// check checks that each front end votes in time, and that the loads are known at the end.
func (c rollingRestart) check(t *testing.T) {
	t.Helper()
	f := newFleet(11, c.fronts, false, Options{})
	f.Run(10_000)
	f.addCompletedLoads(c.loads, c.maxAgeSeconds)
	ran := numbersTo(c.loads)[c.loads-c.remembered:]
	stopTraffic := func() []int { return nil }
	if c.traffic {
		stopTraffic = f.startTraffic(c.loads)
	}
	f.lossRate = c.lossRate
	for i := range c.fronts {
		recoveryMS := f.restart(i, 1000)
		t.Logf("front end %d voted %.0f ms after its restart, with %d records", i, recoveryMS, f.managers[i].RecordCount())
		if recoveryMS >= maxRecoveryMS {
			t.Errorf("front end %d does not vote %.0f ms after its restart", i, recoveryMS)
		}
	}
	f.checkKnown(t, append(ran, stopTraffic()...))
}

// TestRollingRestartForgetsNoLoad guards against loads that run twice after a rolling
// restart, because a restarted front end needed a minute to copy their records.
func TestRollingRestartForgetsNoLoad(t *testing.T) {
	for _, c := range []rollingRestart{
		{fronts: 2, loads: 2760},
		{fronts: 3, loads: 300},
		{fronts: 3, loads: 2760, traffic: true},
		{fronts: 3, loads: 10_000, lossRate: 0.02},
		{fronts: 3, loads: 16_384},
		{fronts: 4, loads: 14_000, lossRate: 0.02, traffic: true},
		{fronts: 5, loads: 2760, lossRate: 0.05, traffic: true},
		{fronts: 16, loads: 5000, traffic: true},
	} {
		c.maxAgeSeconds = recentSeconds
		c.remembered = c.loads
		t.Run(fmt.Sprintf("%d front ends %d loads", c.fronts, c.loads), c.check)
	}
}

// TestRollingRestartWhileRecordsAreEvicted guards against restarted front ends without a
// vote: each evicted copied records in the order in which they had arrived, and so had
// others than the voters.
func TestRollingRestartWhileRecordsAreEvicted(t *testing.T) {
	for _, c := range []rollingRestart{
		{fronts: 3, loads: 3000, maxAgeSeconds: 600, remembered: 2000, traffic: true},
		{fronts: 3, loads: 10_000, maxAgeSeconds: 620, remembered: 7500, lossRate: 0.02, traffic: true},
		{fronts: 3, loads: 16_000, maxAgeSeconds: 600, remembered: 8000, traffic: true},
		{fronts: 3, loads: 20_000, maxAgeSeconds: recentSeconds, remembered: 8000, traffic: true},
		{fronts: 5, loads: 20_000, maxAgeSeconds: recentSeconds, remembered: 8000, traffic: true},
	} {
		t.Run(fmt.Sprintf("%d front ends %d loads of %d s", c.fronts, c.loads, c.maxAgeSeconds), c.check)
	}
}

// TestRunningVotersAreCopied guards against loads that run twice after a second front end
// was restarted, because the two voted with the part of the records that they had copied
// by then, although a third front end with all records was running.
func TestRunningVotersAreCopied(t *testing.T) {
	const (
		loads        = 1000
		repeatFromMS = 6000.0
		copyFromMS   = 9000.0 // until then, no record reaches the restarted front ends
	)
	for _, fronts := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d front ends", fronts), func(t *testing.T) {
			f := newFleet(12, fronts, false, Options{})
			f.Run(10_000)
			f.addCompletedLoads(loads, recentSeconds)
			startedAtMS := f.NowMS
			f.intercept = func(_, _ int, msg []byte) bool {
				decoded, _ := decode(msg)
				return decoded.verb == verbRecords && f.NowMS < startedAtMS+copyFromMS
			}
			last := fronts - 1
			for i := range last {
				f.kill(i)
				f.start(i)
			}
			f.Run(repeatFromMS)
			granted := 0
			for n := range loads {
				f.requestLoad(n%last, n, func(kind DecisionKind) {
					if kind == Granted {
						granted++
					}
				})
			}
			f.Run(copyFromMS)
			if granted > 0 {
				t.Errorf("%d of %d loads run again", granted, loads)
			}
			for i, m := range f.managers {
				if !m.CanVote() {
					t.Errorf("front end %d does not vote", i)
				}
			}
			f.checkKnown(t, numbersTo(loads))
		})
	}
}

// TestOutcomesSpreadUnderLoad guards against the answer that a load may have run, although
// it has ended with a known outcome: rounds took all of the budget, and outcomes were not
// announced before their front end was restarted.
func TestOutcomesSpreadUnderLoad(t *testing.T) {
	const (
		loads     = 2000
		perSecond = 400.0
		spreadMS  = 1000.0
	)
	for _, fronts := range []int{3, 5, 16} {
		t.Run(fmt.Sprintf("%d front ends", fronts), func(t *testing.T) {
			f := newFleet(13, fronts, false, Options{})
			f.Run(10_000)
			for n := range loads {
				f.After(float64(n)*1000/perSecond, func() { f.requestLoad(n%fronts, n, func(DecisionKind) {}) })
			}
			f.Run(loads*1000/perSecond + spreadMS)
			for i, m := range f.managers {
				if pending := m.PendingOutcomes(); pending > 0 {
					t.Errorf("front end %d: %d outcomes are known to less than a quorum", i, pending)
				}
			}
			f.kill(0)
			f.Run(5000)
			f.start(0)
			f.Run(10_000)
			f.checkKnown(t, numbersTo(loads))
		})
	}
}
