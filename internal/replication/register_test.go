package replication

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawWrites draws writes for one key as three replicas make them and send them to each
// other.
func drawWrites(t *rapid.T) (writes []*Override) {
	replicas := make([]register, 3)
	for range rapid.IntRange(1, 10).Draw(t, "writes") {
		i := rapid.IntRange(0, 2).Draw(t, "writer")
		dot := Dot{ProcessID: uint64(i + 1), Timestamp: uint64(len(writes) + 1)}
		w := replicas[i].newWrite(dot, rapid.Bool().Draw(t, "disabled"), "n")
		replicas[i].merge(w)
		writes = append(writes, w)
		if rapid.Bool().Draw(t, "replicated") {
			to := rapid.IntRange(0, 2).Draw(t, "to")
			for _, o := range slices.Clone(replicas[i].writes) {
				replicas[to].merge(o)
			}
		}
	}
	return writes
}

func mergeWrites(writes ...*Override) (r register) {
	for _, w := range writes {
		r.merge(w)
	}
	return r
}

func describe(r register) (s string) {
	for _, w := range r.writes {
		s += fmt.Sprint(w.Dot, w.Disabled, " ")
	}
	return s
}

// TestMerge checks that merging is commutative, associative and idempotent, and that
// "disabled" takes effect if any write that is not superseded disables the key.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		writes := drawWrites(t)
		merged := mergeWrites(writes...)
		reordered := mergeWrites(append(rapid.Permutation(writes).Draw(t, "order"), writes...)...)
		if describe(merged) != describe(reordered) {
			t.Fatalf("merged %s, in another order %s", describe(merged), describe(reordered))
		}
		cut := rapid.IntRange(0, len(writes)).Draw(t, "cut")
		first, second := mergeWrites(writes[:cut]...), mergeWrites(writes[cut:]...)
		if joined := mergeWrites(slices.Concat(first.writes, second.writes)...); describe(joined) != describe(merged) {
			t.Fatalf("merged %s, in two parts %s", describe(merged), describe(joined))
		}
		current, conflicts := merged.resolve()
		for _, conflict := range conflicts {
			if conflict.Disabled || !current.Disabled {
				t.Fatalf("%+v takes precedence over %+v", current, conflict)
			}
		}
	})
}
