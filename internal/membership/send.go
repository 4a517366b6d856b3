package membership

import (
	"net/netip"
	"slices"
)

// maxQueuedPerDatagram is the number of updates of two bytes that fit into a
// datagram.
const maxQueuedPerDatagram = 110

// outgoing describes a datagram to be assembled: a message, and the states and names
// that it carries in addition to queued updates.
type outgoing struct {
	number           int // of the receiver in the list; negative: addr identifies the receiver
	addr             netip.AddrPort
	message          message
	required         []*entry // members whose state precedes other states
	withRangeDigests bool
	ranges           uint16 // bit set of ranges whose states are all sent
	namesFrom        uint32 // number + 1 of the first name to send; 0: none
}

// sendTo sends a message to a member, with queued updates.
func (v *View) sendTo(e *entry, m message) {
	v.transmit(outgoing{number: e.Number, addr: e.Addr, message: m})
}

// transmit assembles a datagram and adds it to the effects. In order of precedence it
// carries the header, uniform blocks of queued updates, blocks of the given ranges,
// required states, the other states of the ranges, queued updates, and names.
func (v *View) transmit(out outgoing) {
	v.fillHeader(&out)
	maxBytes := v.options.MaxMessageBytes
	d := &datagram{maxBytes: maxBytes, bytes: out.message.append(make([]byte, 0, maxBytes))}
	if out.ranges == 0 && v.usesBulkGossip() && v.isReachable(out.number) {
		v.appendUniformBlocks(d)
	}
	rest := v.appendRanges(d, out.ranges)
	required := v.addRequired(d, &out, rest)
	v.addQueued(d, &out, required)
	d.flushUpdates()
	v.queue.updates = slices.DeleteFunc(v.queue.updates, func(e *entry) bool { return e.updateTransmits == 0 })
	v.appendNames(d, &out)
	v.budget.spend()
	v.Counters.DatagramsSent++
	v.Counters.BytesSent += len(d.bytes)
	v.effects.Sends = append(v.effects.Sends, Send{To: Peer{out.number, out.addr}, Message: d.bytes})
}

// fillHeader sets the header fields that describe the sender and its view.
func (v *View) fillHeader(out *outgoing) {
	m := &out.message
	m.incarnation = v.self.Incarnation
	m.bootID = v.bootID
	m.listSize = uint32(len(v.options.Peers))
	m.digest = v.Digest()
	if m.kind == ping || m.kind == ack || out.number < 0 {
		m.name = v.options.Name
	}
	if uptimeMS := v.nowMS - v.startedAtMS; uptimeMS < reportsUptimeForMS {
		m.uptime = 1 + uint32(uptimeMS/uptimeUnitMS)
	}
	if out.withRangeDigests || m.kind == ping && !v.Converged() {
		m.rangeDigests = make([]uint16, rangeCount)
		for i, digest := range v.rangeDigests {
			m.rangeDigests[i] = shortDigest(digest)
		}
	}
	if m.kind == ping && !v.usesBulkGossip() { // bulk gossip needs the space for updates
		m.namesWantedFrom = v.firstUnnamed()
	}
}

// isReachable reports whether the receiver with a number is listed, and is alive in
// this view or a recent sender.
func (v *View) isReachable(number int) bool {
	return number >= 0 && (v.isAlive(number) || v.isRecent(v.ring[number]))
}

// isAlive reports whether a number belongs to another listed member that is alive in
// this view.
func (v *View) isAlive(number int) bool {
	return number >= 0 && v.ring[number].isLive() && v.ring[number].State == Alive
}

// datagram is a datagram under assembly.
type datagram struct {
	bytes    []byte
	maxBytes int
	updates  []update // of listed members, not yet written
	subjects []*entry // members that the updates are about
}

// add adds a member's state to the datagram: that of a listed member to the updates
// not yet written, and that of an unlisted one directly if it fits. to is the
// receiver's number.
func (d *datagram) add(e *entry, to int) {
	u := update{number: e.Number, name: e.Name, addr: e.Addr, incarnation: e.Incarnation, state: e.State}
	if e.incarnationReused && e.Number == to && e.State < Dead {
		u.state = Dead // the predecessor is dead; only the member itself is notified
	}
	if u.state == Suspect {
		u.reporter = e.suspicion.lastReporter()
	}
	if e.Number >= 0 {
		d.updates = append(d.updates, u)
		d.subjects = append(d.subjects, e)
		return
	}
	var fits bool
	d.bytes, fits = appendUnlistedUpdate(d.bytes, u, d.maxBytes)
	if fits {
		e.countTransmit()
	}
}

// flushUpdates writes as many of the listed members' updates as fit.
func (d *datagram) flushUpdates() {
	if len(d.updates) == 0 {
		return
	}
	var written int
	d.bytes, written = appendUpdates(d.bytes, d.updates, d.maxBytes)
	for _, e := range d.subjects[:written] {
		e.countTransmit()
	}
}

// addRequired adds the required states and then the states in rest, and returns the
// members of both.
func (v *View) addRequired(d *datagram, out *outgoing, rest []*entry) []*entry {
	for _, e := range out.required {
		d.add(e, out.number)
	}
	for _, e := range rest {
		if !slices.Contains(out.required, e) {
			d.add(e, out.number)
		}
	}
	return slices.Concat(out.required, rest)
}

// addQueued adds queued updates, except those of members in added. If not all fit,
// those transmitted least often come first.
func (v *View) addQueued(d *datagram, out *outgoing, added []*entry) {
	if len(v.queue.updates) > maxQueuedPerDatagram {
		slices.SortStableFunc(v.queue.updates, func(a, b *entry) int { return b.updateTransmits - a.updateTransmits })
	}
	for _, e := range v.queue.updates[:min(maxQueuedPerDatagram, len(v.queue.updates))] {
		if !slices.Contains(added, e) {
			d.add(e, out.number)
		}
	}
}

// appendNames appends the names that the receiver requested, and queued names.
func (v *View) appendNames(d *datagram, out *outgoing) {
	if out.namesFrom > 0 && !v.usesBulkGossip() {
		names := v.namesFrom(int(out.namesFrom)-1, d.maxBytes/4)
		d.bytes, _ = appendNames(d.bytes, names, d.maxBytes)
	}
	if len(v.queue.names) == 0 || !v.isAlive(out.number) { // sent to a dead member, a name would be lost
		return
	}
	var names []memberName
	for _, e := range v.queue.names[:min(maxQueuedPerDatagram, len(v.queue.names))] {
		names = append(names, memberName{e.Number, e.Name})
	}
	var written int
	d.bytes, written = appendNames(d.bytes, names, d.maxBytes)
	for _, e := range v.queue.names[:written] {
		e.nameTransmits--
	}
	v.queue.names = slices.DeleteFunc(v.queue.names, func(e *entry) bool { return e.nameTransmits <= 0 })
}

// namesFrom returns up to limit names of listed members, beginning at a number and
// continuing at 0 after the last.
func (v *View) namesFrom(from, limit int) []memberName {
	var names []memberName
	for k := range len(v.options.Peers) {
		e := v.ring[(from+k)%len(v.options.Peers)]
		if e.Name != "" && len(names) < limit {
			names = append(names, memberName{e.Number, e.Name})
		}
	}
	return names
}

// firstUnnamed returns the number + 1 of a listed member whose state is known and
// whose name is not; 0 if there is none. Since names are sent after states and only
// a few times, a front end that has not received a name requests it.
func (v *View) firstUnnamed() uint32 {
	listed := len(v.options.Peers)
	from := v.randomOffset(listed)
	for k := range listed {
		e := v.ring[(from+k)%listed]
		if e.Name == "" && e.State != Unknown {
			return uint32(e.Number) + 1
		}
	}
	return 0
}
