package dispatch

import "dewhill/control"

// Event is something that happened, as given to Apply: one of the types of this file.
type Event interface{ event() }

// RequestArrived reports that a front end has accepted a request. A request whose ID is
// in use, or whose class does not exist, is ignored: the front ends check both.
type RequestArrived struct{ Request }

// AttemptEnded reports how an attempt ended. The caller applies it once for each
// StartAttempt, even after a CancelAttempt; a second AttemptEnded is ignored.
type AttemptEnded struct {
	RequestID string
	Attempt   int // index of the attempt, as in StartAttempt
	// Result is Served only when all rows have arrived, so that an idempotent request
	// whose rows were cut short can still be retried.
	Result     control.Result
	WorkMS     float64             // work that the attempt cost its engine; 0: not reported
	MemoryMB   float64             // memory that the attempt used; 0: not reported
	LoadReport *control.LoadReport // from the engine; nil: none received
}

// AttemptStatus is an engine's report on an attempt in flight. It does not end the
// attempt, and is ignored once the attempt has ended or was cancelled.
type AttemptStatus struct {
	RequestID string
	Attempt   int
	Kind      StatusKind
	Value     float64 // meaning and unit depend on Kind
}

// StatusKind is the kind of an AttemptStatus.
type StatusKind int

// The kinds of status reports.
const (
	AttemptAlive         StatusKind = iota // the engine works on the attempt; Value is not used
	AttemptProgress                        // Value is the fraction of the work that is done, from 0 to 1
	AttemptShortOfMemory                   // Value is the memory that the attempt lacks, in megabytes
	AttemptBlocked                         // Value is a control.BlockedOn
)

// RequestAbandoned reports that the client no longer waits for the response. The
// request gets none, and its attempts are cancelled.
type RequestAbandoned struct{ RequestID string }

// RequestDetached reports that the client no longer waits, but that the outcome of the
// request must still become known. Attempts in flight continue, no further attempt
// starts, and the request is answered when the last of them has ended.
type RequestDetached struct{ RequestID string }

// ClientPresenceChanged reports that a request's client may have disconnected, or that
// the client has turned out to be connected. No attempt starts while the client may
// have disconnected.
type ClientPresenceChanged struct {
	RequestID    string
	Disconnected bool
}

// ShutdownDeadline reports that the process is about to exit. Every open request is
// answered at once, in order of arrival.
type ShutdownDeadline struct{}

// EndpointsChanged reports a change of the endpoint list.
type EndpointsChanged struct {
	Snapshot bool                 // Engines is the complete list; otherwise only the entries that changed
	Engines  []control.EngineInfo // the Dispatcher may keep the slice: the caller must not change it
}

// ProbeEnded reports how a health check ended. The caller applies it once for each
// ProbeEngine.
type ProbeEnded struct {
	Engine     string
	Result     control.Result
	ElapsedMS  float64
	LoadReport *control.LoadReport // nil: none received
}

// GossipReceived is a message that a peer has broadcast.
type GossipReceived struct {
	Peer    int // the peer's index among the gateways
	Message []byte
}

// OverrideChanged reports that an operator has disabled an engine or enabled it again.
type OverrideChanged struct {
	Engine   string
	Disabled bool
}

// FleetResized reports how many alive gateways share the quotas of work.
type FleetResized struct{ AliveGateways int }

// TimerFired reports that the time given by NextTimerMS has come. At any other time it
// does nothing.
type TimerFired struct{}

func (RequestArrived) event()        {}
func (AttemptEnded) event()          {}
func (AttemptStatus) event()         {}
func (RequestAbandoned) event()      {}
func (RequestDetached) event()       {}
func (ClientPresenceChanged) event() {}
func (ShutdownDeadline) event()      {}
func (EndpointsChanged) event()      {}
func (ProbeEnded) event()            {}
func (GossipReceived) event()        {}
func (OverrideChanged) event()       {}
func (FleetResized) event()          {}
func (TimerFired) event()            {}
