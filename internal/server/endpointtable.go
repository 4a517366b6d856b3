package server

import (
	"slices"

	"dewhill/control"
	"dewhill/internal/subset"
)

// endpointTable is the endpoint list as it was received, and the part of it that the
// dispatcher is shown: the engines of this front end's subset.
type endpointTable struct {
	plan            subset.Plan
	subset          subset.Selector // among the front ends that are alive
	slowStartSubset subset.Selector // among all that are configured, where some are not alive
	coresByKind     []int           // of an engine of each kind

	engines       []control.EngineInfo // in the order in which they were first listed
	indexByID     map[string]int       // in engines
	overridden    map[string]bool      // ids that operators have named: the dispatcher is always shown them
	outsideSubset []bool               // of engines, as selected last: usable, and not in the subset
	hasRemoved    bool                 // some of engines have been removed
}

// newEndpointTable returns an empty list of a front end that selects its subset by
// the plan.
func newEndpointTable(plan subset.Plan, coresByKind []int) *endpointTable {
	return &endpointTable{
		plan:        plan,
		coresByKind: coresByKind,
		indexByID:   map[string]int{},
		overridden:  map[string]bool{},
	}
}

// wouldEmptyList reports whether a list with so many entries would leave this
// front end no engine that the last one has. It guards against a snapshot that was
// cut off, or made before its source knew anything: engines are drained and removed
// by name.
func (t *endpointTable) wouldEmptyList(snapshot bool, entries int) bool {
	return snapshot && entries == 0 && t.listedCount() > 0
}

// markOverridden has the dispatcher shown an engine whether it is in the subset or
// not, and reports whether it was hidden so far.
func (t *endpointTable) markOverridden(id string) (hidden bool) {
	i, listed := t.indexByID[id]
	hidden = listed && i < len(t.outsideSubset) && t.outsideSubset[i] && !t.overridden[id]
	t.overridden[id] = true
	return hidden
}

// merge applies an update: a snapshot replaces the list, any other update replaces
// the engines that it names.
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

// listedCount counts the engines in the list that are not removed.
func (t *endpointTable) listedCount() int {
	count := 0
	for _, e := range t.engines {
		if !e.Removed {
			count++
		}
	}
	return count
}

// visible returns what the dispatcher is to be shown after updates were merged: the
// subset, what is draining or has been removed, and what operators have named.
// Engines outside the subset are left out, which ends their use: a decision then
// costs as much as the subset is large, however many engines there are. Removed
// engines are shown once, and then forgotten: else the list would grow with every
// engine that there ever was.
func (t *endpointTable) visible() []control.EngineInfo {
	all := t.selectSubset()
	visible := []control.EngineInfo{}
	for i, e := range all {
		if !t.outsideSubset[i] || t.overridden[e.ID] {
			visible = append(visible, e)
		}
	}
	t.forgetRemoved()
	return visible
}

// forgetRemoved drops engines that have been removed.
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

// selectSubset returns the whole list, with how many front ends share each engine,
// and each engine outside the subset as draining, so that what runs there ends and
// nothing new goes there.
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

// candidates are the engines as the selection knows them.
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

// divideSlowStart divides the slow-start budget of each engine among all front ends
// that are configured. It guards engines that are warming up against front ends
// that are taken for dead and are not.
func (t *endpointTable) divideSlowStart(selected []control.EngineInfo, candidates []subset.Engine) {
	configured := t.plan
	configured.Alive = nil
	for _, member := range t.slowStartSubset.Select(configured, candidates) {
		e := &selected[t.indexByID[member.EngineID]]
		e.SlowStartGatewayCount = member.GatewayCount
		e.SlowStartGatewayIndex = member.GatewayIndex
		if !member.Selected {
			e.SlowStartGatewayIndex = -1
		}
	}
}
