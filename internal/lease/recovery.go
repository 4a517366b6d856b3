package lease

import (
	"slices"

	"dewhill/internal/antientropy"
)

const (
	// recoveryRanges is the number of ranges into which records are divided for
	// catch-up: the ranges of the second level of digests.
	recoveryRanges = antientropy.Fanout * antientropy.Fanout
	// recoveryCompareIntervalMS is the interval between comparisons while a member
	// catches up.
	recoveryCompareIntervalMS = 150.0
	// peerStatusValidMS is the time after a message during which its sender counts as
	// running.
	peerStatusValidMS = 3000.0
)

// recovery is the progress of a member that lost its votes in catching up with the
// voters.
type recovery struct {
	canVote     bool // this member has all its votes, or has caught up
	startedAtMS float64
	nonce       uint32                         // distinguishes replies to this process and to an earlier one
	matched     map[Peer]*[recoveryRanges]bool // ranges in which a voter's copy was equal
}

func newRecovery(nonce uint32) recovery {
	return recovery{nonce: nonce, matched: map[Peer]*[recoveryRanges]bool{}}
}

// hasMatched reports whether a member's copy was equal in all ranges.
func (r *recovery) hasMatched(peer Peer) bool {
	ranges := r.matched[peer]
	return ranges != nil && !slices.Contains(ranges[:], false)
}

// inRecoveryDelay reports whether rounds may still be in progress in which the previous
// process of this front end has voted.
func (m *Manager) inRecoveryDelay() bool {
	return m.nowMS < m.recovery.startedAtMS+m.options.Times.RecoveryDelayMS
}

// markEqual records ranges in which a voter's copy is equal to this one.
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

// recoverRanges compares digests of a member's ranges with those of this copy. It marks
// the ranges that are equal. For top ranges that differ, it requests the digests of
// the level below.
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

// finishRecoveryIfCaughtUp allows this member to vote once it has caught up with enough
// voters, or if a majority of the members, including this one, has lost its state.
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

// probeForRecovery probes all members whose copy was not equal in all ranges so far.
// These include members that cannot vote either: the probe reports to them that this
// member cannot vote.
func (m *Manager) probeForRecovery() {
	for _, peer := range m.members.all {
		if !m.recovery.hasMatched(peer) {
			m.send(peer, &message{verb: verbProbe, digest: m.Digest(), nonce: m.recovery.nonce})
		}
	}
}
