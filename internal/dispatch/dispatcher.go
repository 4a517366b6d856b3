package dispatch

import (
	"cmp"
	"fmt"
	"slices"

	"dewhill/control"
	"dewhill/internal/timerheap"
)

// Dispatcher holds the requests that are open or have an attempt in flight, and applies
// events to them. It is not safe for concurrent use.
type Dispatcher struct {
	settings  control.Settings
	gateway   *control.Gateway
	requests  map[string]*request
	openCount int // number of requests that are not closed
	timers    timerheap.Queue[timer]
	nowMS     float64
	effects   []Effect // of the event being applied

	// pendingEvents are the events that the decision logic has yet to handle, in order;
	// consulting is true while it handles them.
	pendingEvents []control.Event
	consulting    bool
}

// New returns a Dispatcher without requests or engines. The same settings, seed and
// events always give the same effects.
func New(settings control.Settings, seed uint64) *Dispatcher {
	return &Dispatcher{
		settings: settings,
		gateway:  control.New(settings, seed),
		requests: map[string]*request{},
	}
}

// Apply applies an event and returns the effects to carry out, in order. The effects
// are valid until the next call. Time never goes backwards: a nowMS before that of an
// earlier call is replaced by the latest time seen.
func (d *Dispatcher) Apply(nowMS float64, event Event) []Effect {
	d.nowMS = max(nowMS, d.nowMS)
	d.effects = d.effects[:0]
	switch event := event.(type) {
	case RequestArrived:
		d.requestArrived(event.Request)
	case AttemptEnded:
		d.attemptEnded(event)
	case AttemptStatus:
		d.attemptStatus(event)
	case RequestAbandoned:
		d.requestAbandoned(event.RequestID)
	case RequestDetached:
		d.requestDetached(event.RequestID)
	case ClientPresenceChanged:
		d.clientPresenceChanged(event)
	case ShutdownDeadline:
		d.rejectAllOpen()
	case EndpointsChanged:
		d.consult(endpointsEvent(event))
	case ProbeEnded:
		d.consult(probeEndedEvent(event))
	case GossipReceived:
		d.consult(control.Event{Kind: control.GossipReceived, Peer: event.Peer, Message: event.Message})
	case OverrideChanged:
		d.consult(overrideEvent(event))
	case FleetResized:
		d.consult(control.Event{Kind: control.FleetResized, AliveGateways: event.AliveGateways})
	case TimerFired:
		d.fireTimers()
	default:
		d.emit(WriteLog{fmt.Sprintf("event of unknown type %T ignored", event)})
	}
	return d.effects
}

func (d *Dispatcher) emit(effect Effect) { d.effects = append(d.effects, effect) }

// openRequest returns the request with this ID, or nil if it is closed or does not
// exist.
func (d *Dispatcher) openRequest(id string) *request {
	if r := d.requests[id]; r != nil && !r.closed {
		return r
	}
	return nil
}

func (d *Dispatcher) requestArrived(req Request) {
	if d.requests[req.ID] != nil || req.Class < 0 || req.Class >= len(d.settings.Classes) {
		return
	}
	r := &request{Request: req, priority: defaultPriority}
	d.requests[r.ID] = r
	d.openCount++
	d.timers.Add(r.DeadlineAtMS, timer{kind: requestDeadline, requestID: r.ID})
	d.consult(requestArrivedEvent(r))
}

func (d *Dispatcher) requestAbandoned(id string) {
	r := d.openRequest(id)
	if r == nil {
		return
	}
	d.close(r)
	d.consult(requestAbandonedEvent(r))
}

func (d *Dispatcher) requestDetached(id string) {
	r := d.openRequest(id)
	if r == nil {
		return
	}
	r.detached = true
	if !r.attemptInFlight() {
		d.reject(r, 0, control.ClientDisconnected)
		d.consult(requestAbandonedEvent(r))
	}
}

func (d *Dispatcher) clientPresenceChanged(event ClientPresenceChanged) {
	r := d.openRequest(event.RequestID)
	if r == nil {
		return
	}
	d.consult(control.Event{Kind: control.ClientPresenceChanged, RequestID: r.ID, ClientDisconnected: event.Disconnected})
}

// rejectAllOpen rejects every open request, in order of arrival. A request with an
// attempt that may have run fails instead.
func (d *Dispatcher) rejectAllOpen() {
	open := make([]*request, 0, d.openCount)
	for _, r := range d.requests {
		if !r.closed {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.ArrivedAtMS, b.ArrivedAtMS), cmp.Compare(a.ID, b.ID))
	})
	for _, r := range open {
		d.reject(r, d.settings.MaxRetryAfterMS, control.ShuttingDown)
		d.consult(requestAbandonedEvent(r))
	}
}
