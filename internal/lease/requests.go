package lease

import "slices"

// RunResult is how a load ended for which a lease was granted.
type RunResult uint8

// The results.
const (
	Completed  RunResult = iota // it ran, with an outcome
	NeverRan                    // it provably never ran: the lease is released
	RunUnknown                  // it may have run
)

// String returns the result's name.
func (r RunResult) String() string {
	switch r {
	case Completed:
		return "completed"
	case NeverRan:
		return "never ran"
	case RunUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// DecisionKind says whether a load may be run, and else why not.
type DecisionKind uint8

// The kinds of decisions.
const (
	Granted          DecisionKind = iota // this front end may run it, once
	AlreadyCompleted                     // it has run, with the Decision's outcome
	PossiblyRan                          // it may have run
	NoQuorum                             // it did not run: no quorum in time
	Conflict                             // the key belongs to a load with another fingerprint
	Forgotten                            // marked as a retry, and the key is not known
	RunningElsewhere                     // another request runs it, and did not end in time
)

// String returns the decision's name.
func (k DecisionKind) String() string {
	switch k {
	case Granted:
		return "granted"
	case AlreadyCompleted:
		return "already completed"
	case PossiblyRan:
		return "possibly ran"
	case NoQuorum:
		return "no quorum"
	case Conflict:
		return "conflict"
	case Forgotten:
		return "forgotten"
	case RunningElsewhere:
		return "running elsewhere"
	default:
		return "unknown"
	}
}

// Decision answers an AcquireRequest.
type Decision struct {
	Ticket    uint64 // of the request
	Kind      DecisionKind
	Outcome   []byte // of AlreadyCompleted
	ElapsedMS float64
}

// operation is a change of one register under way: the acquisition of a lease for
// a client of this front end, or the release of one that was never used.
type operation struct {
	key               Key
	request           *AcquireRequest // nil: a release
	releaseGeneration uint32          // of a release
	startedAtMS       float64
	deadlineMS        float64
	nextActionMS      float64 // when a message is sent again or the next round starts
	round             round
	decision          DecisionKind // to give once the round's proposal is chosen
	failedRounds      int
	seenBallot        uint32 // highest ballot number that preempted a round
	hadQuorum         bool   // at least one round was decided
	mayBeHeld         bool   // a proposal that this process holds the lease may be chosen
	heldGeneration    uint32 // of that proposal
	finished          bool
}

// endMS returns when an operation is given up: a request early where no quorum
// answers, so that a client on the minority side of a partition gets its answer
// at once.
func (op *operation) endMS(noQuorumAfterMS float64) float64 {
	if op.request != nil && !op.hadQuorum {
		return min(op.deadlineMS, op.startedAtMS+noQuorumAfterMS)
	}
	return op.deadlineMS
}

// acquire starts an operation for a client's request. It may take over a lease
// that is being released, so that release is cancelled.
func (m *Manager) acquire(request AcquireRequest) {
	m.Counters.Requests++
	m.operations = slices.DeleteFunc(m.operations, func(op *operation) bool {
		return op.request == nil && op.key == request.Key
	})
	m.operations = append(m.operations, &operation{
		key:          request.Key,
		request:      &request,
		startedAtMS:  m.nowMS,
		deadlineMS:   request.DeadlineMS,
		nextActionMS: m.nowMS,
	})
}

// handleReleased processes the result of a load that this front end ran.
func (m *Manager) handleReleased(ev Released) {
	r := m.recordOf(ev.Key)
	if !r.running {
		return
	}
	r.running = false
	switch ev.Result {
	case Completed:
		m.recordOutcome(r, ev.Outcome)
	case NeverRan:
		r.grantedGeneration = 0
		m.releaseUnused(r.key, r.value.Generation)
	case RunUnknown: // as if its owner had gone
		r.value.State = MayHaveRun
	}
}

// recordOutcome records the outcome of a load and begins to announce it.
func (m *Manager) recordOutcome(r *record, outcome []byte) {
	ended := r.value
	ended.State = Ended
	ended.Owner = m.options.ProcessID
	ended.Outcome = outcome[:min(len(outcome), MaxOutcomeBytes)]
	m.learn(r, r.accepted, ended)
	m.startAnnouncing(r)
	m.persist(r, func() {})
}

// releaseUnused begins to release a lease that was never used, unless another
// request through this front end is under way, which may take it over. At most one
// operation works on a lease of this process at a time: a round that releases what
// a concurrent round has just been granted would let two processes run the load.
func (m *Manager) releaseUnused(key Key, generation uint32) {
	for _, op := range m.operations {
		if op.request != nil && op.key == key && !op.finished {
			op.mayBeHeld = true
			op.heldGeneration = generation
			return
		}
	}
	m.operations = append(m.operations, &operation{
		key:               key,
		releaseGeneration: generation,
		startedAtMS:       m.nowMS,
		deadlineMS:        m.nowMS + m.options.Times.ReleaseWindowMS,
		nextActionMS:      m.nowMS,
	})
}

// expire ends an operation whose time is up. What its rounds may have left in the
// register is released: nobody will use it.
func (m *Manager) expire(op *operation) {
	switch {
	case op.request == nil:
		op.finished = true
	case op.decision == RunningElsewhere:
		m.decide(op, RunningElsewhere, nil)
	default:
		m.decide(op, NoQuorum, nil)
		if op.mayBeHeld {
			m.releaseUnused(op.key, op.heldGeneration)
		}
	}
}

// decideEnded answers a request for a load that has run.
func (m *Manager) decideEnded(op *operation, ended Value) {
	kind := AlreadyCompleted
	if ended.Fingerprint != op.request.Fingerprint {
		kind = Conflict
	}
	m.decide(op, kind, ended.Outcome)
}

// decide answers a request and finishes its operation.
func (m *Manager) decide(op *operation, kind DecisionKind, outcome []byte) {
	op.finished = true
	m.Counters.countDecision(kind)
	m.effects.Decisions = append(m.effects.Decisions, Decision{
		Ticket:    op.request.Ticket,
		Kind:      kind,
		Outcome:   outcome,
		ElapsedMS: m.nowMS - op.startedAtMS,
	})
}

func (c *Counters) countDecision(kind DecisionKind) {
	switch kind {
	case Granted:
		c.Granted++
	case AlreadyCompleted:
		c.AlreadyCompleted++
	case PossiblyRan:
		c.PossiblyRan++
	case NoQuorum:
		c.NoQuorum++
	case Forgotten:
		c.Forgotten++
	case RunningElsewhere:
		c.RunningElsewhere++
	case Conflict:
		// not counted
	}
}
