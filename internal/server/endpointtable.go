package server

import (
	"slices"

	"dewhill/control"
	"dewhill/internal/subset"
)

// endpointTable is the endpoint list as it was received. It selects the part of it that is
// visible to the dispatcher: the engines of this front end's subset.
type endpointTable struct {
	plan        subset.Plan
	subset      subset.Selector // its rankings serve any plan.Alive
	coresByKind []int           // cores of an engine, by kind

	engines       []control.EngineInfo // in the order in which they were first listed
	indexByID     map[string]int       // in engines
	overridden    map[string]bool      // ids that operators have disabled: always visible; value: disabled now
	outsideSubset []bool               // by index in engines: usable, and not selected last
	hasRemoved    bool                 // engines has some that are removed
}

// newEndpointTable returns the empty table of a front end that selects its subset by the
// plan.
func newEndpointTable(plan subset.Plan, coresByKind []int) *endpointTable {
	return &endpointTable{
		plan:        plan,
		coresByKind: coresByKind,
		indexByID:   map[string]int{},
		overridden:  map[string]bool{},
	}
}

// wouldEmptyList reports whether an update with a number of entries is a snapshot without
// engines while the table has some. Such a snapshot was truncated, or made before its
// source had any data: engines that really leave are listed as draining or removed.
func (t *endpointTable) wouldEmptyList(snapshot bool, entries int) bool {
	return snapshot && entries == 0 && t.listedCount() > 0
}

// markOverridden makes an engine visible to the dispatcher whether or not it is in the
// subset, and reports whether it was hidden before.
func (t *endpointTable) markOverridden(id string) (hidden bool) {
	i, listed := t.indexByID[id]
	_, known := t.overridden[id]
	hidden = listed && i < len(t.outsideSubset) && t.outsideSubset[i] && !known
	t.overridden[id] = true
	return hidden
}

// markEnabled records that operators have lifted the override of an engine. The engine stays
// visible until it leaves the list.
func (t *endpointTable) markEnabled(id string) {
	t.overridden[id] = false
	t.forgetOverridden()
}

// forgetOverridden forgets the engines that operators have enabled again and that are no
// longer listed.
func (t *endpointTable) forgetOverridden() {
	for id, disabled := range t.overridden {
		if _, listed := t.indexByID[id]; !listed && !disabled {
			delete(t.overridden, id)
		}
	}
}

// merge applies an update: a snapshot replaces the list, and any other update replaces or
// adds the engines that it names.
func (t *endpointTable) merge(snapshot bool, engines []control.EngineInfo) {
	if snapshot {
		t.engines = t.engines[:0]
		t.indexByID = map[string]int{}
		t.hasRemoved = false
	}
	for _, e := range engines {
		t.hasRemoved = t.hasRemoved || e.Removed
		if i, listed := t.indexByID[e.ID]; listed {
			t.engines[i] = e
			continue
		}
		t.indexByID[e.ID] = len(t.engines)
		t.engines = append(t.engines, e)
	}
}

// listedCount returns the number of engines in the list that are not removed.
func (t *endpointTable) listedCount() int {
	count := 0
	for _, e := range t.engines {
		if !e.Removed {
			count++
		}
	}
	return count
}

// visible returns the engines that the dispatcher receives after updates were merged: the
// subset, draining and removed engines, and those that operators have overridden. Engines
// outside the subset are left out, which ends their use: the cost of a decision then
// depends on the size of the subset and not on the number of engines. Removed engines are
// returned once and then forgotten: otherwise the list would grow with every engine that
// was ever listed.
func (t *endpointTable) visible() []control.EngineInfo {
	all := t.selectSubset()
	visible := []control.EngineInfo{}
	for i, e := range all {
		_, overridden := t.overridden[e.ID]
		if !t.outsideSubset[i] || overridden {
			visible = append(visible, e)
		}
	}
	t.forgetRemoved()
	t.forgetOverridden()
	return visible
}

// forgetRemoved deletes removed engines from the table.
func (t *endpointTable) forgetRemoved() {
	if !t.hasRemoved {
		return
	}
	t.hasRemoved = false
	clear(t.indexByID)
	engines, outside := t.engines[:0], t.outsideSubset[:0]
	for i, e := range t.engines {
		if e.Removed {
			continue
		}
		t.indexByID[e.ID] = len(engines)
		engines = append(engines, e)
		outside = append(outside, t.outsideSubset[i])
	}
	t.engines, t.outsideSubset = engines, outside
}

// selectSubset returns the complete list with the number of front ends that share each
// engine. Engines outside the subset are marked as draining, so that their attempts end
// and no new one starts there.
func (t *endpointTable) selectSubset() []control.EngineInfo {
	candidates := t.candidates()
	selected := slices.Clone(t.engines)
	t.outsideSubset = make([]bool, len(t.engines))
	for _, member := range t.subset.Select(t.plan, candidates) {
		i := t.indexByID[member.EngineID]
		e := &selected[i]
		e.GatewayCount = member.GatewayCount
		e.GatewayIndex = member.GatewayIndex
		e.Draining = !member.Selected
		t.outsideSubset[i] = !member.Selected
	}
	if t.plan.Alive != nil {
		t.divideSlowStart(selected, candidates)
	}
	return selected
}

// candidates returns the engines in the form that subset selection takes.
func (t *endpointTable) candidates() []subset.Engine {
	candidates := make([]subset.Engine, len(t.engines))
	for i, e := range t.engines {
		candidates[i] = subset.Engine{ID: e.ID, Usable: !e.Draining && !e.Removed}
		if e.Kind >= 0 && e.Kind < len(t.coresByKind) {
			candidates[i].Cores = float64(t.coresByKind[e.Kind])
		}
	}
	return candidates
}

// divideSlowStart divides the slow-start budget of each engine among all configured front
// ends. Dividing it among the alive ones would overload engines that are warming up, if a
// front end that is considered dead still sends requests.
func (t *endpointTable) divideSlowStart(selected []control.EngineInfo, candidates []subset.Engine) {
	configured := t.plan
	configured.Alive = nil
	for _, member := range t.subset.Select(configured, candidates) {
		e := &selected[t.indexByID[member.EngineID]]
		e.SlowStartGatewayCount = member.GatewayCount
		e.SlowStartGatewayIndex = member.GatewayIndex
		if !member.Selected {
			e.SlowStartGatewayIndex = -1
		}
	}
}
