package node

import (
	"slices"

	"dewhill/control"
	"dewhill/internal/board"
	"dewhill/internal/fleet"
)

// table is the whole list as the notice board has told it, and the part of it
// that the decisions are shown: the subset of the fleet plan.
type table struct {
	plan  fleet.Plan
	hosts []control.EngineInfo // in the order the board first told them
	at    map[string]int
	shown map[string]bool // in the subset when it was last shown
}

// newTable keeps the list of front end self of a fleet of fleetSize; each
// aims to use perFront engines (see internal/fleet), 0: all.
func newTable(self, fleetSize, perFront int) *table {
	return &table{plan: fleet.Plan{Self: self, Fleet: fleetSize, PerFront: perFront}, at: map[string]int{}, shown: map[string]bool{}}
}

// usableIn counts the engines of a board's list that may get new work.
func usableIn(ns *board.Notices) int {
	n := 0
	for _, e := range ns.Notices {
		if e.Pool == nil {
			continue
		}
		if e.Pool.Whole {
			n = 0
		}
		for _, h := range e.Pool.Hosts {
			if h.Health == "active" {
				n++
			}
		}
	}
	return n
}

// apply takes an event of the board and returns what the decisions are to
// hear: the whole list, each engine outside the subset shown as draining, so
// that what runs there ends and nothing new goes there.
func (t *table) apply(whole bool, list []control.EngineInfo) []control.EngineInfo {
	if whole {
		t.hosts, t.at = t.hosts[:0], map[string]int{}
	}
	for _, e := range list {
		if i, ok := t.at[e.ID]; ok {
			t.hosts[i] = e
			continue
		}
		t.at[e.ID] = len(t.hosts)
		t.hosts = append(t.hosts, e)
	}
	cands := make([]fleet.Engine, len(t.hosts))
	for i, e := range t.hosts {
		cands[i] = fleet.Engine{ID: e.ID, Usable: !e.Draining && !e.Gone}
	}
	in := map[string]bool{}
	for _, id := range t.plan.Subset(cands) {
		in[id] = true
	}
	t.shown = in
	shown := slices.Clone(t.hosts)
	for i := range shown {
		shown[i].Draining = shown[i].Draining || !in[shown[i].ID]
	}
	return shown
}
