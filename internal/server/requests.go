package server

import (
	"errors"

	"dewhill/control"
	"dewhill/internal/dispatch"
)

// errDuplicateID is returned for a request whose id was accepted lately: accepted
// twice, a load could run twice.
var errDuplicateID = errors.New("this id was taken before")

// openRequest is a request that is owed a response.
type openRequest struct {
	class      int
	deadlineMS float64
	work       any // for the engine backend
	respond    func(dispatch.Response, any)
	result     any // of the attempt that was served, for respond
}

// OpenRequests is how many requests are owed a response.
func (l *EventLoop) OpenRequests() int { return l.dispatcher.OpenRequests() }

// Submit accepts a request. Its response comes once, in the loop. A request whose
// id was accepted lately is refused with an error.
func (l *EventLoop) Submit(r dispatch.Request, work any, respond func(dispatch.Response, any)) error {
	if l.requests[r.ID] != nil || l.recentIDs.contains(r.ID) {
		return errDuplicateID
	}
	l.recentIDs.add(r.ID, l.Now())
	l.requests[r.ID] = &openRequest{class: r.Class, deadlineMS: r.DeadlineAtMS, work: work, respond: respond}
	l.Counters.Submitted++
	l.Counters.MaxReadDelayMS = max(l.Counters.MaxReadDelayMS, l.Now()-r.ArrivedAtMS)
	l.apply(dispatch.RequestArrived{Request: r})
	return nil
}

func (l *EventLoop) startAttempt(attempt dispatch.StartAttempt) {
	r := l.requests[attempt.RequestID]
	if r == nil {
		return
	}
	l.Counters.AttemptsStarted++
	l.backend.StartAttempt(attempt, r.class, r.work)
}

// answer responds to a request and forgets it.
func (l *EventLoop) answer(a dispatch.Response) {
	r := l.requests[a.RequestID]
	if r == nil {
		return
	}
	delete(l.requests, a.RequestID)
	if late := l.Now() - r.deadlineMS; late > 0 {
		l.Counters.LateAnswers++
		l.Counters.MaxAnswerDelayMS = max(l.Counters.MaxAnswerDelayMS, late)
	}
	switch a.Outcome {
	case dispatch.Served:
		l.Counters.Served++
	case dispatch.Rejected:
		l.Counters.Rejected++
	case dispatch.Failed:
		l.Counters.Failed++
	default:
		l.Logf("request %s has the unknown outcome %d", a.RequestID, a.Outcome)
	}
	r.respond(a, r.result)
}

// AbandonRequest gives up a request whose client has disconnected: nothing is owed
// any more.
func (l *EventLoop) AbandonRequest(id string) {
	if l.requests[id] == nil {
		return
	}
	delete(l.requests, id)
	l.Counters.Abandoned++
	l.apply(dispatch.RequestAbandoned{RequestID: id})
}

// DetachRequest records that nobody waits for a request whose outcome must be known
// all the same: no attempt begins any more.
func (l *EventLoop) DetachRequest(id string) {
	if l.requests[id] == nil {
		return
	}
	l.apply(dispatch.RequestDetached{RequestID: id})
}

// SetClientDisconnected records whether a request's client may have disconnected.
func (l *EventLoop) SetClientDisconnected(id string, disconnected bool) {
	if l.requests[id] == nil {
		return
	}
	l.apply(dispatch.ClientPresenceChanged{RequestID: id, Disconnected: disconnected})
}

// AttemptEnded applies the end of an attempt, with its result if it was served.
func (l *EventLoop) AttemptEnded(ev dispatch.AttemptEnded, result any) {
	l.Counters.AttemptResults[attemptResultNames[ev.Result]]++
	if r := l.requests[ev.RequestID]; r != nil && ev.Result == control.Served {
		r.result = result
	}
	l.apply(ev)
}

// AttemptStatus applies what an engine reports of an attempt that goes on.
func (l *EventLoop) AttemptStatus(ev dispatch.AttemptStatus) { l.apply(ev) }

// ProbeEnded applies the end of a health check.
func (l *EventLoop) ProbeEnded(ev dispatch.ProbeEnded) { l.apply(ev) }
