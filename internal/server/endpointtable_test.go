package server

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"dewhill/control"
	"dewhill/internal/subset"
)

// newLargeFleetTable returns the empty table of a front end in a fleet of 300, which uses a
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

// usableIDs returns the ids of the engines that may receive new requests.
func usableIDs(engines []control.EngineInfo) map[string]bool {
	ids := map[string]bool{}
	for _, e := range engines {
		if !e.Draining && !e.Removed {
			ids[e.ID] = true
		}
	}
	return ids
}

// findByUsability returns the first engine that is in the set of usable ids if want is
// true, or the first that is not in it.
func findByUsability(engines []control.EngineInfo, usable map[string]bool, want bool) control.EngineInfo {
	i := slices.IndexFunc(engines, func(e control.EngineInfo) bool { return usable[e.ID] == want })
	return engines[i]
}

// mergeAndSelect applies an update and returns the complete list with the subset selected.
func mergeAndSelect(table *endpointTable, snapshot bool, engines []control.EngineInfo) []control.EngineInfo {
	table.merge(snapshot, engines)
	return table.selectSubset()
}

// If an engine of the subset begins to drain, the same update marks it as draining and
// replaces it by another engine: the dispatcher never receives a list without usable
// engines while some are listed.
func TestEndpointTableReplacesDrainingEngine(t *testing.T) {
	table := newLargeFleetTable()
	engines := makeEngines(40)
	before := usableIDs(mergeAndSelect(table, true, engines))
	if len(before) == 0 || len(before) >= len(engines) {
		t.Fatalf("front end 5 of 300 uses %d of %d engines, want some but not all", len(before), len(engines))
	}
	draining := findByUsability(engines, before, true)
	draining.Draining = true
	list := mergeAndSelect(table, false, []control.EngineInfo{draining})
	if len(list) != len(engines) {
		t.Fatalf("the list has %d engines, want %d", len(list), len(engines))
	}
	after := usableIDs(list)
	if after[draining.ID] {
		t.Fatalf("engine %s is draining and still usable", draining.ID)
	}
	if len(after) == 0 {
		t.Fatal("no engine is usable after one began to drain")
	}
	// A restarted front end selects the same subset from the list alone.
	restarted := newLargeFleetTable()
	mergeAndSelect(restarted, true, engines)
	got := usableIDs(mergeAndSelect(restarted, false, []control.EngineInfo{draining}))
	if !maps.Equal(got, after) {
		t.Fatalf("usable after a restart: %v, before: %v", got, after)
	}
}

// A snapshot without engines is ignored while the table has some. In a snapshot that lists
// an engine twice the last entry counts, and engines that a snapshot leaves out are
// removed.
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
	list := mergeAndSelect(table, true, []control.EngineInfo{engines[1], engines[2], draining})
	if usable := usableIDs(list); len(list) != 2 || len(usable) != 1 || !usable[engines[1].ID] {
		t.Errorf("the list is %+v, want 2 engines, only %s usable", list, engines[1].ID)
	}
	removed := []control.EngineInfo{engines[1], draining}
	for i := range removed {
		removed[i].Removed = true
	}
	mergeAndSelect(table, false, removed)
	if table.wouldEmptyList(true, 0) {
		t.Error("a snapshot without engines is ignored although all engines were removed")
	}
}

// The slow-start budget of an engine is divided among all configured front ends, including
// those that the cluster considers dead: in a partition they continue to send requests.
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
	usedSlots := map[slot]bool{} // on both sides of a partition
	shared := map[string]bool{}
	for index := range fleetSize {
		sameSide := make([]bool, fleetSize)
		for other := range sameSide {
			sameSide[other] = other%2 == index%2
		}
		unpartitioned := selectFor(index, nil)
		for i, e := range selectFor(index, sameSide) {
			if e.SlowStartGatewayCount != unpartitioned[i].GatewayCount {
				t.Fatalf("%s: slow start divided among %d front ends, want %d",
					e.ID, e.SlowStartGatewayCount, unpartitioned[i].GatewayCount)
			}
			if e.SlowStartGatewayIndex < 0 {
				continue
			}
			s := slot{engine: e.ID, index: e.SlowStartGatewayIndex}
			if usedSlots[s] {
				t.Fatalf("%s: two front ends have slow-start index %d", e.ID, e.SlowStartGatewayIndex)
			}
			usedSlots[s] = true
			shared[e.ID] = true
		}
	}
	if len(shared) != len(engines) {
		t.Errorf("%d of %d engines have a slow-start share", len(shared), len(engines))
	}
}

// The dispatcher receives the engines of the subset and those that are draining or were
// just removed, and no others.
func TestEndpointTableShowsSubset(t *testing.T) {
	table := newLargeFleetTable()
	engines := makeEngines(400)
	selected := usableIDs(mergeAndSelect(table, true, engines))
	visible := table.visible()
	if usable := usableIDs(visible); len(visible) != len(selected) || !maps.Equal(usable, selected) {
		t.Fatalf("%d engines visible, usable %v, want only %v", len(visible), usable, selected)
	}
	draining, removed := visible[0], visible[1]
	draining.Draining = true
	removed.Removed = true
	table.merge(false, []control.EngineInfo{draining, removed})
	states := map[string]control.EngineInfo{}
	for _, e := range table.visible() {
		states[e.ID] = e
	}
	if !states[draining.ID].Draining || !states[removed.ID].Removed || table.listedCount() != len(engines)-1 {
		t.Errorf("draining %+v, removed %+v, %d listed, want %d",
			states[draining.ID], states[removed.ID], table.listedCount(), len(engines)-1)
	}
}

// An engine that operators have overridden is visible to the dispatcher even if it is
// outside the subset, and is still not used.
func TestEndpointTableShowsOverridden(t *testing.T) {
	table := newLargeFleetTable()
	engines := makeEngines(400)
	selected := usableIDs(mergeAndSelect(table, true, engines))
	visible := table.visible()
	outside := findByUsability(engines, selected, false).ID
	if !table.markOverridden(outside) {
		t.Error("an engine outside the subset was not hidden before its override")
	}
	if table.markOverridden(outside) {
		t.Error("an engine was hidden although it was overridden before")
	}
	if table.markOverridden(visible[0].ID) {
		t.Error("an engine of the subset was hidden")
	}
	if table.markOverridden("never listed") {
		t.Error("an engine that was never listed is reported as hidden before")
	}
	now := table.visible()
	if len(now) != len(visible)+1 {
		t.Errorf("%d engines visible after the override, want %d", len(now), len(visible)+1)
	}
	if usableIDs(now)[outside] {
		t.Error("an overridden engine outside the subset is usable")
	}
}

// Removed engines are deleted from the table, also if operators have overridden one. The
// table would otherwise grow with every engine that was ever listed.
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
		t.Errorf("the table holds %d engines, want the %d that are listed", len(table.engines), len(engines)-1)
	}
}

// TestEndpointTableForgetsEnabledEngines guards against a table that grows with every engine
// that operators have ever disabled.
func TestEndpointTableForgetsEnabledEngines(t *testing.T) {
	table := newLargeFleetTable()
	engines := makeEngines(40)
	mergeAndSelect(table, true, engines)
	const stillDisabled = "still disabled"
	table.markOverridden(stillDisabled)
	table.markOverridden("never listed")
	table.markEnabled("never listed")
	for _, e := range engines[:10] {
		table.markOverridden(e.ID)
		table.markEnabled(e.ID)
	}
	if len(table.overridden) != 11 {
		t.Errorf("%d engines are known as overridden, want the 10 that are listed and one that is disabled", len(table.overridden))
	}
	for _, e := range engines[:5] {
		e.Removed = true
		table.merge(false, []control.EngineInfo{e})
	}
	table.visible()
	table.merge(true, engines[10:])
	table.visible()
	if len(table.overridden) != 1 || !table.overridden[stillDisabled] {
		t.Errorf("known as overridden: %v, want only %q", table.overridden, stillDisabled)
	}
}
