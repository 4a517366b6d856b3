package server

import (
	"errors"

	"dewhill/control"
	"dewhill/internal/dispatch"
)

// errDuplicateID is returned for a request whose id was accepted recently. If it were
// accepted twice, a load could run twice.
var errDuplicateID = errors.New("this id was taken before")

// openRequest is a request that has not been answered yet.
type openRequest struct {
	class      int
	deadlineMS float64
	work       any // passed to the engine backend with each attempt
	respond    func(dispatch.Response, any)
	result     any // result of the attempt that was served, passed to respond
}

// OpenRequests returns the number of requests that have not been answered yet.
func (l *EventLoop) OpenRequests() int { return l.dispatcher.OpenRequests() }

// Submit accepts a request. respond is called once, on the loop, unless the request is
// abandoned. Submit returns an error for a request whose id was accepted recently.
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

// respond sends the response to a request and removes the request.
func (l *EventLoop) respond(response dispatch.Response) {
	r := l.requests[response.RequestID]
	if r == nil {
		return
	}
	delete(l.requests, response.RequestID)
	if late := l.Now() - r.deadlineMS; late > 0 {
		l.Counters.LateResponses++
		l.Counters.MaxResponseDelayMS = max(l.Counters.MaxResponseDelayMS, late)
	}
	switch response.Outcome {
	case dispatch.Served:
		l.Counters.Served++
	case dispatch.Rejected:
		l.Counters.Rejected++
	case dispatch.Failed:
		l.Counters.Failed++
	default:
		l.Logf("request %s: unknown outcome %d", response.RequestID, response.Outcome)
	}
	r.respond(response, r.result)
}

// AbandonRequest cancels a request whose client has disconnected. It gets no response.
func (l *EventLoop) AbandonRequest(id string) {
	if l.requests[id] == nil {
		return
	}
	delete(l.requests, id)
	l.Counters.Abandoned++
	l.apply(dispatch.RequestAbandoned{RequestID: id})
}

// DetachRequest records that the client no longer waits for a request whose outcome must
// still be determined: running attempts continue, and no new one starts.
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

// AttemptEnded applies the end of an attempt. result is its result if it was served.
func (l *EventLoop) AttemptEnded(ev dispatch.AttemptEnded, result any) {
	l.Counters.AttemptResults[attemptResultNames[ev.Result]]++
	if r := l.requests[ev.RequestID]; r != nil && ev.Result == control.Served {
		r.result = result
	}
	l.apply(ev)
}

// AttemptStatus applies an engine's status report on an attempt that is still running.
func (l *EventLoop) AttemptStatus(ev dispatch.AttemptStatus) { l.apply(ev) }

// ProbeEnded applies the end of a health check.
func (l *EventLoop) ProbeEnded(ev dispatch.ProbeEnded) { l.apply(ev) }
