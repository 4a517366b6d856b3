package membership

import "net/netip"

const (
	uptimeUnitMS       = 100.0    // of the uptime that a young process reports
	reportsUptimeForMS = 30_000.0 // after its start
	// uptimeToleranceMS is by how much a process may seem older than its incarnation:
	// for delays and clock rates.
	uptimeToleranceMS = 2000.0
	// minReplyIntervalMS is between unrequested replies to one member.
	minReplyIntervalMS = 200.0
)

// How often a newly learned name is passed on.
const (
	nameTransmitsFromGossip = 2
	nameTransmitsFromOwner  = 4
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

// handleKind does what a message asks for.
func (v *View) handleKind(sender *entry, m *message) {
	switch m.kind {
	case ping:
		v.reply(sender, ack, m)
		return // the ack carries what the sender lacks
	case ack:
		v.handleAck(m.seq, sender)
		v.forwardAck(m.seq, sender)
	case indirectAck:
		v.handleAck(m.seq, nil)
	case pingRequest:
		v.servePingRequest(sender, m)
	case nack, gossip: // no more than what they carry
	default: // decode accepts no other kind
	}
	v.replyIfOutdated(sender, m)
}

// replyIfOutdated sends gossip to a member whose message shows that it lacks
// something, unless it was sent a reply just now.
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

// findSender returns the member that sent a datagram, and adds an unlisted one
// that may join; nil: nobody that may take part.
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

// unlistedByAddr returns the unlisted member of an address; nil: none.
func (v *View) unlistedByAddr(addr netip.AddrPort) *entry {
	for _, e := range v.ring[len(v.options.Peers):] {
		if e.Addr == addr {
			return e
		}
	}
	return nil
}

// admitSender adds an unlisted sender that is not in the view.
func (v *View) admitSender(addr netip.AddrPort, m *message) *entry {
	forgottenIncarnation := v.tombstones.incarnations[m.name]
	if m.incarnation > forgottenIncarnation {
		return v.join(m.name, addr, m.incarnation)
	}
	// It has returned under the incarnation that it was forgotten with, or an older
	// one: it is dead until it learns so and begins a new one.
	e := v.join(m.name, addr, forgottenIncarnation+1)
	if e != nil {
		v.setState(e, forgottenIncarnation, Dead, 0)
	}
	return e
}

// updateSender learns what a datagram proves about its sender.
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

// isOtherProcess reports whether a message under a member's incarnation comes
// from a process other than the one that began the incarnation.
func (v *View) isOtherProcess(e *entry, m *message) bool {
	if e.bootID != 0 && e.bootID != m.bootID {
		return true
	}
	incarnationAgeMS := v.nowMS - e.incarnationSeenAtMS
	return m.uptime > 0 && incarnationAgeMS > float64(m.uptime)*uptimeUnitMS+uptimeToleranceMS
}

// mustLearnOwnState reports whether a member that sends as alive under an
// incarnation has to learn that the view holds something that overrides it.
func (v *View) mustLearnOwnState(e *entry, incarnation uint32) bool {
	return e.Incarnation > incarnation ||
		e.Incarnation == incarnation && (e.State > Alive || e.incarnationReused)
}

// reply answers a message with a kind of its own and what its sender lacks.
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
