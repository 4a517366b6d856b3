package membership

import "net/netip"

const (
	uptimeUnitMS       = 100.0    // unit of the reported uptime
	reportsUptimeForMS = 30_000.0 // time after its start for which a process reports its uptime
	// uptimeToleranceMS is the time by which this front end's knowledge of an
	// incarnation may exceed the reported uptime of its process, because of delays and
	// differing clock rates.
	uptimeToleranceMS = 2000.0
	// minReplyIntervalMS is the minimum time between a reply to a member and an
	// unrequested reply to it.
	minReplyIntervalMS = 200.0
)

// The number of datagrams that carry a newly received name.
const (
	nameTransmitsFromGossip = 2 // the name was received from another member
	nameTransmitsFromOwner  = 4 // the name was received from its owner
)

// receive handles a datagram. A malformed one is counted and dropped.
func (v *View) receive(received MessageReceived) {
	v.Counters.DatagramsReceived++
	v.Counters.BytesReceived += len(received.Message)
	m, err := decode(received.Message)
	if err != nil {
		v.Counters.Malformed++
		return
	}
	if !v.started {
		return
	}
	sender := v.findSender(received, &m)
	if sender == nil || sender == v.self {
		return
	}
	v.updateSender(sender, &m)
	v.mergeMessage(&m)
	v.recordDigest(sender, &m)
	v.handleKind(sender, &m)
}

// handleKind handles a message according to its kind.
func (v *View) handleKind(sender *entry, m *message) {
	switch m.kind {
	case ping:
		v.reply(sender, ack, m)
		return // the ack carries the updates that the sender lacks
	case ack:
		v.handleAck(m.seq, sender)
		v.forwardAck(m.seq, sender)
	case indirectAck:
		v.handleAck(m.seq, nil)
	case pingRequest:
		v.servePingRequest(sender, m)
	case nack, gossip: // request nothing; their updates have been merged
	default: // decode accepts no other kind
	}
	v.replyIfOutdated(sender, m)
}

// replyIfOutdated sends gossip to a member whose message shows that its view is
// outdated, unless a reply was sent to it within minReplyIntervalMS or the budget is
// too small.
func (v *View) replyIfOutdated(sender *entry, m *message) {
	digestsDiffer := m.rangeDigests != nil && v.hasSameList(m) && m.digest != v.Digest()
	if !digestsDiffer && !v.mustLearnOwnState(sender, m.incarnation) {
		return
	}
	if v.nowMS > sender.lastRepliedMS+minReplyIntervalMS && v.budget.hasProbeReserve() {
		v.reply(sender, gossip, m)
	}
}

// hasSameList reports whether the sender's configured list has the length of this
// front end's, so that numbers mean the same members.
func (v *View) hasSameList(m *message) bool { return m.listSize == uint32(len(v.options.Peers)) }

// findSender returns the member that sent a datagram, and adds it if it is unlisted
// and may join; nil if the sender is not a member and may not join.
func (v *View) findSender(received MessageReceived, m *message) *entry {
	if v.isListed(received.Number) {
		return v.ring[received.Number]
	}
	if m.name == "" {
		return v.unlistedByAddr(received.From)
	}
	e := v.byName[m.name]
	if e == nil {
		return v.admitSender(received.From, m)
	}
	if e != v.self && m.incarnation >= e.Incarnation {
		e.Addr = received.From
	}
	return e
}

// unlistedByAddr returns the unlisted member with an address; nil if there is none.
func (v *View) unlistedByAddr(addr netip.AddrPort) *entry {
	for _, e := range v.ring[len(v.options.Peers):] {
		if e.Addr == addr {
			return e
		}
	}
	return nil
}

// admitSender adds an unlisted sender that is not in the view, if it may join.
func (v *View) admitSender(addr netip.AddrPort, m *message) *entry {
	forgottenIncarnation := v.tombstones.incarnations[m.name]
	if m.incarnation > forgottenIncarnation {
		return v.join(m.name, addr, m.incarnation)
	}
	// The sender was forgotten with this incarnation or a larger one. It is added as
	// dead, so that it is notified and begins a new incarnation.
	e := v.join(m.name, addr, forgottenIncarnation+1)
	if e != nil {
		v.setState(e, forgottenIncarnation, Dead, 0)
	}
	return e
}

// updateSender updates the sender's entry with the information in the header of a
// message.
func (v *View) updateSender(e *entry, m *message) {
	e.lastReceivedMS = v.nowMS
	v.recentSenders.add(e)
	v.setName(e, m.name, nameTransmitsFromOwner)
	switch {
	case m.incarnation > e.Incarnation:
		v.setState(e, m.incarnation, Alive, 0)
		e.bootID = m.bootID
	case m.incarnation == e.Incarnation:
		e.incarnationReused = e.incarnationReused || v.isOtherProcess(e, m)
		e.bootID = m.bootID
	}
}

// isOtherProcess reports whether a message with a member's incarnation comes from a
// process other than the process that began the incarnation.
func (v *View) isOtherProcess(e *entry, m *message) bool {
	if e.bootID != 0 && e.bootID != m.bootID {
		return true
	}
	incarnationAgeMS := v.nowMS - e.incarnationSeenAtMS
	return m.uptime > 0 && incarnationAgeMS > float64(m.uptime)*uptimeUnitMS+uptimeToleranceMS
}

// mustLearnOwnState reports whether a member must be notified of its own state in
// this view, because that state overrides being alive under the incarnation with
// which the member sends.
func (v *View) mustLearnOwnState(e *entry, incarnation uint32) bool {
	return e.Incarnation > incarnation ||
		e.Incarnation == incarnation && (e.State > Alive || e.incarnationReused)
}

// reply sends a message of the given kind to the sender of a received message, with
// the states that the sender lacks.
func (v *View) reply(to *entry, kind messageKind, received *message) {
	out := outgoing{number: to.Number, addr: to.Addr, message: message{kind: kind}}
	sameList := v.hasSameList(received)
	if kind == ack {
		out.message.seq = received.seq
		if sameList {
			out.namesFrom = received.namesWantedFrom
		}
	}
	to.lastRepliedMS = v.nowMS
	out.withRangeDigests = sameList && received.digest != v.Digest()
	if v.mustLearnOwnState(to, received.incarnation) {
		out.required = append(out.required, to)
	}
	if out.withRangeDigests && received.rangeDigests != nil {
		v.addDifferingRanges(&out, received.rangeDigests)
	}
	v.transmit(out)
}
