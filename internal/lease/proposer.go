package lease

import "slices"

// phase is the phase of a round.
type phase uint8

const (
	phaseIdle      phase = iota // no round is in progress
	phasePreparing              // waiting for a quorum of promises
	phaseAccepting              // waiting for a quorum of accepts
)

// round is one round of Paxos.
type round struct {
	phase       phase
	ballot      Ballot
	startedAtMS float64
	votes       map[Peer]bool // members that have voted in this phase
	ownVote     bool
	readBallot  Ballot // highest accepted ballot among the promises
	read        Value  // value accepted with readBallot, or an outcome
	proposal    Value
}

// startPhase starts a phase and discards the votes of the previous phase.
func (r *round) startPhase(p phase) {
	r.phase = p
	r.votes = map[Peer]bool{}
	r.ownVote = false
}

func (r *round) voteCount() int {
	if r.ownVote {
		return len(r.votes) + 1
	}
	return len(r.votes)
}

// quorum returns the number of votes that decide a phase of a round.
func (m *Manager) quorum() int {
	return majority(m.members.clusterSize)
}

// runOperations starts the rounds, resends the messages and ends the operations that
// are due.
func (m *Manager) runOperations() {
	for i := 0; i < len(m.operations); i++ { // expire may add operations
		op := m.operations[i]
		endMS := op.endMS(m.options.Times.NoQuorumAfterMS)
		if op.finished || op.nextActionMS > m.nowMS && endMS > m.nowMS {
			continue
		}
		switch {
		case m.nowMS >= endMS:
			m.expire(op)
		case op.round.phase == phaseIdle || m.isExpired(&op.round):
			m.startRound(op)
		default:
			op.nextActionMS = m.nowMS + m.options.Times.ResendMS
			m.broadcast(op)
		}
	}
	m.operations = slices.DeleteFunc(m.operations, func(op *operation) bool { return op.finished })
}

// isExpired reports whether a round has taken so long that its votes no longer count,
// because a voter may have lost its state and caught up since.
func (m *Manager) isExpired(r *round) bool {
	return m.nowMS > r.startedAtMS+m.options.Times.RoundTimeoutMS
}

// startRound starts the prepare phase of a round with a ballot that is higher than all
// ballots recorded for the key.
func (m *Manager) startRound(op *operation) {
	r := m.recordOf(op.key)
	if op.request != nil && r.value.State == Ended {
		m.decideEnded(op, r.value)
		return
	}
	m.Counters.Rounds++
	r.maxOwnBallot = max(op.seenBallot, r.promised.Number, r.accepted.Number, r.maxOwnBallot) + 1
	ballot := Ballot{Number: r.maxOwnBallot, ProposerID: m.options.ProcessID}
	op.round = round{ballot: ballot, startedAtMS: m.nowMS}
	op.round.startPhase(phasePreparing)
	op.nextActionMS = m.nowMS + m.options.Times.ResendMS
	if m.CanVote() && !r.promised.above(ballot) {
		m.promise(r, ballot)
		op.round.readBallot = r.accepted
		op.round.read = r.value
		m.persist(r, func() { m.countOwnVote(op, ballot, phasePreparing) })
	}
	m.broadcast(op)
}

// broadcast sends the message of the current phase to all members that have not voted.
func (m *Manager) broadcast(op *operation) {
	msg := &message{verb: verbPrepare, key: op.key, ballot: op.round.ballot}
	if op.round.phase == phaseAccepting {
		msg.verb = verbAccept
		msg.value = op.round.proposal
	}
	for _, peer := range m.members.all {
		if !op.round.votes[peer] {
			m.send(peer, msg)
		}
	}
}

// receiveVote processes a reply to a prepare or accept message.
func (m *Manager) receiveVote(from Peer, msg *message) {
	if msg.value.State == Ended {
		m.learn(m.recordOf(msg.key), msg.accepted, msg.value)
	}
	replyPhase := phaseAccepting
	if msg.verb == verbPromise {
		replyPhase = phasePreparing
	}
	for _, op := range m.operations {
		if op.key != msg.key || op.finished || op.round.ballot != msg.ballot || op.round.phase != replyPhase {
			continue
		}
		if msg.rejected {
			m.Counters.RoundsPreempted++
			m.scheduleNextRound(op, msg.promised.Number)
			continue
		}
		if replyPhase == phasePreparing {
			op.round.mergePromise(msg)
		}
		op.round.votes[from] = true
		m.checkQuorum(op)
	}
}

// mergePromise adopts the value in a promise if it has the highest ballot so far or is
// an outcome.
func (r *round) mergePromise(msg *message) {
	if r.read.State == Ended {
		return
	}
	if msg.accepted.above(r.readBallot) || msg.value.State == Ended {
		r.readBallot = msg.accepted
		r.read = msg.value
	}
}

// countOwnVote counts this front end's own vote, unless the operation has reached
// another phase or round while the vote was being persisted.
func (m *Manager) countOwnVote(op *operation, ballot Ballot, p phase) {
	if op.finished || op.round.ballot != ballot || op.round.phase != p {
		return
	}
	op.round.ownVote = true
	m.checkQuorum(op)
}

// checkQuorum continues with the next phase once a quorum has voted.
func (m *Manager) checkQuorum(op *operation) {
	if op.round.voteCount() < m.quorum() {
		return
	}
	switch {
	case m.isExpired(&op.round):
		m.scheduleNextRound(op, 0)
	case op.round.phase == phaseAccepting:
		m.finishRound(op)
	case m.chooseProposal(op):
		m.startAccepting(op)
	}
}

// startAccepting starts the accept phase of a round, whose proposal must be set.
func (m *Manager) startAccepting(op *operation) {
	r := m.recordOf(op.key)
	op.round.startPhase(phaseAccepting)
	op.nextActionMS = m.nowMS + m.options.Times.ResendMS
	proposal := op.round.proposal
	if proposal.State == Held && proposal.Owner == m.options.ProcessID {
		op.mayBeHeld = true
		op.heldGeneration = proposal.Generation
	}
	m.broadcast(op)
	ballot := op.round.ballot
	if m.CanVote() && !r.promised.above(ballot) {
		m.promise(r, ballot)
		m.learn(r, ballot, proposal)
		m.persist(r, func() { m.countOwnVote(op, ballot, phaseAccepting) })
	}
}

// chooseProposal is the change function of a round. From the value that the round has
// read, it sets the proposal, and the decision to return once the proposal is chosen.
// It reports false if the operation has finished without a proposal.
func (m *Manager) chooseProposal(op *operation) bool {
	r := m.recordOf(op.key)
	if op.round.read.State == Ended {
		m.learn(r, op.round.readBallot, op.round.read)
	} else if r.value.State == Ended { // an outcome learned since the value was read
		op.round.read = r.value
	}
	op.round.proposal = op.round.read
	if op.request == nil {
		return m.proposeRelease(op, r)
	}
	return m.proposeLease(op, r)
}

// proposeRelease proposes to change a lease of this process to the state of the
// operation.
func (m *Manager) proposeRelease(op *operation, r *record) bool {
	read := op.round.read
	isOwn := read.Owner == m.options.ProcessID && read.Generation == op.releaseGeneration && !r.running
	isUnused := read.State == Held && r.grantedGeneration != read.Generation+1
	isUsed := read.State == Held || read.State == MayHaveRun // MayHaveRun if only this front end has recorded it
	switch {
	case isOwn && isUnused && op.releaseState == Free:
		op.round.proposal = Value{Generation: read.Generation + 1}
		return true
	case isOwn && isUsed && op.releaseState == MayHaveRun:
		op.round.proposal.State = MayHaveRun
		return true
	default: // the lease is released already, or was never held
		op.finished = true
		return false
	}
}

// proposeLease proposes the value that follows from a client's request.
func (m *Manager) proposeLease(op *operation, r *record) bool {
	read := op.round.read
	isOwn := read.Owner == m.options.ProcessID
	isUnknown := read.Generation == 0 && op.round.readBallot.Number == 0
	switch {
	case read.State == Ended:
		m.decideEnded(op, read)
		return false
	case read.State == Free && op.request.IsRetry && isUnknown:
		m.decide(op, Forgotten, nil)
		return false
	case read.State == Free:
		op.decision = Granted
		op.round.proposal = m.newLease(op, read.Generation)
	case read.Fingerprint != op.request.Fingerprint:
		op.decision = Conflict
	case read.State == MayHaveRun:
		op.decision = PossiblyRan
	case isOwn && r.grantedGeneration != read.Generation+1:
		op.decision = Granted // a proposal of an earlier round of this process was chosen unnoticed
	case isOwn && !r.running: // granted to this process, with an unknown result
		op.decision = PossiblyRan
		op.round.proposal.State = MayHaveRun
	case m.ownerHasLeft(read.Owner):
		op.decision = PossiblyRan
		op.round.proposal.State = MayHaveRun
	default:
		op.decision = RunningElsewhere
	}
	return true
}

func (m *Manager) newLease(op *operation, generation uint32) Value {
	return Value{
		Generation:  generation,
		State:       Held,
		Owner:       m.options.ProcessID,
		Fingerprint: op.request.Fingerprint,
	}
}

// unknownOwnerTimeoutMS is the time after the start of this process after which an
// owner from which no message was received is assumed to have left.
const unknownOwnerTimeoutMS = 5000.0

// ownerHasLeft reports whether the process that owns a lease is assumed to have ended.
// A wrong assumption only costs a client the outcome of its load, or some time.
func (m *Manager) ownerHasLeft(owner uint64) bool {
	if owner == m.options.ProcessID {
		return false
	}
	for peer, processID := range m.members.processIDs {
		if processID == owner {
			return !slices.Contains(m.members.alive, peer)
		}
	}
	return m.nowMS > m.recovery.startedAtMS+unknownOwnerTimeoutMS
}

// finishRound finishes a round whose proposal was chosen: a quorum has accepted it.
func (m *Manager) finishRound(op *operation) {
	op.hadQuorum = true
	r := m.recordOf(op.key)
	m.learn(r, op.round.ballot, op.round.proposal)
	if op.request == nil {
		if op.releaseState == Free {
			m.Counters.UnusedReleased++
		}
		op.finished = true
		return
	}
	generation := op.round.proposal.Generation
	if op.decision == Granted && r.grantedGeneration == generation+1 {
		// Another request to this front end was granted the lease first.
		op.decision = RunningElsewhere
		if r.value.State == Ended {
			m.decideEnded(op, r.value)
			return
		}
	}
	switch op.decision {
	case RunningElsewhere: // polls until the load has ended
		op.round.phase = phaseIdle
		op.nextActionMS = min(op.deadlineMS, m.nowMS+m.options.Times.PollIntervalMS)
	case Granted:
		r.running = true
		r.grantedGeneration = generation + 1
		m.decide(op, Granted, nil)
	default:
		m.decide(op, op.decision, nil)
	}
}

const (
	maxBackoffPerAttemptMS = 40.0 // limit per failed round, for rounds that preempt one another
	maxBackoffAttempts     = 8    // failed rounds after which the backoff stays the same
)

// scheduleNextRound schedules another round after a random backoff. Its ballot will be
// higher than seenBallot.
func (m *Manager) scheduleNextRound(op *operation, seenBallot uint32) {
	op.failedRounds++
	op.seenBallot = max(op.seenBallot, seenBallot)
	op.round.phase = phaseIdle
	op.nextActionMS = m.nowMS + maxBackoffPerAttemptMS*m.rng.Float64()*float64(min(op.failedRounds, maxBackoffAttempts))
}
