package dispatch

import "dewhill/control"

// timerKind says what a timer is for.
type timerKind int

const (
	decisionTimer   timerKind = iota // set by the decision logic
	attemptDeadline                  // the deadline of one attempt
	requestDeadline                  // the client stops waiting
)

// timer identifies what is due when a timer fires.
type timer struct {
	kind      timerKind
	name      control.TimerName // decisionTimer only
	requestID string            // attemptDeadline and requestDeadline only
	attempt   int               // attemptDeadline only: index of the attempt
}

// NextTimerMS returns when the caller must apply the next TimerFired; infinity if no
// timer is set.
func (d *Dispatcher) NextTimerMS() float64 { return d.timers.NextDueMS() }

// fireTimers fires all timers that are due, including those that become due because
// another one fires.
func (d *Dispatcher) fireTimers() {
	for {
		due, ok := d.timers.PopDue(d.nowMS)
		if !ok {
			return
		}
		d.fire(due)
	}
}

func (d *Dispatcher) fire(due timer) {
	switch due.kind {
	case decisionTimer:
		d.consult(control.Event{Kind: control.TimerFired, Timer: due.name})
	case attemptDeadline:
		if r := d.requests[due.requestID]; r != nil {
			r.attempts[due.attempt].timedOut = true
			d.cancelAttempt(r, due.attempt)
		}
	case requestDeadline:
		if r := d.openRequest(due.requestID); r != nil {
			d.deadlinePassed(r)
		}
	}
}

// deadlinePassed answers a request whose deadline has passed without a decision. The
// response must be sent now, even if the decision logic would wait longer.
func (d *Dispatcher) deadlinePassed(r *request) {
	for i := range r.attempts {
		r.attempts[i].timedOut = true
	}
	d.reject(r, 0, control.DeadlinePassed)
	d.consult(requestAbandonedEvent(r))
}
