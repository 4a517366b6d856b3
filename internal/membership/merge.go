package membership

import "net/netip"

// maxUnlistedMembers bounds the number of unlisted members in a view, since messages
// can add them.
const maxUnlistedMembers = 1 << 12

// overrides reports whether (incarnation, state) overrides (thanIncarnation,
// thanState).
func overrides(incarnation uint32, state State, thanIncarnation uint32, thanState State) bool {
	return incarnation > thanIncarnation || incarnation == thanIncarnation && state > thanState
}

// mergeMessage merges all updates that a message carries.
func (v *View) mergeMessage(m *message) {
	if v.hasSameList(m) {
		for _, block := range m.rangeBlocks {
			v.mergeRangeBlock(block)
		}
		for _, u := range m.updates {
			v.mergeUpdate(u)
		}
		for _, n := range m.names {
			if v.isListed(n.number) && v.ring[n.number] != v.self && v.ring[n.number].Name == "" {
				v.setName(v.ring[n.number], n.name, nameTransmitsFromGossip)
			}
		}
	} else {
		v.Counters.OtherList++
	}
	for _, u := range m.unlistedUpdates {
		v.mergeUpdate(u)
	}
}

// mergeUpdate merges an update of a member's state. An update about this front end
// itself is refuted if necessary.
func (v *View) mergeUpdate(u update) {
	if u.incarnation == 0 || u.state == Unknown {
		return
	}
	e := v.updateSubject(u)
	switch {
	case e == nil:
	case e == v.self:
		v.refute(u.incarnation, u.state)
	case overrides(u.incarnation, u.state, e.Incarnation, e.State):
		v.setState(e, u.incarnation, u.state, u.reporter)
	case u.state == Suspect && e.State == Suspect && u.incarnation == e.Incarnation:
		v.confirmSuspicion(e, u.reporter)
	}
}

// updateSubject returns the member that an update is about, and adds it if it is
// unlisted and may join; nil if there is no such member.
func (v *View) updateSubject(u update) *entry {
	if u.number >= 0 {
		if !v.isListed(u.number) {
			return nil
		}
		return v.ring[u.number]
	}
	e := v.byName[u.name]
	if e == nil {
		return v.join(u.name, u.addr, u.incarnation)
	}
	if u.incarnation > e.Incarnation && e != v.self {
		e.Addr = u.addr
	}
	return e
}

// join adds an unlisted member and returns it. It returns nil if the name or the
// address is invalid, if the member was forgotten with this incarnation or a larger
// one, if there are maxUnlistedMembers already, or if this front end accepts only
// listed members.
func (v *View) join(name string, addr netip.AddrPort, incarnation uint32) *entry {
	listed := len(v.options.Peers)
	if name == "" || !addr.IsValid() || len(v.ring)-listed >= maxUnlistedMembers {
		return nil
	}
	if listed > 0 && len(v.options.Seeds) == 0 {
		return nil
	}
	if v.tombstones.covers(name, incarnation) {
		v.Counters.Tombstoned++
		return nil
	}
	return v.insert(name, addr)
}

// setState sets a member's incarnation and state, which must override its present
// ones, and queues the change to be sent to other members.
func (v *View) setState(e *entry, incarnation uint32, state State, reporter uint32) {
	previous := e.Member
	previousTerm := e.digestTerm()
	if incarnation != e.Incarnation {
		e.bootID = 0 // another process may have begun the new incarnation
		e.incarnationReused = false
		e.incarnationSeenAtMS = v.nowMS
	}
	e.Incarnation = incarnation
	e.State = state
	e.SinceMS = v.nowMS
	v.stateCounts[previous.State]--
	v.stateCounts[state]++
	v.addToRangeDigest(e, e.digestTerm()-previousTerm)
	if previous.State == Suspect {
		v.endSuspicion(e)
	}
	v.updateLive(e)
	if state == Suspect && e != v.self {
		v.beginSuspicion(e, reporter)
	}
	v.enqueueUpdate(e)
	v.effects.Changes = append(v.effects.Changes, Change{e.Member, previous.State})
}

// updateLive adds a member to the live members or removes it, according to its
// state.
func (v *View) updateLive(e *entry) {
	alive := e.State == Alive || e.State == Suspect
	if e == v.self || alive == e.isLive() {
		return
	}
	if alive {
		e.liveIndex = len(v.live)
		v.live = append(v.live, e)
		return
	}
	last := v.live[len(v.live)-1]
	v.live[e.liveIndex] = last
	last.liveIndex = e.liveIndex
	v.live = v.live[:len(v.live)-1]
	e.liveIndex = -1
}

// setName stores the name of a listed member if it is new, and queues the name for
// the given number of transmits.
func (v *View) setName(e *entry, name string, transmits int) {
	if e.Number < 0 || name == "" || e.Name == name {
		return
	}
	e.Name = name
	if e.nameTransmits == 0 {
		v.queue.names = append(v.queue.names, e)
	}
	e.nameTransmits = transmits
}
