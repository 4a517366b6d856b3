package dispatch

import (
	"fmt"

	"dewhill/control"
)

// consult gives an event to the decision logic and performs the actions that it
// returns. Events that these actions cause are queued and handled afterwards, never
// recursively.
func (d *Dispatcher) consult(event control.Event) {
	d.pendingEvents = append(d.pendingEvents, event)
	if d.consulting {
		return
	}
	d.consulting = true
	for len(d.pendingEvents) > 0 {
		next := d.pendingEvents[0]
		d.pendingEvents = d.pendingEvents[1:]
		for _, action := range d.gateway.Handle(d.nowMS, next) {
			d.perform(&action)
		}
	}
	d.pendingEvents = nil
	d.consulting = false
}

// perform performs an action of the decision logic. It ignores actions on requests that
// have been removed, and rejections and failures of requests that are closed.
func (d *Dispatcher) perform(action *control.Action) {
	switch action.Kind {
	case control.StartAttempt:
		if r := d.requests[action.RequestID]; r != nil {
			d.startAttempt(r, action)
		}
	case control.RejectRequest:
		if r := d.openRequest(action.RequestID); r != nil {
			d.reject(r, action.RetryAfterMS, action.Reason)
		}
	case control.FailRequest:
		if r := d.openRequest(action.RequestID); r != nil {
			d.fail(r, action.Reason)
		}
	case control.CancelAttempt:
		if r := d.requests[action.RequestID]; r != nil && r.hasAttempt(action.Attempt) {
			r.attempts[action.Attempt].cancelReason = action.Reason
			d.cancelAttempt(r, action.Attempt)
		}
	case control.SetResources:
		if r := d.requests[action.RequestID]; r != nil {
			d.setPriority(r, action.Priority)
		}
	case control.ProbeEngine:
		d.emit(ProbeEngine{action.Engine})
	case control.Broadcast:
		d.emit(Broadcast{action.Message})
	case control.SetTimer:
		d.timers.Add(d.nowMS+action.DelayMS, timer{kind: decisionTimer, name: action.Timer})
	case control.WatchEndpoints:
		d.emit(WatchEndpoints{})
	case control.WriteLog:
		d.emit(WriteLog{action.Log.String()})
	default:
		d.emit(WriteLog{fmt.Sprintf("action of unknown kind %d ignored", action.Kind)})
	}
}

func requestArrivedEvent(r *request) control.Event {
	return control.Event{
		Kind:         control.RequestArrived,
		RequestID:    r.ID,
		Class:        r.Class,
		Key:          r.Key,
		DeadlineAtMS: r.DeadlineAtMS,
		WorkMS:       r.WorkMS,
		MemoryMB:     r.MemoryMB,
		Dataset:      r.Dataset,
		Tenant:       r.Tenant,
	}
}

// requestAbandonedEvent notifies the decision logic that no response to a request is
// awaited: the client has abandoned it, or the dispatcher has answered it on its own.
func requestAbandonedEvent(r *request) control.Event {
	return control.Event{Kind: control.RequestAbandoned, RequestID: r.ID}
}

func attemptEndedEvent(r *request, event AttemptEnded, nowMS float64) control.Event {
	a := &r.attempts[event.Attempt]
	return control.Event{
		Kind:        control.AttemptEnded,
		RequestID:   r.ID,
		Attempt:     event.Attempt,
		Engine:      a.engine,
		Result:      event.Result,
		ElapsedMS:   nowMS - a.startedAtMS,
		RequestDone: r.closed,
		WorkMS:      event.WorkMS,
		MemoryMB:    event.MemoryMB,
		LoadReport:  event.LoadReport,
	}
}

// attemptStatusEvent translates a status report. It returns false if the report's kind
// is unknown.
func attemptStatusEvent(event AttemptStatus, engine string) (control.Event, bool) {
	status := control.Event{RequestID: event.RequestID, Attempt: event.Attempt, Engine: engine}
	switch event.Kind {
	case AttemptAlive:
		status.Kind = control.AttemptAlive
	case AttemptProgress:
		status.Kind = control.AttemptProgress
		status.Progress = event.Value
	case AttemptShortOfMemory:
		status.Kind = control.AttemptShortOfMemory
		status.MissingMemoryMB = event.Value
	case AttemptBlocked:
		status.Kind = control.AttemptBlocked
		status.BlockedOn = control.BlockedOn(event.Value)
	default:
		return control.Event{}, false
	}
	return status, true
}

func endpointsEvent(event EndpointsChanged) control.Event {
	kind := control.EndpointUpdate
	if event.Snapshot {
		kind = control.EndpointSnapshot
	}
	return control.Event{Kind: kind, Engines: event.Engines}
}

func probeEndedEvent(event ProbeEnded) control.Event {
	return control.Event{
		Kind:       control.ProbeEnded,
		Engine:     event.Engine,
		Result:     event.Result,
		ElapsedMS:  event.ElapsedMS,
		LoadReport: event.LoadReport,
	}
}

func overrideEvent(event OverrideChanged) control.Event {
	kind := control.EngineEnabled
	if event.Disabled {
		kind = control.EngineDisabled
	}
	return control.Event{Kind: kind, Engine: event.Engine}
}
