package dispatch

import "dewhill/control"

// Between the decision to start an attempt and its last byte at the engine lie a
// connection that may be slow to come up and a writer that may stall. What was
// decided on must still hold by then: the client waits, the engines recognize the
// key, the retry budget has capacity. Engines that begin to drain meanwhile are the
// concern of the engine's side.
const (
	// WriteTimeoutMS is how long after its start an attempt may still be written, where
	// the settings allow no longer SendDelayAllowanceMS.
	WriteTimeoutMS = 350.0

	// networkDelayMS is how long before the end of an idempotency window a repeat must
	// be written to reach its engine within it.
	networkDelayMS = 30.0
)

// startAttempt starts the attempt that the decisions ask for, or ends it at once as
// not sent where it would break an invariant of the package.
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

// mayStartAttempt reports whether the next attempt of a request keeps the
// invariants, apart from those of time.
func (d *Dispatcher) mayStartAttempt(r *request) bool {
	if r.closed || r.detached {
		return false
	}
	if r.attemptInFlight() && !d.settings.CanHedge {
		return false
	}
	return d.settings.Classes[r.Class].Idempotency != control.NotIdempotent || !r.mayHaveRun()
}

// writeByMS returns when the next attempt must have been written completely. It
// bounds how far attempts crowd into one window of the retry budget, and keeps a
// repeat from its engine once the engine may have forgotten the key.
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

// cancelAttempt cancels an attempt, unless it has ended or was cancelled before.
func (d *Dispatcher) cancelAttempt(r *request, index int) {
	a := &r.attempts[index]
	if !a.inFlight || a.cancelled {
		return
	}
	a.cancelled = true
	d.emit(CancelAttempt{RequestID: r.ID, Attempt: index, Engine: a.engine})
}

// setPriority sets the priority of a request's attempts, those in flight included.
func (d *Dispatcher) setPriority(r *request, priority int) {
	r.priority = priority
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && !a.cancelled {
			d.emit(SetPriority{RequestID: r.ID, Attempt: i, Engine: a.engine, Priority: priority})
		}
	}
}

// attemptStatus passes on what an engine reported of an attempt that is in flight
// and was not cancelled.
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

// endAttempt records the result of an attempt in flight. If it was served, it gives
// the answer; if it was the last one of a detached request, it closes the request.
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

// provesNeverRan reports whether an attempt with this result never ran.
func provesNeverRan(result control.Result) bool {
	switch result {
	case control.Rejected, control.ConnectFailed, control.NotSent:
		return true
	default:
		return false
	}
}
