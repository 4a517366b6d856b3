package dispatch

import "dewhill/control"

// deadlineToleranceMS is how long before a request's deadline a rejection or failure is
// already attributed to the deadline: the decision logic ends a request that has run out
// of time in one of its last sweeps before the deadline.
const deadlineToleranceMS = 60

// reject answers a request with a rejection. If an attempt may have run, the response
// is a failure instead: after a rejection the client may safely retry.
func (d *Dispatcher) reject(r *request, retryAfterMS float64, reason control.Reason) {
	if r.mayHaveRun() {
		d.fail(r, reason)
		return
	}
	d.finish(r, Response{Outcome: Rejected, RetryAfterMS: retryAfterMS}, reason)
}

// fail answers a request with a failure, which says whether an attempt may have run.
func (d *Dispatcher) fail(r *request, reason control.Reason) {
	d.finish(r, Response{Outcome: Failed, MayHaveRun: r.mayHaveRun()}, reason)
}

// finish sends the final response to a request that was not served, and closes the
// request.
func (d *Dispatcher) finish(r *request, response Response, reason control.Reason) {
	response.RequestID = r.ID
	response.DeadlinePassed = d.nowMS > r.DeadlineAtMS-deadlineToleranceMS
	d.emit(response)
	d.emit(d.closedRecord(r, response.Outcome, reason))
	d.close(r)
}

// respondServed answers a request with the rows of an attempt. It does not cancel the
// other attempts in flight: the decision logic does.
func (d *Dispatcher) respondServed(r *request, index int) {
	d.emit(Response{RequestID: r.ID, Outcome: Served, Attempt: index})
	if index > 0 {
		d.emit(d.closedRecord(r, Served, control.NoReason))
	}
	r.closed = true
	d.openCount--
}

// closedRecord describes how a request ended, for logs and counters.
func (d *Dispatcher) closedRecord(r *request, outcome Outcome, reason control.Reason) RequestClosed {
	record := RequestClosed{
		RequestID: r.ID,
		Class:     r.Class,
		Outcome:   outcome,
		Reason:    reason,
		ElapsedMS: d.nowMS - r.ArrivedAtMS,
	}
	for i := range r.attempts {
		record.Attempts = append(record.Attempts, d.attemptRecord(r, &r.attempts[i]))
	}
	return record
}

func (d *Dispatcher) attemptRecord(r *request, a *attempt) AttemptRecord {
	endMS := a.endedAtMS
	if a.inFlight {
		endMS = d.nowMS
	}
	return AttemptRecord{
		Engine:       a.engine,
		StartMS:      a.startedAtMS - r.ArrivedAtMS,
		DurationMS:   endMS - a.startedAtMS,
		InFlight:     a.inFlight,
		Result:       a.result,
		CancelReason: a.cancelReason,
	}
}

// close closes a request and cancels its attempts in flight, whose results are no
// longer needed.
func (d *Dispatcher) close(r *request) {
	r.closed = true
	d.openCount--
	for i := range r.attempts {
		d.cancelAttempt(r, i)
	}
	d.removeIfDone(r)
}

// removeIfDone removes a request that is closed and has no attempt in flight.
func (d *Dispatcher) removeIfDone(r *request) {
	if r.closed && !r.attemptInFlight() {
		delete(d.requests, r.ID)
	}
}
