package membership

import (
	"net/netip"
	"slices"
)

const (
	forgetIntervalPeriods = 64
	maxTombstones         = 1 << 12
)

// tombstones remember forgotten members, so that no outdated update brings one
// back, and their addresses, to be contacted again. The oldest are dropped.
type tombstones struct {
	incarnations map[string]uint32 // by name
	order        []string          // names, the oldest first
	addrs        []netip.AddrPort  // of members that were dead, not of those that left
}

func newTombstones() tombstones { return tombstones{incarnations: map[string]uint32{}} }

// covers reports whether a name was forgotten with this incarnation or a later one.
func (t *tombstones) covers(name string, incarnation uint32) bool {
	forgottenIncarnation, found := t.incarnations[name]
	return found && incarnation <= forgottenIncarnation
}

// add remembers a member that is being forgotten.
func (t *tombstones) add(m *Member) {
	if _, found := t.incarnations[m.Name]; !found {
		t.order = append(t.order, m.Name)
	}
	t.incarnations[m.Name] = m.Incarnation
	if len(t.order) > maxTombstones {
		delete(t.incarnations, t.order[0])
		t.order = t.order[1:]
	}
	if m.State == Dead && !slices.Contains(t.addrs, m.Addr) {
		t.addrs = append(t.addrs, m.Addr)
		t.addrs = t.addrs[max(0, len(t.addrs)-maxTombstones):]
	}
}

// forget removes unlisted members that have been dead or departed for long.
func (v *View) forget() {
	kept := v.ring[:0]
	for _, e := range v.ring {
		if !v.isForgettable(e) {
			kept = append(kept, e)
			continue
		}
		v.rangeDigests[v.rangeOf(e)] -= e.digestTerm()
		v.stateCounts[e.State]--
		delete(v.byName, e.Name)
		v.queue.updates = removeEntry(v.queue.updates, e)
		v.tombstones.add(&e.Member)
	}
	clear(v.ring[len(kept):])
	v.ring = kept
	v.reindexRing(0)
}

// isForgettable reports whether a member is unlisted and long dead or departed.
func (v *View) isForgettable(e *entry) bool {
	if e.Number >= 0 || e == v.self || e.State == Alive || e.State == Suspect {
		return false
	}
	return e.SinceMS <= v.nowMS-v.options.Times.ForgetAfterMS
}
