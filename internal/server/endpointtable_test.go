package server

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"dewhill/control"
	"dewhill/internal/subset"
)

// newLargeFleetTable is the empty table of a front end in a fleet of 300, which uses a
// subset of the engines.
func newLargeFleetTable() *endpointTable {
	return newEndpointTable(subset.Plan{GatewayIndex: 5, GatewayCount: 300, Size: subset.AutoSize}, []int{8})
}

func makeEngines(count int) []control.EngineInfo {
	engines := make([]control.EngineInfo, count)
	for i := range engines {
		engines[i] = control.EngineInfo{ID: fmt.Sprintf("s-%04x", i*7919)}
	}
	return engines
}

// usableIDs are the ids of engines that may be sent new requests.
func usableIDs(engines []control.EngineInfo) map[string]bool {
	ids := map[string]bool{}
	for _, e := range engines {
		if !e.Draining && !e.Removed {
			ids[e.ID] = true
		}
	}
	return ids
}

// findByUsability returns the first engine whose id is among the usable ones, or is not.
func findByUsability(engines []control.EngineInfo, usable map[string]bool, want bool) control.EngineInfo {
	i := slices.IndexFunc(engines, func(e control.EngineInfo) bool { return usable[e.ID] == want })
	return engines[i]
}

// mergeAndSelect applies an update and returns the whole list after it.
func mergeAndSelect(table *endpointTable, snapshot bool, engines []control.EngineInfo) []control.EngineInfo {
	table.merge(snapshot, engines)
	return table.selectSubset()
}

// An engine of the subset that begins to drain is shown draining at once, in the same
// update, and another takes its place: the dispatcher is never shown a list with
// nothing usable while there are engines.
func TestEndpointTableReplacesDrainingEngine(t *testing.T) {
	table := newLargeFleetTable()
	engines := makeEngines(40)
	before := usableIDs(mergeAndSelect(table, true, engines))
	if len(before) == 0 || len(before) >= len(engines) {
		t.Fatalf("front end 5 of 300 uses %d of %d engines", len(before), len(engines))
	}
	draining := findByUsability(engines, before, true)
	draining.Draining = true
	shown := mergeAndSelect(table, false, []control.EngineInfo{draining})
	if len(shown) != len(engines) {
		t.Fatalf("the dispatcher is shown %d engines of %d", len(shown), len(engines))
	}
	after := usableIDs(shown)
	if after[draining.ID] {
		t.Fatalf("engine %s is draining and still usable", draining.ID)
	}
	if len(after) == 0 {
		t.Fatal("nothing is usable after one engine began to drain")
	}
	// A restarted front end, from nothing but the list, shows the same.
	restarted := newLargeFleetTable()
	mergeAndSelect(restarted, true, engines)
	got := usableIDs(mergeAndSelect(restarted, false, []control.EngineInfo{draining}))
	if !maps.Equal(got, after) {
		t.Fatalf("after a restart %v, before %v", got, after)
	}
}

// A snapshot without engines removes none; one that names an engine twice holds what
// it says last, and a shorter one removes the rest.
func TestEndpointTableMalformedSnapshots(t *testing.T) {
	table := newEndpointTable(subset.Plan{GatewayIndex: 1, GatewayCount: 2, Size: subset.AutoSize}, []int{8})
	if table.wouldEmptyList(true, 0) {
		t.Error("a first list without engines is ignored")
	}
	engines := makeEngines(4)
	mergeAndSelect(table, true, engines)
	if !table.wouldEmptyList(true, 0) {
		t.Error("a snapshot without engines is applied")
	}
	if table.wouldEmptyList(false, 0) || table.wouldEmptyList(true, 1) {
		t.Error("an update that is not a snapshot without engines is ignored")
	}
	draining := engines[2]
	draining.Draining = true
	shown := mergeAndSelect(table, true, []control.EngineInfo{engines[1], engines[2], draining})
	if usable := usableIDs(shown); len(shown) != 2 || len(usable) != 1 || !usable[engines[1].ID] {
		t.Errorf("shown %+v", shown)
	}
	removed := []control.EngineInfo{engines[1], draining}
	for i := range removed {
		removed[i].Removed = true
	}
	mergeAndSelect(table, false, removed)
	if table.wouldEmptyList(true, 0) {
		t.Error("a list without engines is ignored though all were removed")
	}
}

// The slow-start budget of an engine is divided among all front ends that are
// configured, also where the cluster takes some for dead: partitioned, they go on
// sending.
func TestSlowStartCountsConfiguredFrontEnds(t *testing.T) {
	const fleetSize = 40
	var engines []control.EngineInfo
	for k := range 12 {
		engines = append(engines, control.EngineInfo{ID: fmt.Sprint("e", k), StartedAtMS: 1})
	}
	selectFor := func(index int, alive []bool) []control.EngineInfo {
		plan := subset.Plan{GatewayIndex: index, GatewayCount: fleetSize, Size: 3, MaxThreads: 1, Alive: alive}
		return mergeAndSelect(newEndpointTable(plan, []int{8}), true, slices.Clone(engines))
	}
	type slot struct {
		engine string
		index  int
	}
	taken := map[slot]bool{} // on both sides of a partition
	shared := map[string]bool{}
	for index := range fleetSize {
		sameSide := make([]bool, fleetSize)
		for other := range sameSide {
			sameSide[other] = other%2 == index%2
		}
		unpartitioned := selectFor(index, nil)
		for i, e := range selectFor(index, sameSide) {
			if e.SlowStartGatewayCount != unpartitioned[i].GatewayCount {
				t.Fatalf("%s: divided among %d, configured %d", e.ID, e.SlowStartGatewayCount, unpartitioned[i].GatewayCount)
			}
			if e.SlowStartGatewayIndex < 0 {
				continue
			}
			s := slot{engine: e.ID, index: e.SlowStartGatewayIndex}
			if taken[s] {
				t.Fatalf("%s: two front ends have index %d", e.ID, e.SlowStartGatewayIndex)
			}
			taken[s] = true
			shared[e.ID] = true
		}
	}
	if len(shared) != len(engines) {
		t.Errorf("quotas at %d engines of %d", len(shared), len(engines))
	}
}

// The dispatcher is shown the engines that it may use, those that are draining or have
// just been removed, and no others.
func TestEndpointTableShowsSubset(t *testing.T) {
	table := newLargeFleetTable()
	engines := makeEngines(400)
	selected := usableIDs(mergeAndSelect(table, true, engines))
	shown := table.visible()
	if usable := usableIDs(shown); len(shown) != len(selected) || !maps.Equal(usable, selected) {
		t.Fatalf("shown %d, usable %v, want %v", len(shown), usable, selected)
	}
	draining, removed := shown[0], shown[1]
	draining.Draining = true
	removed.Removed = true
	table.merge(false, []control.EngineInfo{draining, removed})
	states := map[string]control.EngineInfo{}
	for _, e := range table.visible() {
		states[e.ID] = e
	}
	if !states[draining.ID].Draining || !states[removed.ID].Removed || table.listedCount() != len(engines)-1 {
		t.Errorf("draining %+v, removed %+v, %d listed", states[draining.ID], states[removed.ID], table.listedCount())
	}
}

// An engine that operators have named is shown though it is outside the subset, and
// still not used.
func TestEndpointTableShowsOverridden(t *testing.T) {
	table := newLargeFleetTable()
	engines := makeEngines(400)
	selected := usableIDs(mergeAndSelect(table, true, engines))
	shown := table.visible()
	outside := findByUsability(engines, selected, false).ID
	if !table.markOverridden(outside) {
		t.Error("an engine outside the subset is not hidden before it is named")
	}
	if table.markOverridden(outside) {
		t.Error("an engine that was named before is hidden")
	}
	if table.markOverridden(shown[0].ID) {
		t.Error("an engine of the subset is hidden")
	}
	if table.markOverridden("never listed") {
		t.Error("an engine that was never listed is hidden")
	}
	now := table.visible()
	if len(now) != len(shown)+1 {
		t.Errorf("shown %d with one named by an operator, %d before", len(now), len(shown))
	}
	if usableIDs(now)[outside] {
		t.Error("an engine outside the subset may be used")
	}
}

// What was removed is forgotten, so that the list does not grow with every engine that
// there ever was, also where operators have named one.
func TestEndpointTableDropsRemovedEngines(t *testing.T) {
	table := newLargeFleetTable()
	engines := makeEngines(400)
	selected := usableIDs(mergeAndSelect(table, true, engines))
	table.markOverridden(findByUsability(engines, selected, false).ID)
	removed := findByUsability(engines, selected, true)
	removed.Removed = true
	table.merge(false, []control.EngineInfo{removed})
	table.visible()
	for k := range 1000 {
		engine := control.EngineInfo{ID: fmt.Sprint("n", k)}
		table.merge(false, []control.EngineInfo{engine})
		table.visible()
		engine.Removed = true
		table.merge(false, []control.EngineInfo{engine})
		table.visible()
	}
	if len(table.engines) != len(engines)-1 || len(table.indexByID) != len(table.engines) {
		t.Errorf("%d engines are kept of %d that are listed", len(table.engines), len(engines)-1)
	}
}
