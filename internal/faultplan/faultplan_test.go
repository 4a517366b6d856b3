package faultplan

import (
	"math/rand/v2"
	"testing"
)

// TestPartitionsDrop checks which datagrams each kind of partition drops, and that it
// drops them only from its start to its end.
func TestPartitionsDrop(t *testing.T) {
	cases := []struct {
		name     string
		kind     Kind
		from, to int
		nowMS    float64
		drops    bool
	}{
		{"one way, out", OneWayPartition, 0, 2, 10, true},
		{"one way, in", OneWayPartition, 2, 0, 10, false},
		{"both ways, out", Partition, 1, 2, 10, true},
		{"both ways, in", Partition, 2, 1, 10, true},
		{"both ways, inside", Partition, 0, 1, 10, false},
		{"pair", PairPartition, 0, 1, 10, true},
		{"pair to others", PairPartition, 0, 2, 10, false},
		{"before the start", Partition, 0, 2, 9, false},
		{"at the end", Partition, 0, 2, 30, false},
		{"process fault", ProcessKill, 0, 2, 10, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			timeline := Timeline{Size: 3, Faults: []Fault{{Kind: c.kind, StartMS: 10, DurationMS: 20, Targets: []int{0, 1}}}}
			copies := timeline.Deliver(rand.New(rand.NewPCG(1, 1)), c.nowMS, c.from, c.to, []byte("x"))
			if (len(copies) == 0) != c.drops {
				t.Errorf("%d copies arrive, want drop %v", len(copies), c.drops)
			}
		})
	}
}

// TestGenerate checks that generated faults end within the duration and that no
// process has two process faults.
func TestGenerate(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		timeline := Generate(seed, 16, 10, 20_000)
		if end := timeline.End(); end > 20_000 {
			t.Errorf("%vends at %.0f ms, after the limit of 20000 ms", timeline, end)
		}
		faults := make([]int, 16)
		for _, f := range timeline.Faults {
			for _, i := range f.Targets {
				if f.Kind.IsProcessFault() {
					faults[i]++
				}
			}
		}
		for i, n := range faults {
			if n > 1 {
				t.Errorf("%vprocess %d has %d process faults, want at most 1", timeline, i, n)
			}
		}
	}
}
