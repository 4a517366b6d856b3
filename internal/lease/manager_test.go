package lease

import (
	"maps"
	"testing"
)

// TestDecisions checks each decision: on an unknown key that is marked as a retry, on a
// key that belongs to another load, on a load that is running, has run or may have run,
// and on the minority side of a partition, which must leave no lease behind.
func TestDecisions(t *testing.T) {
	f := newFleet(3, 5, false, Options{})
	f.Run(10_000)
	request := func(i, key int, fingerprint uint64, isRetry bool) Decision {
		return f.request(i, AcquireRequest{Key: testKey(key), Fingerprint: fingerprint, IsRetry: isRetry}, 2500, 3000)
	}
	if d := request(0, 1, 5, true); d.Kind != Forgotten {
		t.Errorf("an unknown key marked as a retry: %+v", d)
	}
	if d := request(0, 1, 5, false); d.RequestID == 0 || d.Kind != Granted || d.ElapsedMS > 300 {
		t.Errorf("a new key: %+v", d)
	}
	if d := request(1, 1, 6, true); d.Kind != Conflict {
		t.Errorf("another load with the key: %+v", d)
	}
	if d := request(1, 1, 5, true); d.Kind != RunningElsewhere {
		t.Errorf("while the load runs: %+v", d)
	}
	f.apply(0, Released{Key: testKey(1), Result: Completed, Outcome: []byte("3 rows")})
	if d := request(2, 1, 5, true); d.Kind != AlreadyCompleted || string(d.Outcome) != "3 rows" {
		t.Errorf("after the load has run: %+v", d)
	}
	f.setPartition(0, 0, 0, 1, 1)
	if d := request(3, 2, 5, false); d.Kind != NoQuorum {
		t.Errorf("on the minority side: %+v", d)
	}
	f.setPartition(0, 0, 0, 0, 0)
	f.Run(3000)
	if d := request(1, 2, 5, false); d.RequestID == 0 || d.Kind != Granted {
		t.Errorf("after the partition has healed: %+v", d)
	}
	f.kill(1)
	f.Run(5000)
	if d := request(0, 2, 5, false); d.Kind != PossiblyRan {
		t.Errorf("after the owner has left: %+v", d)
	}
	f.start(1)
	f.Run(10_000)
	m := f.managers[1]
	if !m.CanVote() || m.Counters.RecoveriesWithoutQuorum != 0 || m.Digest() != f.managers[0].Digest() {
		t.Errorf("after the loss of its state: votes %v, has the records of the others %v",
			m.CanVote(), m.Digest() == f.managers[0].Digest())
	}
}

// TestUnknownRunIsDecidedSoon guards against requests that wait until their deadline for a
// load whose owner is alive and has reported that the load may have run.
func TestUnknownRunIsDecidedSoon(t *testing.T) {
	const maxDecisionMS = 1000.0
	f := newFleet(5, 5, false, Options{})
	f.Run(10_000)
	for key := range 20 {
		request := AcquireRequest{Key: testKey(key), Fingerprint: 5}
		if d := f.request(0, request, 2500, 3000); d.Kind != Granted {
			t.Fatalf("key %d: %+v, want it granted", key, d)
		}
		f.apply(0, Released{Key: testKey(key), Result: RunUnknown})
		other := 1 + key%4
		if d := f.request(other, request, 20_000, 21_000); d.Kind != PossiblyRan || d.ElapsedMS > maxDecisionMS {
			t.Errorf("key %d: %v after %.0f ms, want %v within %.0f ms", key, d.Kind, d.ElapsedMS, PossiblyRan, maxDecisionMS)
		}
		f.Run(2000)
		if d := f.request(0, request, 20_000, 5000); d.Kind != PossiblyRan {
			t.Errorf("key %d: %v at its owner, want %v", key, d.Kind, PossiblyRan)
		}
	}
	for i, m := range f.managers {
		if m.Digest() != f.managers[0].Digest() || m.Counters.UnusedReleased != 0 {
			t.Errorf("front end %d: its copy differs, or %d leases were released as unused", i, m.Counters.UnusedReleased)
		}
	}
}

// BenchmarkAcquire measures the cost of a lease with five front ends, including the
// work of all of them and of the simulated network.
func BenchmarkAcquire(b *testing.B) {
	f := newFleet(1, 5, false, Options{})
	f.Run(10_000)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		f.apply(n%5, AcquireRequest{Key: testKey(n), Fingerprint: 1, RequestID: uint64(n), DeadlineMS: f.NowMS + 1000})
		f.Run(150)
	}
}

// TestExpiredRequestsAreDecidedAtOnce guards against requests without a decision when their
// process is about to be killed: one that waits for a load that runs elsewhere, one without a
// quorum, and one that arrives later, which must not be granted.
func TestExpiredRequestsAreDecidedAtOnce(t *testing.T) {
	f := newFleet(6, 3, false, Options{})
	f.Run(10_000)
	if d := f.request(0, AcquireRequest{Key: testKey(1), Fingerprint: 5}, 2500, 3000); d.Kind != Granted {
		t.Fatalf("the load that runs elsewhere: %+v, want it granted", d)
	}
	decisions := map[int]DecisionKind{}
	request := func(key int) {
		f.lastRequestID++
		f.waiting[f.lastRequestID] = func(d Decision) { decisions[key] = d.Kind }
		f.apply(1, AcquireRequest{Key: testKey(key), Fingerprint: 5, RequestID: f.lastRequestID, DeadlineMS: f.NowMS + 20_000})
	}
	request(1)
	f.Run(2000)
	f.setPartition(0, 1, 0)
	request(2)
	f.Run(100)
	if len(decisions) > 0 {
		t.Fatalf("decided before the end: %v", decisions)
	}
	f.apply(1, RequestsExpired{})
	request(3)
	want := map[int]DecisionKind{1: RunningElsewhere, 2: NoQuorum, 3: NoQuorum}
	if !maps.Equal(decisions, want) {
		t.Errorf("decisions %v, want %v", decisions, want)
	}
}
