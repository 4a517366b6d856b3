package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"dewhill/internal/antientropy"
)

// watchersPerMember is the number of watchers of a member: the live members directly
// before it on the ring.
const watchersPerMember = 2

// insert adds an unlisted member at its position on the ring, which is by name after
// the listed members.
func (v *View) insert(name string, addr netip.AddrPort) *entry {
	member := Member{Number: -1, Name: name, Addr: addr, SinceMS: v.nowMS}
	e := &entry{Member: member, key: antientropy.HashString(name), liveIndex: -1}
	listed := len(v.options.Peers)
	byName := func(a, b *entry) int { return cmp.Compare(a.Name, b.Name) }
	i, _ := slices.BinarySearchFunc(v.ring[listed:], e, byName)
	v.ring = slices.Insert(v.ring, listed+i, e)
	v.reindexRing(listed + i)
	v.byName[name] = e
	v.stateCounts[Unknown]++
	return e
}

// reindexRing sets the ring index of the members from an index on.
func (v *View) reindexRing(from int) {
	for i := from; i < len(v.ring); i++ {
		v.ring[i].ringIndex = i
	}
}

// probeCandidates returns up to limit live members that follow this front end on the
// ring and are not being probed. Suspects that this front end reported itself are
// left out, since the time-outs of their suspicions decide.
func (v *View) probeCandidates(limit int) []*entry {
	var candidates []*entry
	for k := 1; k < len(v.ring) && len(candidates) < limit; k++ {
		e := v.ring[(v.self.ringIndex+k)%len(v.ring)]
		if e.probing {
			continue
		}
		reportedHere := e.suspicion.hasReporter(v.reporterID(v.self))
		if e.State == Alive || e.State == Suspect && !reportedHere {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

// watchers returns the watchers of this front end.
func (v *View) watchers() []*entry {
	var watchers []*entry
	for k := 1; k < len(v.ring) && len(watchers) < watchersPerMember; k++ {
		other := v.ring[(v.self.ringIndex-k+len(v.ring))%len(v.ring)]
		if other.State == Alive {
			watchers = append(watchers, other)
		}
	}
	return watchers
}

// isWatcherOf reports whether this front end is a watcher of a member.
func (v *View) isWatcherOf(e *entry) bool {
	alive := 0
	for k := 1; k < len(v.ring) && alive < watchersPerMember; k++ {
		other := v.ring[(e.ringIndex-k+len(v.ring))%len(v.ring)]
		if other == v.self {
			return true
		}
		if other.State == Alive {
			alive++
		}
	}
	return false
}

// randomOffset returns a random offset below n, or 0 if n is 0.
func (v *View) randomOffset(n int) int {
	if n == 0 {
		return 0
	}
	return v.rng.IntN(n)
}
