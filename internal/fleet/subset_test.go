package fleet

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func engines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = Engine{ID: fmt.Sprintf("s-%08x", i*2654435761), Usable: true}
	}
	return list
}

// uses counts, for each engine, the front ends whose subset holds it.
func uses(fleetSize, perFront int, list []Engine) (map[string]int, [][]string) {
	count := map[string]int{}
	subsets := make([][]string, fleetSize)
	for f := range fleetSize {
		subsets[f] = Plan{Self: f, Fleet: fleetSize, PerFront: perFront}.Subset(list)
		for _, id := range subsets[f] {
			count[id]++
		}
	}
	return count, subsets
}

// At the size of the standing fleet test every engine is shared by about the
// same number of front ends, and no front end is left with nothing.
func TestSubsetSpreadsTheFleetEvenly(t *testing.T) {
	const fleetSize, perFront = 300, 6
	list := engines(80)
	p := Plan{Fleet: fleetSize, PerFront: perFront}
	sharers := p.Sharers(len(list))
	count, subsets := uses(fleetSize, perFront, list)
	for _, e := range list {
		// Each engine takes exactly its sharers; the front ends' own first
		// engines add some on top.
		if c := count[e.ID]; c < sharers || c > 2*sharers {
			t.Errorf("engine %s is used by %d front ends, want %d to %d", e.ID, c, sharers, 2*sharers)
		}
	}
	for f, s := range subsets {
		if len(s) < perFront/2 || len(s) > 4*perFront {
			t.Errorf("front end %d uses %d engines, want %d to %d", f, len(s), perFront/2, 4*perFront)
		}
	}
}

// A small fleet uses every engine: narrowing it would only lose choices.
func TestSmallFleetUsesEverything(t *testing.T) {
	list := engines(8)
	for f := range 3 {
		if got := (Plan{Self: f, Fleet: 3, PerFront: 6}).Subset(list); len(got) != len(list) {
			t.Errorf("front end %d of 3 uses %d of %d engines", f, len(got), len(list))
		}
	}
	if s := (Plan{Fleet: 3, PerFront: 6}).Sharers(8); s != 3 {
		t.Errorf("sharers of a small fleet %d, want 3", s)
	}
}

// An engine that leaves moves only the front ends it had, and is in no subset;
// a front end that comes back from nothing but its list picks what it had.
func TestSubsetChurnsLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(10, 60).Draw(t, "engines")
		fleetSize := rapid.IntRange(2, 200).Draw(t, "fleet")
		perFront := rapid.IntRange(1, 8).Draw(t, "perFront")
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		list := engines(n)
		_, before := uses(fleetSize, perFront, list)
		after := slices.Clone(list)
		after[gone].Usable = false
		_, now := uses(fleetSize, perFront, after)
		for f := range fleetSize {
			if slices.Contains(now[f], list[gone].ID) {
				t.Fatalf("front end %d still uses %s, which may get no new work", f, list[gone].ID)
			}
			if len(now[f]) == 0 {
				t.Fatalf("front end %d uses nothing while %d engines are usable", f, n-1)
			}
			had := slices.Contains(before[f], list[gone].ID)
			// Guards against a change that reshuffles the whole fleet: the sharers
			// of each engine depend on the count of usable engines, so only a
			// change of that count may move a front end that did not have it.
			if (Plan{Fleet: fleetSize, PerFront: perFront}).Sharers(n) == (Plan{Fleet: fleetSize, PerFront: perFront}).Sharers(n-1) &&
				!had && !slices.Equal(before[f], now[f]) {
				t.Fatalf("front end %d did not use %s and moved: %v to %v", f, list[gone].ID, before[f], now[f])
			}
			again := Plan{Self: f, Fleet: fleetSize, PerFront: perFront}.Subset(after)
			if !slices.Equal(again, now[f]) {
				t.Fatalf("front end %d picks %v after a restart, %v before", f, again, now[f])
			}
		}
	})
}

// BenchmarkSubset is the cost of one list change at the size of the standing
// fleet test: 300 front ends, 80 engines.
func BenchmarkSubset(b *testing.B) {
	list := engines(80)
	p := Plan{Self: 17, Fleet: 300, PerFront: 6}
	b.ReportAllocs()
	for b.Loop() {
		p.Subset(list)
	}
}
