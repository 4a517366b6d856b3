package lease

import "slices"

// RunResult is the result of a load that was granted a lease.
type RunResult uint8

// The results.
const (
	Completed  RunResult = iota // the load ran, with an outcome
	NeverRan                    // the load provably never ran: the lease is released
	RunUnknown                  // the load may have run
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

// DecisionKind says whether a load may be run, and if not, why.
type DecisionKind uint8

// The kinds of decisions.
const (
	Granted          DecisionKind = iota // this front end may run the load once
	AlreadyCompleted                     // the load has run, with the Decision's outcome
	PossiblyRan                          // the load may have run
	NoQuorum                             // the load did not run: no quorum replied in time
	Conflict                             // the key belongs to a load with another fingerprint
	Forgotten                            // the request is marked as a retry, but the key has no record
	RunningElsewhere                     // another request runs the load, which did not end in time
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

// Decision is the result of an AcquireRequest.
type Decision struct {
	RequestID uint64 // of the request
	Kind      DecisionKind
	Outcome   []byte // of the load, with AlreadyCompleted
	ElapsedMS float64
}

// operation is a change of one register in progress: the acquisition of a lease for a
// client of this front end, or the release of a lease.
type operation struct {
	key               Key
	request           *AcquireRequest // nil if the operation is a release
	releaseGeneration uint32          // generation of the lease to release
	releaseState      State           // Free if the load never ran, or MayHaveRun
	startedAtMS       float64
	deadlineMS        float64
	nextActionMS      float64 // when messages are resent or the next round starts
	round             round
	decision          DecisionKind // returned once the round's proposal is chosen
	failedRounds      int
	seenBallot        uint32 // highest ballot number that preempted a round of this operation
	hadQuorum         bool   // a proposal of this operation was chosen
	mayBeHeld         bool   // a proposal that grants this process the lease may be chosen
	heldGeneration    uint32 // generation of that proposal
	finished          bool
}

// endMS returns the time at which an operation is abandoned. A request that no quorum
// has answered ends before its deadline, so that a client on the minority side of a
// partition receives its response early.
func (op *operation) endMS(noQuorumAfterMS float64) float64 {
	if op.request != nil && !op.hadQuorum {
		return min(op.deadlineMS, op.startedAtMS+noQuorumAfterMS)
	}
	return op.deadlineMS
}

// acquire starts an operation for a client's request. It cancels a release of the same
// lease, because the request may take over the lease.
func (m *Manager) acquire(request AcquireRequest) {
	m.Counters.Requests++
	if m.expired {
		request.DeadlineMS = m.nowMS
	}
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

// expireRequests lets all requests of clients end now.
func (m *Manager) expireRequests() {
	m.expired = true
	for _, op := range m.operations {
		if op.request != nil {
			op.deadlineMS = m.nowMS
		}
	}
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
		m.release(r.key, r.value.Generation, Free)
	case RunUnknown: // as if the owner had left
		r.value.State = MayHaveRun
		m.release(r.key, r.value.Generation, MayHaveRun)
	}
}

// recordOutcome records the outcome of a load and starts to announce it.
func (m *Manager) recordOutcome(r *record, outcome []byte) {
	ended := r.value
	ended.State = Ended
	ended.Owner = m.options.ProcessID
	ended.Outcome = outcome[:min(len(outcome), MaxOutcomeBytes)]
	m.learn(r, r.accepted, ended)
	m.startAnnouncing(r)
	m.persist(r, func() {})
}

// release starts to change a lease of this process to Free or MayHaveRun, so that
// requests to other front ends need not wait for the owner. It does nothing if another
// request for the key is in progress at this front end, which may take over the lease
// or finds that the load may have run. At most one operation of this process changes a
// lease at a time: if a round released a lease that a concurrent round was just granted,
// two processes could run the load.
func (m *Manager) release(key Key, generation uint32, state State) {
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
		releaseState:      state,
		startedAtMS:       m.nowMS,
		deadlineMS:        m.nowMS + m.options.Times.ReleaseWindowMS,
		nextActionMS:      m.nowMS,
	})
}

// expire ends an operation that has reached its end time. If its rounds may have
// acquired a lease, the lease is released, as no load will use it.
func (m *Manager) expire(op *operation) {
	switch {
	case op.request == nil:
		op.finished = true
	case op.decision == RunningElsewhere:
		m.decide(op, RunningElsewhere, nil)
	default:
		m.decide(op, NoQuorum, nil)
		if op.mayBeHeld {
			m.release(op.key, op.heldGeneration, Free)
		}
	}
}

// decideEnded decides a request for a load that has run.
func (m *Manager) decideEnded(op *operation, ended Value) {
	kind := AlreadyCompleted
	if ended.Fingerprint != op.request.Fingerprint {
		kind = Conflict
	}
	m.decide(op, kind, ended.Outcome)
}

// decide returns the decision on a request and finishes its operation.
func (m *Manager) decide(op *operation, kind DecisionKind, outcome []byte) {
	op.finished = true
	m.Counters.countDecision(kind)
	m.effects.Decisions = append(m.effects.Decisions, Decision{
		RequestID: op.request.RequestID,
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
