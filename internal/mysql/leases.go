package mysql

import (
	"bytes"

	"dewhill/internal/lease"
)

// Leases grants leases across all front ends: only the front end with the lease of a
// load runs it. Its methods are called on the event loop.
type Leases interface {
	// Acquire requests the lease of a load. The name consists of the client's account
	// and the load's id; the fingerprint is a hash of the statement. isRetry means that
	// the client marked the load as a retry. Acquire calls decide once, on the event
	// loop, within the timeout.
	Acquire(name, fingerprint string, timeoutMS float64, isRetry bool, decide func(lease.Decision))
	// Release reports how a load whose lease was granted has ended. ok is the OK packet
	// of a load with the result Completed.
	Release(name string, result lease.RunResult, ok []byte)
	// ExpireRequests makes the decisions on all requests now, as the process is about to
	// be killed.
	ExpireRequests()
}

// leaseDecisionAllowanceMS is how long after a load's deadline the decision on its
// lease is awaited. Decisions arrive earlier, unless this front end is shutting down.
const leaseDecisionAllowanceMS = 500.0

// acquireLease requests a load's lease before the load is sent. If the lease is
// granted, acquireLease calls run with the time that remains until the deadline, and
// run calls its own done argument with the outcome. Otherwise acquireLease calls done
// with the outcome that follows from the decision.
func (s *Server) acquireLease(name, fingerprint string, t requestOptions, done func(outcome),
	run func(remainingMS float64, done func(outcome)),
) {
	requestedAt := s.loop.Now()
	decided := false
	s.loop.After(t.deadlineMS+leaseDecisionAllowanceMS, func() {
		if !decided {
			decided = true
			done(outcome{err: s.rejectionOfAttempt()})
		}
	})
	s.Leases.Acquire(name, fingerprint, t.deadlineMS, t.isRetry, func(decision lease.Decision) {
		granted := decision.Kind == lease.Granted
		if decided { // the client got a rejection, so the load must not run any more
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
		s.removeLoad(name) // the fleet keeps a record, so a repeat may get a more precise decision
	})
}

// runResult returns the result of a run for Leases.Release, and the OK packet to keep of
// a run that succeeded.
func (o outcome) runResult() (lease.RunResult, []byte) {
	switch o.loadResult() {
	case loadSucceeded:
		return lease.Completed, o.result.packetToRetain()
	case loadHadNoEffect:
		return lease.NeverRan, nil
	default:
		return lease.RunUnknown, nil
	}
}

// rowsNotRetainedPacket stands for a load that succeeded with rows, which are not kept with
// its lease. Front ends of earlier versions give it on as an OK packet.
var rowsNotRetainedPacket = append(okPacket(0, 0), "rows of the first run are not kept"...)

// packetToRetain returns the OK packet that is kept of a load that succeeded. Only the
// message at the end of an OK packet can be so long that it is cut off.
func (r *Result) packetToRetain() []byte {
	if r.OK == nil {
		return rowsNotRetainedPacket
	}
	return r.OK[:min(len(r.OK), lease.MaxOutcomeBytes)]
}

// decisionOutcome converts a decision other than a usable grant to the client's
// outcome.
func (s *Server) decisionOutcome(decision lease.Decision) outcome {
	switch decision.Kind {
	case lease.AlreadyCompleted:
		if bytes.Equal(decision.Outcome, rowsNotRetainedPacket) {
			return outcome{err: rowsNotRetained()}
		}
		return outcome{result: &Result{OK: decision.Outcome}}
	case lease.PossiblyRan, lease.RunningElsewhere:
		return outcome{err: mayHaveRun()}
	case lease.Conflict:
		return outcome{err: errIDConflict}
	case lease.Forgotten:
		return outcome{err: unknownLoad()}
	default:
		s.Counters.Rejected++
		return outcome{err: s.rejectionOfAttempt()}
	}
}
