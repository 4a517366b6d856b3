package lease

import "slices"

// pendingOutcomeMS is the time for which a shutdown waits for members to acknowledge an
// outcome.
const pendingOutcomeMS = 1000.0

// startAnnouncing starts to send an outcome to all members.
func (m *Manager) startAnnouncing(r *record) {
	r.acknowledged = map[Peer]bool{}
	r.announceAtMS = m.nowMS
	m.announcing = append(m.announcing, r)
}

// announceOutcomes sends the outcomes whose next announcement is due.
func (m *Manager) announceOutcomes() {
	for _, r := range m.announcing {
		if r.announceAtMS <= m.nowMS {
			m.announce(r)
		}
	}
	m.announcing = slices.DeleteFunc(m.announcing, func(r *record) bool { return r.announceAtMS == 0 })
}

// announce sends an outcome to the members that have not acknowledged it, until a
// quorum and all live members have it. Other members learn it when copies are compared.
// The first time it does not wait for the budget: rounds take that under load, and a
// repeat through another front end would not get the outcome.
func (m *Manager) announce(r *record) {
	isReplicated := len(r.acknowledged)+1 >= m.quorum() && len(r.acknowledged) >= len(m.members.alive)
	if isReplicated || m.nowMS > r.createdAtMS+m.options.Times.RetentionMS {
		r.announceAtMS = 0
		r.acknowledged = nil
		return
	}
	isFirst := r.announcedAtMS == 0
	if isFirst {
		r.announcedAtMS = m.nowMS
	}
	r.announceAtMS = m.nowMS + m.options.Times.ResendMS*2
	for _, peer := range m.members.all {
		if !r.acknowledged[peer] && (isFirst || m.budget.AvailableBytes() > float64(m.options.MaxMessageBytes)) {
			m.send(peer, &message{verb: verbOutcome, key: r.key, accepted: r.accepted, value: r.value})
		}
	}
}

// PendingOutcomes returns the number of outcomes of this process that less than a quorum
// has. It is for a shutdown, so it leaves out those that were announced long ago: members
// that did not acknowledge them by then can't be reached.
func (m *Manager) PendingOutcomes() (pending int) {
	for _, r := range m.announcing {
		isRecent := r.announcedAtMS == 0 || m.nowMS < r.announcedAtMS+pendingOutcomeMS
		if r.announceAtMS > 0 && len(r.acknowledged)+1 < m.quorum() && isRecent {
			pending++
		}
	}
	return pending
}

// receiveOutcome learns an outcome, and acknowledges it after it is persisted.
func (m *Manager) receiveOutcome(from Peer, msg *message) {
	r := m.recordOf(msg.key)
	acknowledge := func() { m.send(from, &message{verb: verbOutcomeAck, key: msg.key}) }
	if msg.value.State == Ended && m.learn(r, msg.accepted, msg.value) {
		m.persist(r, acknowledge)
		return
	}
	acknowledge()
}

// receiveOutcomeAck records that a member has an outcome.
func (m *Manager) receiveOutcomeAck(from Peer, key Key) {
	r := m.records.byKey[key]
	if r != nil && r.acknowledged != nil {
		r.acknowledged[from] = true
	}
}
