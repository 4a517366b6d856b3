package mysql

import "dewhill/internal/lease"

// Leases decide among all front ends who runs a load with an id. Its methods are
// called on the event loop.
type Leases interface {
	// Acquire asks for the right to run a load, which is named by account and id,
	// and whose statement has a fingerprint. decide is called once, on the event
	// loop, within the timeout. isRetry: the client says that it tried before.
	Acquire(name, fingerprint string, timeoutMS float64, isRetry bool, decide func(lease.Decision))
	// Release notes how a load ended whose lease was granted, with its OK packet.
	Release(name string, result lease.RunResult, ok []byte)
}

// leaseAnswerAllowanceMS is how much longer than a load's deadline its lease is
// waited for. Decisions come before that, unless this front end is ending.
const leaseAnswerAllowanceMS = 500.0

// acquireLease asks for a load's lease before anything is sent. If it is granted,
// run is called with the time that remains, and calls its argument with the
// outcome.
func (s *Server) acquireLease(name, fingerprint string, t requestOptions, done func(outcome),
	run func(remainingMS float64, done func(outcome)),
) {
	requestedAt := s.loop.Now()
	decided := false
	s.loop.After(t.deadlineMS+leaseAnswerAllowanceMS, func() {
		if !decided {
			decided = true
			done(outcome{err: s.rejection()})
		}
	})
	s.Leases.Acquire(name, fingerprint, t.deadlineMS, t.isRetry, func(decision lease.Decision) {
		granted := decision.Kind == lease.Granted
		if decided { // the client has been rejected: the load must not run any more
			if granted {
				s.Leases.Release(name, lease.NeverRan, nil)
			}
			return
		}
		decided = true
		s.Counters.LeaseDecisions++
		s.Counters.LeaseDecisionMS += decision.ElapsedMS
		remainingMS := t.deadlineMS - (s.loop.Now() - requestedAt)
		if granted && remainingMS > 0 {
			run(remainingMS, func(o outcome) {
				result, ok := o.runResult()
				s.Leases.Release(name, result, ok)
				done(o)
			})
			return
		}
		if granted {
			s.Leases.Release(name, lease.NeverRan, nil)
		}
		done(s.decisionOutcome(decision))
		s.forgetLoad(name) // the fleet remembers it, and may know more at the next repeat
	})
}

// runResult returns what an outcome means for the lease, and the OK packet that
// is kept of it. An engine's own error means that nothing was done.
func (o outcome) runResult() (lease.RunResult, []byte) {
	switch {
	case o.err != nil && o.err.Code == codeMayHaveRun:
		return lease.RunUnknown, nil
	case o.err != nil:
		return lease.NeverRan, nil
	case o.result != nil && o.result.OK != nil && len(o.result.OK) <= lease.MaxOutcomeBytes:
		return lease.Completed, o.result.OK
	default:
		return lease.Completed, okPacket(0, 0) // rows are not kept
	}
}

// decisionOutcome words a decision other than a grant for the client.
func (s *Server) decisionOutcome(decision lease.Decision) outcome {
	switch decision.Kind {
	case lease.AlreadyCompleted:
		return outcome{result: &Result{OK: decision.Outcome}}
	case lease.PossiblyRan, lease.RunningElsewhere:
		return outcome{err: mayHaveRun()}
	case lease.Conflict:
		return outcome{err: errIDConflict}
	case lease.Forgotten:
		return outcome{err: &Error{codeUnknownLoadID, "08007", "this id is not remembered: it may have run"}}
	default:
		s.Counters.Rejected++
		return outcome{err: s.rejection()}
	}
}
