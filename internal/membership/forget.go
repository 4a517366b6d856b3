package membership

import (
	"net/netip"
	"slices"
)

const (
	forgetIntervalPeriods = 64
	maxTombstones         = 1 << 12
)

// tombstones are records of forgotten members. Their incarnations prevent an
// outdated update from adding a forgotten member again, and the addresses of dead
// members are kept to be contacted again. Above maxTombstones the oldest are dropped.
type tombstones struct {
	incarnations map[string]uint32 // by name
	order        []string          // names, the oldest first
	addrs        []netip.AddrPort  // of members that were dead; members that left are not contacted
}

func newTombstones() tombstones { return tombstones{incarnations: map[string]uint32{}} }

// covers reports whether the member of a name was forgotten with this incarnation
// or a larger one.
func (t *tombstones) covers(name string, incarnation uint32) bool {
	forgottenIncarnation, found := t.incarnations[name]
	return found && incarnation <= forgottenIncarnation
}

// add records a member that is being forgotten.
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

// forget removes unlisted members that have been dead or left for
// Times.ForgetAfterMS, and records tombstones for them.
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

// isForgettable reports whether a member is unlisted, is not this front end, and has
// been dead or left for Times.ForgetAfterMS.
func (v *View) isForgettable(e *entry) bool {
	if e.Number >= 0 || e == v.self || e.State == Alive || e.State == Suspect {
		return false
	}
	return e.SinceMS <= v.nowMS-v.options.Times.ForgetAfterMS
}
