package replication

import (
	"fmt"
	"testing"
)

// writeLog records the writes that each write has superseded. They are derived from the
// content of the replica at the time of the write, not from the context of the write.
type writeLog struct {
	superseded map[Dot]map[Dot]bool
	disabled   map[string]map[Dot]bool // by engine, then by write
}

// write writes an override at a replica, and records it if it changes the register.
func (l *writeLog) write(f *fleet, i int, engine string, disabled bool) {
	r := f.replicas[i]
	superseded := map[Dot]bool{}
	if reg := r.registers[Key{Engine, engine}]; reg != nil {
		for _, w := range reg.writes {
			superseded[w.Dot] = true
			for d := range l.superseded[w.Dot] {
				superseded[d] = true
			}
		}
	}
	writes := r.Counters.Writes
	f.write(i, engine, disabled, 1)
	if r.Counters.Writes == writes {
		return
	}
	dot := Dot{r.options.ProcessID, r.lastTimestamp}
	l.superseded[dot] = superseded
	if l.disabled[engine] == nil {
		l.disabled[engine] = map[Dot]bool{}
	}
	l.disabled[engine][dot] = disabled
}

// isDisabled reports whether the merge rule disables an engine: that is, whether a write
// that disables it has not been superseded.
func (l *writeLog) isDisabled(engine string) bool {
	for dot, disabled := range l.disabled[engine] {
		isSuperseded := false
		for other := range l.disabled[engine] {
			isSuperseded = isSuperseded || l.superseded[other][dot]
		}
		if disabled && !isSuperseded {
			return true
		}
	}
	return false
}

// simulatePartitions simulates partitions with writes on all sides. It returns a
// description of the first check that fails after the partitions have healed, or "" if all
// checks pass, and the time that the replicas took to become equal.
func simulatePartitions(seed uint64, size int) (failure string, tookMS float64) {
	const convergenceLimitMS = 15_000
	f := newFleet(seed, size, Options{})
	f.Run(3000)
	writes := &writeLog{superseded: map[Dot]map[Dot]bool{}, disabled: map[string]map[Dot]bool{}}
	for range 3 {
		f.lossRate = 0.2 * f.rng.Float64()
		sides := 1 + f.rng.IntN(3)
		f.setPartition(func(int) int { return f.rng.IntN(sides) })
		for range 1 + f.rng.IntN(8) {
			f.Run(2000 * f.rng.Float64())
			i := f.rng.IntN(size)
			engine := fmt.Sprint("s-", f.rng.IntN(3))
			disabled := f.rng.IntN(2) == 0
			writes.write(f, i, engine, disabled)
		}
		f.heal()
		f.Run(1000 * f.rng.Float64())
	}
	tookMS, ok := f.runUntilEqual(convergenceLimitMS)
	if !ok {
		return "replicas differ 15 s after the partition has healed", tookMS
	}
	for engine := range writes.disabled {
		want := writes.isDisabled(engine)
		for i, r := range f.replicas {
			if r.IsDisabled(Key{Engine, engine}) != want {
				return fmt.Sprintf("%s: want disabled %v, front end %d has %+v", engine, want, i, r.Registers()), tookMS
			}
		}
	}
	return "", tookMS
}

// TestReplicasConverge simulates many sequences of partitions with writes on all sides. It
// checks that the replicas have the same digest within 15 s, and the state that follows from
// the merge rule.
func TestReplicasConverge(t *testing.T) {
	maxMS := 0.0
	for seed := uint64(1); seed <= 100; seed++ {
		t.Run(fmt.Sprintf("12 replicas, seed %d", seed), func(t *testing.T) {
			failure, tookMS := simulatePartitions(seed, 12)
			maxMS = max(maxMS, tookMS)
			if failure != "" {
				t.Error(failure)
			}
		})
	}
	t.Logf("12 replicas, 100 seeds: equal after at most %.0f ms", maxMS)
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprintf("300 replicas, seed %d", seed), func(t *testing.T) {
			failure, tookMS := simulatePartitions(seed, 300)
			if failure != "" {
				t.Error(failure)
			}
			t.Logf("equal after %.0f ms", tookMS)
		})
	}
}
