package dispatch

import "dewhill/control"

// Effect is something for the caller of Apply to carry out: one of the types of this
// file.
type Effect interface{ effect() }

// StartAttempt asks for an attempt. The caller reports its end with one AttemptEnded.
type StartAttempt struct {
	RequestID    string
	Engine       string
	Attempt      int     // index of the attempt within the request, from 0
	DeadlineAtMS float64 // a CancelAttempt follows at this time if the attempt is still in flight
	WriteByMS    float64 // bytes not written by this time must not be written
	Priority     int     // at the engine; higher runs first
}

// CancelAttempt cancels an attempt in flight, whose end the caller still reports with
// one AttemptEnded.
type CancelAttempt struct {
	RequestID string
	Engine    string
	Attempt   int
}

// SetPriority changes the priority of an attempt in flight at its engine.
type SetPriority struct {
	RequestID string
	Engine    string
	Attempt   int
	Priority  int
}

// Response is the final response to a request. A request gets at most one.
type Response struct {
	RequestID      string
	Outcome        Outcome
	Attempt        int     // Served: the attempt whose rows are the response
	RetryAfterMS   float64 // Rejected: how long the client should wait before it retries; 0: no advice
	DeadlinePassed bool    // Rejected, Failed: the deadline has passed or is imminent (deadlineToleranceMS)
	MayHaveRun     bool    // Failed: an attempt may have run
}

// Outcome is the kind of a final response.
type Outcome int

// The outcomes.
const (
	Served   Outcome = iota
	Rejected         // no attempt ran: the client may safely retry
	Failed
)

// String returns the outcome as written to the log, where operators' tools match it.
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

// RequestClosed follows the Response to a request, unless the request was served by its
// first attempt. It is for logs and counters.
type RequestClosed struct {
	RequestID string
	Class     int
	Outcome   Outcome
	Reason    control.Reason // why the request was rejected or failed
	ElapsedMS float64        // since the arrival of the request
	Attempts  []AttemptRecord
}

// AttemptRecord is the history of one attempt of a closed request.
type AttemptRecord struct {
	Engine       string
	StartMS      float64 // from the arrival of the request to the start of the attempt
	DurationMS   float64 // from the start to the end of the attempt, or until now if it is in flight
	InFlight     bool    // the attempt has no result yet
	Result       control.Result
	CancelReason control.Reason // why the decision logic cancelled the attempt, if it did
}

// ProbeEngine asks for a health check of an engine. The caller reports its end with one
// ProbeEnded.
type ProbeEngine struct{ Engine string }

// Broadcast asks to send a message to all peers. Delivery is not guaranteed.
type Broadcast struct{ Message []byte }

// WatchEndpoints asks for the endpoint list and its changes, which the caller reports
// as EndpointsChanged.
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
