package replication

import (
	"fmt"
	"testing"
)

// TestWriteResults checks that a write succeeds once enough front ends have stored it,
// including this front end on its own disk. If too few have stored it in time, the result is
// a failure, but the write stays in effect. A write that changes nothing is not counted as
// a new write.
func TestWriteResults(t *testing.T) {
	r := New(Options{Name: "n0", ProcessID: 3, Durable: true}, 1)
	others := []Peer{{Number: 1}, {Number: 2}, {Number: 3}, {Number: 4}}
	key := Key{Engine, "s-1"}
	r.Apply(0, Start{})
	r.Apply(0, MembersChanged{Alive: others[:1], All: others, Size: 5})
	write := func(nowMS float64) *Effects {
		return r.Apply(nowMS, Write{Key: key, Disabled: true, RequiredReplicas: 3, WallClockMS: 1e12, RequestID: 8})
	}
	effects := write(10)
	if len(effects.Persists) != 1 || len(effects.Sends) < 4 || len(effects.Results) != 0 || len(effects.Changed) != 1 {
		t.Fatalf("effects of a write: %+v", effects)
	}
	sequence := r.pending[0].sequence
	for _, peer := range others[:2] {
		effects = r.Apply(20, MessageReceived{peer, (&message{verb: verbAck, sequence: sequence}).append(nil)})
	}
	if len(effects.Results) != 0 {
		t.Error("the write has a result before it is on disk")
	}
	effects = r.Apply(30, Persisted{1})
	if len(effects.Results) != 1 || effects.Results[0] != (WriteResult{8, 3, true}) {
		t.Errorf("results %+v, want success with 3 replicas", effects.Results)
	}
	effects = write(40)
	if r.Counters.Writes != 1 {
		t.Error("the repeated write counts as a new write")
	}
	if len(effects.Results) != 0 {
		t.Errorf("the repeated write has a result before any member acknowledged it: %+v", effects.Results)
	}
	nowMS := 40.0
	for len(effects.Results) == 0 {
		nowMS = r.NextTimerMS()
		effects = r.Apply(nowMS, TimerFired{})
	}
	if effects.Results[0].OK || !r.IsDisabled(key) || nowMS > 5000 {
		t.Errorf("results %+v after %.0f ms, disabled %v", effects.Results, nowMS, r.IsDisabled(key))
	}
}

// BenchmarkLearn measures the cost of receiving a new write and forwarding it.
func BenchmarkLearn(b *testing.B) {
	r := New(Options{Name: "n0", ProcessID: 3}, 1)
	r.Apply(0, Start{})
	r.Apply(0, MembersChanged{Alive: []Peer{{Number: 1}, {Number: 2}}, All: []Peer{{Number: 1}, {Number: 2}}, Size: 3})
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		header := (&message{verb: verbWrite, sequence: 5}).append(nil)
		key := Key{Engine, fmt.Sprint("s-", n%1000)}
		encoded := appendEntry(header, key, &Override{Dot: Dot{9, n}, Origin: "n1"})
		r.Apply(float64(n), MessageReceived{Peer{Number: 1}, encoded})
	}
}
