package lease

import (
	"slices"

	"dewhill/internal/antientropy"
)

// startComparison starts a comparison with a random live member, or takes a step of
// this member's catch-up.
func (m *Manager) startComparison() {
	m.nextCompareMS = m.nowMS + m.options.Times.CompareIntervalMS*(0.9+0.2*m.rng.Float64())
	if !m.CanVote() {
		m.nextCompareMS = m.nowMS + recoveryStepMS
		m.stepRecovery()
		return
	}
	if len(m.members.alive) > 0 {
		peer := m.members.alive[m.rng.IntN(len(m.members.alive))]
		m.send(peer, &message{verb: verbProbe, digest: m.Digest()})
	}
}

// receiveProbe compares a member's digest with that of this copy. It replies that they
// match, or with the digests of the top ranges. A member that catches up replies only
// to others that do: its own steps compare its copy with those of voters.
func (m *Manager) receiveProbe(from Peer, msg *message) {
	if !m.CanVote() && msg.nonce == 0 {
		return
	}
	if msg.digest == m.Digest() {
		m.send(from, &message{verb: verbMatch, digest: msg.digest, nonce: msg.nonce})
		return
	}
	m.sendContent(from, m.records.tree.Summary(antientropy.Range{}), msg.nonce)
}

// receiveRangeRequest sends the digests that a member has requested to catch up.
func (m *Manager) receiveRangeRequest(from Peer, msg *message) {
	m.sendContent(from, m.records.tree.Summary(msg.exchange.Content.Range), msg.nonce)
}

// sendContent sends the content of a range. The nonce is that of the message that
// requested it, or 0.
func (m *Manager) sendContent(to Peer, content antientropy.RangeContent, nonce uint32) {
	kind := verbRangeItems
	if content.HasSums() {
		kind = verbRangeSums
	}
	m.send(to, &message{verb: kind, nonce: nonce, exchange: antientropy.Exchange{Content: content}})
}

// receiveMatch records that a member's copy is equal to this one.
func (m *Manager) receiveMatch(from Peer, msg *message) {
	if m.isRecoveryReply(msg) && msg.digest == m.Digest() {
		m.markEqual(from, 0, recoveryRanges, msg.canVote)
	}
}

// receiveRangeSums continues the comparison in the ranges that differ.
func (m *Manager) receiveRangeSums(from Peer, msg *message) {
	content := &msg.exchange.Content
	switch {
	case m.isRecoveryReply(msg) && content.Level == 0:
		m.recoverTopRanges(from, msg)
		return
	case m.isRecoveryReply(msg) && content.Level == 1:
		m.recoverRanges(from, msg)
		return
	}
	budget := m.budgetFor(from, msg.verb)
	hasBudget := func() bool { return budget.Allows(m.options.MaxMessageBytes) }
	m.records.tree.Descend(content.Range, content.Sums, m.rng, hasBudget, func(child antientropy.RangeContent) {
		m.sendContent(from, child, 0)
	})
}

// receiveRangeItems sends the records that the other member lacks, and requests the
// records that this member lacks.
func (m *Manager) receiveRangeItems(from Peer, msg *message) {
	toSend, toRequest := m.records.tree.Compare(msg.exchange.Content)
	m.sendRecords(from, toSend)
	if len(toRequest) > 0 {
		m.send(from, &message{verb: verbRecordRequest, exchange: antientropy.Exchange{Requested: toRequest}})
	}
}

// receiveRecordRequest sends the records that a member has requested.
func (m *Manager) receiveRecordRequest(from Peer, msg *message) {
	m.sendRecords(from, m.records.tree.FindAll(msg.exchange.Requested))
}

// receiveRecords learns records from another copy, except records that would be evicted at
// once: those that have reached Times.RetentionMS, and the oldest of a full table.
func (m *Manager) receiveRecords(copies []recordCopy) {
	for i := range copies {
		c := &copies[i]
		ageMS := float64(c.ageSeconds) * 1000
		if ageMS >= m.options.Times.RetentionMS {
			continue
		}
		r := m.records.byKey[c.key]
		if r == nil {
			r = m.addRecord(c.key, m.nowMS-ageMS)
		}
		if r == nil {
			continue
		}
		learned := m.learn(r, c.accepted, c.value)
		promised := m.promise(r, c.promised)
		if learned || promised {
			m.persist(r, func() {})
		}
	}
}

// maxRecordsHeaderBytes bounds the size of a verbRecords message without its records.
const maxRecordsHeaderBytes = 16

// sendRecords sends as many records as the budget allows. The copies still differ in
// the other records, so a later comparison finds them again.
func (m *Manager) sendRecords(to Peer, list []*record) {
	var encoded [][]byte
	for _, r := range list {
		if r.Sum() != 0 {
			encoded = append(encoded, m.copyOf(r).append(nil))
		}
	}
	budget := m.budgetFor(to, verbRecords)
	header := (&message{verb: verbRecords, canVote: m.CanVote(), senderID: m.options.ProcessID}).append(nil)
	for _, body := range antientropy.Pack(encoded, m.options.MaxMessageBytes-maxRecordsHeaderBytes) {
		if budget.Allows(len(body)) {
			m.sendBytes(to, slices.Concat(header, body), budget)
		}
	}
}
