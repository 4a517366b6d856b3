package dispatch

import "dewhill/control"

// An attempt is written to its engine some time after the decision to start it: the
// connection may be slow to open, and the writer may stall. When the last byte is
// written, the conditions of the decision must still hold: the client is waiting, the
// engines recognize the idempotency key, and the retry budget has capacity. The engine
// client handles engines that start to drain in the meantime.
const (
	// WriteTimeoutMS is how long after its start an attempt may still be written,
	// unless the settings allow longer (SendDelayAllowanceMS).
	WriteTimeoutMS = 350.0

	// networkDelayMS is how long before the end of an idempotency window a repeat must
	// be written so that it reaches its engine within the window.
	networkDelayMS = 30.0
)

// startAttempt starts the attempt that the decision logic asks for. An attempt that
// would break an invariant of the package is not sent and ends at once with the result
// NotSent.
func (d *Dispatcher) startAttempt(r *request, action *control.Action) {
	deadlineAtMS := r.DeadlineAtMS
	if action.DeadlineAtMS > 0 {
		deadlineAtMS = min(deadlineAtMS, action.DeadlineAtMS)
	}
	writeByMS := d.writeByMS(r)
	mayStart := d.mayStartAttempt(r) && d.nowMS < deadlineAtMS && d.nowMS < writeByMS
	index := len(r.attempts)
	r.attempts = append(r.attempts, attempt{
		engine:      action.Engine,
		startedAtMS: d.nowMS,
		inFlight:    true,
		neverRan:    !mayStart,
	})
	if !mayStart {
		d.endAttempt(r, AttemptEnded{RequestID: r.ID, Attempt: index, Result: control.NotSent})
		return
	}
	if deadlineAtMS < r.DeadlineAtMS {
		d.timers.Add(deadlineAtMS, timer{kind: attemptDeadline, requestID: r.ID, attempt: index})
	}
	d.emit(StartAttempt{
		RequestID:    r.ID,
		Engine:       action.Engine,
		Attempt:      index,
		DeadlineAtMS: deadlineAtMS,
		WriteByMS:    writeByMS,
		Priority:     r.priority,
	})
}

// mayStartAttempt reports whether the next attempt of a request keeps the invariants,
// except those about time, which startAttempt checks.
func (d *Dispatcher) mayStartAttempt(r *request) bool {
	if r.closed || r.detached {
		return false
	}
	if r.attemptInFlight() && !d.settings.CanHedge {
		return false
	}
	return d.settings.Classes[r.Class].Idempotency != control.NotIdempotent || !r.mayHaveRun()
}

// writeByMS returns the time by which the next attempt must have been written
// completely. The limit bounds how many delayed attempts can fall into one window of
// the retry budget, and prevents a repeat from reaching its engine after the engine may
// have dropped the idempotency key.
func (d *Dispatcher) writeByMS(r *request) float64 {
	byMS := d.nowMS + max(WriteTimeoutMS, d.settings.SendDelayAllowanceMS)
	class := &d.settings.Classes[r.Class]
	if class.Idempotency != control.IdempotentWithKey {
		return byMS
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			byMS = min(byMS, r.attempts[i].startedAtMS+class.IdempotencyWindowMS-networkDelayMS)
		}
	}
	return byMS
}

// cancelAttempt cancels an attempt that is in flight and was not cancelled before.
func (d *Dispatcher) cancelAttempt(r *request, index int) {
	a := &r.attempts[index]
	if !a.inFlight || a.cancelled {
		return
	}
	a.cancelled = true
	d.emit(CancelAttempt{RequestID: r.ID, Attempt: index, Engine: a.engine})
}

// setPriority sets the priority of a request's attempts, including those in flight.
func (d *Dispatcher) setPriority(r *request, priority int) {
	r.priority = priority
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && !a.cancelled {
			d.emit(SetPriority{RequestID: r.ID, Attempt: i, Engine: a.engine, Priority: priority})
		}
	}
}

// attemptStatus passes an engine's status report to the decision logic. It ignores
// reports on attempts that have ended or were cancelled.
func (d *Dispatcher) attemptStatus(event AttemptStatus) {
	r := d.openRequest(event.RequestID)
	if r == nil || !r.hasAttempt(event.Attempt) {
		return
	}
	a := &r.attempts[event.Attempt]
	if !a.inFlight || a.cancelled {
		return
	}
	if status, ok := attemptStatusEvent(event, a.engine); ok {
		d.consult(status)
	}
}

// attemptEnded handles the end of an attempt. An attempt that was cancelled because its
// deadline or the request's had passed is recorded as timed out.
func (d *Dispatcher) attemptEnded(event AttemptEnded) {
	r := d.requests[event.RequestID]
	if r == nil || !r.hasAttempt(event.Attempt) || !r.attempts[event.Attempt].inFlight {
		return
	}
	if event.Result == control.Cancelled && r.attempts[event.Attempt].timedOut {
		event.Result = control.TimedOut
	}
	d.endAttempt(r, event)
}

// endAttempt records the result of an attempt in flight. If the attempt was served, its
// rows are the response; if it was the last attempt of a detached request, the request
// is answered with a rejection or a failure.
func (d *Dispatcher) endAttempt(r *request, event AttemptEnded) {
	a := &r.attempts[event.Attempt]
	a.inFlight = false
	a.endedAtMS = d.nowMS
	a.result = event.Result
	a.neverRan = provesNeverRan(event.Result)
	if !r.closed {
		switch {
		case event.Result == control.Served:
			d.respondServed(r, event.Attempt)
		case r.detached && !r.attemptInFlight():
			d.reject(r, 0, control.ClientDisconnected)
		}
	}
	d.removeIfDone(r)
	d.consult(attemptEndedEvent(r, event, d.nowMS))
}

// provesNeverRan reports whether an attempt with this result certainly did not run.
func provesNeverRan(result control.Result) bool {
	switch result {
	case control.Rejected, control.ConnectFailed, control.NotSent:
		return true
	default:
		return false
	}
}
