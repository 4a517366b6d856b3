package dispatch

import "dewhill/control"

// Request is a request that a front end has accepted.
type Request struct {
	ID           string // unique among requests that are open or have an attempt in flight
	Class        int
	Tenant       int    // index into the tenants of the settings, or control.NoTenant
	Key          string // order key; empty: none
	ArrivedAtMS  float64
	DeadlineAtMS float64 // when the client stops waiting
	WorkMS       float64 // estimate; 0: none
	MemoryMB     float64 // estimate; 0: none
	Dataset      int
}

// Query is the part of a client's request that the engine receives. The engine client
// passes it on unchanged.
type Query struct {
	Statement      []byte
	IdempotencyKey string // engines recognize repeats by it; empty: none
}

// defaultPriority is the priority that engines give an attempt by default.
const defaultPriority = 1

// request is a Request that is open or has an attempt in flight.
type request struct {
	Request
	attempts []attempt // in order of their starts
	priority int
	closed   bool // answered or abandoned
	detached bool // no further attempt starts
}

// attempt is the state of one attempt.
type attempt struct {
	engine       string
	startedAtMS  float64
	endedAtMS    float64 // valid once inFlight is false
	inFlight     bool    // the attempt has no result yet
	result       control.Result
	neverRan     bool           // it is certain that the attempt did not run
	cancelled    bool           // a CancelAttempt was emitted for the attempt
	cancelReason control.Reason // why the decision logic cancelled the attempt, if it did
	timedOut     bool           // the deadline of the attempt or of the request has passed
}

// attemptInFlight reports whether an attempt has no result yet.
func (r *request) attemptInFlight() bool {
	for i := range r.attempts {
		if r.attempts[i].inFlight {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether an attempt may have run or may still run.
func (r *request) mayHaveRun() bool {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return true
		}
	}
	return false
}

// hasAttempt reports whether the request has an attempt with this index.
func (r *request) hasAttempt(index int) bool { return index >= 0 && index < len(r.attempts) }
