package lease

import (
	"slices"

	"dewhill/internal/antientropy"
)

const (
	// recoveryRanges is into how many ranges records are divided for catch-up:
	// those of the second level of digests.
	recoveryRanges = antientropy.Fanout * antientropy.Fanout
	// recoveryCompareIntervalMS is between comparisons of a member that catches up.
	recoveryCompareIntervalMS = 150.0
	// peerStatusValidMS is for how long after a message its sender counts as running.
	peerStatusValidMS = 3000.0
)

// recovery tracks how a member that lost its votes catches up with the voters.
type recovery struct {
	canVote     bool // this member remembers its votes, or has caught up
	startedAtMS float64
	nonce       uint32                         // tells replies to this process from those to an earlier one
	matched     map[Peer]*[recoveryRanges]bool // ranges found equal to a voter's copy
}

func newRecovery(nonce uint32) recovery {
	return recovery{nonce: nonce, matched: map[Peer]*[recoveryRanges]bool{}}
}

// hasMatched reports whether all ranges were found equal to a member's copy.
func (r *recovery) hasMatched(peer Peer) bool {
	ranges := r.matched[peer]
	return ranges != nil && !slices.Contains(ranges[:], false)
}

// inRecoveryDelay reports whether rounds may still be under way in which the process
// before this one has voted.
func (m *Manager) inRecoveryDelay() bool {
	return m.nowMS < m.recovery.startedAtMS+m.options.Times.RecoveryDelayMS
}

// markEqual notes ranges that are equal to a member's copy.
func (m *Manager) markEqual(peer Peer, first, count int, peerCanVote bool) {
	if m.CanVote() || !peerCanVote || m.inRecoveryDelay() {
		return
	}
	ranges := m.recovery.matched[peer]
	if ranges == nil {
		ranges = &[recoveryRanges]bool{}
		m.recovery.matched[peer] = ranges
	}
	for i := range count {
		ranges[first+i] = true
	}
}

// recoverRanges compares the digests of a voter's ranges. Equal ones are noted;
// for the others, the digests of the level below are requested.
func (m *Manager) recoverRanges(from Peer, msg *message) {
	content := &msg.exchange.Content
	if m.CanVote() || msg.nonce != m.recovery.nonce || content.Level >= 2 {
		return
	}
	width := 1
	if content.Level == 0 {
		width = antientropy.Fanout
	}
	for i, sum := range m.records.tree.Sums(content.Range) {
		child := content.Index*antientropy.Fanout + i
		if sum == content.Sums[i] {
			m.markEqual(from, child*width, width, msg.canVote)
		} else if content.Level == 0 {
			request := &message{verb: verbRangeRequest, nonce: m.recovery.nonce}
			request.exchange.Content.Range = antientropy.Range{Level: 1, Index: child}
			m.send(from, request)
		}
	}
}

// finishRecoveryIfCaughtUp lets this member vote once it has caught up with enough
// voters, or when a majority has lost its state too.
func (m *Manager) finishRecoveryIfCaughtUp() {
	if m.inRecoveryDelay() {
		return
	}
	caughtUpWith := 0
	for peer := range m.recovery.matched {
		if m.recovery.hasMatched(peer) {
			caughtUpWith++
		}
	}
	withoutState := 1
	for _, status := range m.members.peerStatuses {
		if !status.canVote && status.receivedAtMS > m.nowMS-peerStatusValidMS {
			withoutState++
		}
	}
	needed := majority(m.members.clusterSize)
	switch {
	case caughtUpWith >= m.members.clusterSize-needed+1:
	case withoutState >= needed:
		m.Counters.RecoveriesWithoutQuorum++
	default:
		return
	}
	m.recovery.canVote = true
	m.persistVoterMark()
}

// probeForRecovery asks all members whose copy is not known to be equal. That
// includes members that cannot vote either: it lets them know that this one can't.
func (m *Manager) probeForRecovery() {
	for _, peer := range m.members.all {
		if !m.recovery.hasMatched(peer) {
			m.send(peer, &message{verb: verbProbe, digest: m.Digest(), nonce: m.recovery.nonce})
		}
	}
}
