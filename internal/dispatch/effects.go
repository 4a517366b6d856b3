package dispatch

import "dewhill/control"

// Effect is something to do: one of the types of this file.
type Effect interface{ effect() }

// StartAttempt asks for an attempt. An AttemptEnded is owed for it.
type StartAttempt struct {
	RequestID    string
	Engine       string
	Attempt      int     // index of the attempt within the request, from 0
	DeadlineAtMS float64 // the attempt is cancelled at this time, by a CancelAttempt
	WriteByMS    float64 // bytes that are not written by then must not be written any more
	Priority     int     // the engine's, higher is sooner
}

// CancelAttempt cancels an attempt in flight. Its AttemptEnded is still owed.
type CancelAttempt struct {
	RequestID string
	Engine    string
	Attempt   int
}

// SetPriority gives an attempt in flight a new priority at its engine.
type SetPriority struct {
	RequestID string
	Engine    string
	Attempt   int
	Priority  int
}

// Response is the final answer to a request. A request gets at most one.
type Response struct {
	RequestID      string
	Outcome        Outcome
	Attempt        int     // Served: the attempt whose rows are the answer
	RetryAfterMS   float64 // Rejected: how long the client should wait; 0: no advice
	DeadlinePassed bool    // Rejected, Failed: the deadline has come, or comes in a moment
	MayHaveRun     bool    // Failed: an attempt may have run
}

// Outcome is the kind of a request's final answer.
type Outcome int

// The outcomes.
const (
	Served   Outcome = iota
	Rejected         // no attempt ran: it is safe to try again
	Failed
)

// String returns the outcome's word in the log, which operators' tools match.
func (o Outcome) String() string {
	switch o {
	case Served:
		return "served"
	case Rejected:
		return "refused"
	case Failed:
		return "failed"
	default:
		return "unknown outcome"
	}
}

// RequestClosed follows the Answer to a request that was not served by its first
// attempt. It is for logs and counters.
type RequestClosed struct {
	RequestID string
	Class     int
	Outcome   Outcome
	Reason    control.Reason // why it was rejected or failed
	ElapsedMS float64        // since its arrival
	Attempts  []AttemptRecord
}

// AttemptRecord is the history of one attempt of a request that is closed.
type AttemptRecord struct {
	Engine       string
	StartMS      float64 // from the arrival of the request to the start of the attempt
	DurationMS   float64 // from there to its end, or until now if it is in flight
	InFlight     bool    // it has no result yet
	Result       control.Result
	CancelReason control.Reason // why the decisions cancelled it, if they did
}

// ProbeEngine asks for a health check of an engine. A ProbeEnded is owed for it.
type ProbeEngine struct{ Engine string }

// Broadcast asks to send a message to all peers. It may be lost.
type Broadcast struct{ Message []byte }

// WatchEndpoints asks for the endpoint list and its changes, as EndpointsChanged.
type WatchEndpoints struct{}

// WriteLog asks to write a line to the log.
type WriteLog struct{ Text string }

func (StartAttempt) effect()   {}
func (CancelAttempt) effect()  {}
func (SetPriority) effect()    {}
func (Response) effect()       {}
func (RequestClosed) effect()  {}
func (ProbeEngine) effect()    {}
func (Broadcast) effect()      {}
func (WatchEndpoints) effect() {}
func (WriteLog) effect()       {}
