package lease

import (
	"slices"

	"dewhill/internal/antientropy"
)

const (
	// recoveryRanges is the number of ranges into which records are divided for
	// catch-up: the ranges of the second level of digests.
	recoveryRanges = antientropy.Fanout * antientropy.Fanout
	// peerStatusValidMS is the time after a message during which its sender counts as
	// running.
	peerStatusValidMS = 3000.0

	// recoveryStepMS is the interval between the steps of a catch-up. The following
	// constants limit a step, so that a catch-up with thousands of records overruns
	// neither the voters' budgets nor the socket's buffer.
	recoveryStepMS        = 50.0
	maxProbesPerStep      = 4 // members that are probed
	maxCopiedPerStep      = 8 // ranges whose records are requested
	maxTopRangesPerReply  = 8 // top ranges that are compared further after a reply to a probe
	recoveryRetryMS       = 300.0
	catchUpBytesPerSecond = 1 << 20
	catchUpBurstBytes     = 48 << 10
)

// recovery is the progress of a member that lost its votes in catching up with the
// voters.
type recovery struct {
	canVote       bool // this member has all its votes, or has caught up
	startedAtMS   float64
	nonce         uint32                         // distinguishes replies to this process and to an earlier one
	matched       map[Peer]*[recoveryRanges]bool // ranges in which a voter's copy was equal
	requestedAtMS [recoveryRanges]float64        // when the records of a range were requested last; 0: never
	copiedInStep  int                            // ranges whose records were requested in this step
	probes        int                            // members that were probed, or skipped, since the start
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

// isRecoveryReply reports whether a message replies to a probe or a request of this
// member's catch-up.
func (m *Manager) isRecoveryReply(msg *message) bool {
	return !m.CanVote() && msg.nonce == m.recovery.nonce
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

// recoverTopRanges compares the digests of a member's top ranges with those of this
// copy. It marks the ranges that are equal, and requests the digests of the level below
// for some of those that differ.
func (m *Manager) recoverTopRanges(from Peer, msg *message) {
	requested := 0
	m.compareSums(from, msg, antientropy.Fanout, func(different antientropy.Range) {
		if requested == maxTopRangesPerReply {
			return
		}
		requested++
		request := &message{verb: verbRangeRequest, nonce: m.recovery.nonce}
		request.exchange.Content.Range = different
		m.send(from, request)
	})
}

// recoverRanges compares the digests of a member's ranges of the second level with those
// of this copy. It marks the ranges that are equal, and requests the records of some of
// those that differ. Records are copied before the recovery delay has passed, too.
func (m *Manager) recoverRanges(from Peer, msg *message) {
	m.compareSums(from, msg, 1, func(different antientropy.Range) {
		requestedAtMS := &m.recovery.requestedAtMS[different.Index]
		isPending := *requestedAtMS > 0 && m.nowMS < *requestedAtMS+recoveryRetryMS
		if isPending || m.recovery.copiedInStep == maxCopiedPerStep || !m.isCopySource(msg) {
			return
		}
		m.recovery.copiedInStep++
		*requestedAtMS = m.nowMS
		m.sendContent(from, m.records.tree.Content(different, m.rng), 0)
	})
}

// compareSums compares the digests of the children of a member's range with those of
// this copy. It marks the children that are equal, each of which has a number of
// recovery ranges, and calls visit for those that differ, from a random one on.
func (m *Manager) compareSums(from Peer, msg *message, width int, visit func(antientropy.Range)) {
	content := &msg.exchange.Content
	sums := m.records.tree.Sums(content.Range)
	first := m.rng.IntN(antientropy.Fanout)
	for k := range antientropy.Fanout {
		i := (first + k) % antientropy.Fanout
		child := antientropy.Range{Level: content.Level + 1, Index: content.Index*antientropy.Fanout + i}
		if sums[i] == content.Sums[i] {
			m.markEqual(from, child.Index*width, width, msg.canVote)
			continue
		}
		visit(child)
	}
}

// isCopySource reports whether records are copied from the sender of a message: from
// voters or, while no voter is known to run, from any member.
func (m *Manager) isCopySource(msg *message) bool {
	return msg.canVote || len(m.runningVoters()) == 0
}

// runningVoters returns the members that could vote when a message was last received
// from them, not long ago.
func (m *Manager) runningVoters() (voters []Peer) {
	for peer, status := range m.members.peerStatuses {
		if status.canVote && m.isRunning(status) {
			voters = append(voters, peer)
		}
	}
	return voters
}

func (m *Manager) isRunning(status peerStatus) bool {
	return status.receivedAtMS > m.nowMS-peerStatusValidMS
}

// finishRecoveryIfCaughtUp allows this member to vote once it has caught up with enough
// voters. If a majority of the members, including this one, has lost its state, there are
// not enough of them: then it must have caught up with all voters that are running.
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
	needed := majority(m.members.clusterSize)
	switch {
	case caughtUpWith >= m.members.clusterSize-needed+1:
	case m.membersWithoutState() >= needed && m.caughtUpWithRunningVoters():
		m.Counters.RecoveriesWithoutQuorum++
	default:
		return
	}
	m.recovery.canVote = true
	m.persistVoterMark()
}

// membersWithoutState returns the number of running members that can't vote, including
// this one.
func (m *Manager) membersWithoutState() int {
	count := 1
	for _, status := range m.members.peerStatuses {
		if !status.canVote && m.isRunning(status) {
			count++
		}
	}
	return count
}

func (m *Manager) caughtUpWithRunningVoters() bool {
	return !slices.ContainsFunc(m.runningVoters(), func(peer Peer) bool { return !m.recovery.hasMatched(peer) })
}

// stepRecovery probes the next members whose copy was not equal in all ranges so far.
// These include members that cannot vote either: the probe reports to them that this
// member cannot vote.
func (m *Manager) stepRecovery() {
	m.recovery.copiedInStep = 0
	all := m.members.all
	sent := 0
	for range all {
		peer := all[m.recovery.probes%len(all)]
		m.recovery.probes++
		if m.recovery.hasMatched(peer) {
			continue
		}
		m.send(peer, &message{verb: verbProbe, digest: m.Digest(), nonce: m.recovery.nonce})
		sent++
		if sent == maxProbesPerStep {
			return
		}
	}
}
