package control

// Reason is why a request was rejected or failed, or why an attempt was cancelled. Callers
// use it in logs and counters only.
type Reason int

// NoReason is the reason of a request that was served.
const NoReason Reason = 0

// The reasons that this package reports.
const (
	NearDeadline         Reason = iota + 1 // the deadline may come before the next sweep
	NoCapacityInTime                       // no engine was below its limit of dashboards in time
	LowValuePerCost                        // the request is late, and other requests need its threads
	MissesObjective                        // its class's queue is too long; it has the least weight per work
	OpenRequestsFull                       // the number of open requests is close to its limit
	UnresponsiveAttempt                    // the engine does not respond, or the attempt takes far too long
	ResponseLost                           // it must not be repeated, and its response is most likely lost
	ResponseStarted                        // the response has begun
	EngineErrors                           // several attempts ended in errors
	AttemptLimit                           // Settings.MaxAttempts is reached
	RetryBudgetExhausted                   // the retry budget allows no further retry
	MayHaveRun                             // an attempt may have run, and the class must not run twice
	NoTimeToRetry                          // a retry would end after the deadline
)

// The reasons that the caller gives when it ends a request itself.
const (
	DeadlinePassed     Reason = iota + NoTimeToRetry + 1 // no response came by the deadline
	ShuttingDown                                         // the program is shutting down
	ClientDisconnected                                   // no client waits for the response

	reasonCount
)

// reasonNames holds the texts of the reasons. They are keys of the operators' counters
// and must not change.
var reasonNames = [reasonCount]string{
	NoReason:             "none",
	NearDeadline:         "near its deadline",
	NoCapacityInTime:     "no engine had a place in time",
	LowValuePerCost:      "late while others wait",
	MissesObjective:      "would miss its aim",
	OpenRequestsFull:     "places for open requests are full",
	UnresponsiveAttempt:  "attempt without a sign of life or far too long",
	ResponseLost:         "answer most likely lost",
	ResponseStarted:      "its answer had begun",
	EngineErrors:         "errors from several engines",
	AttemptLimit:         "no attempts left",
	RetryBudgetExhausted: "retry budget spent",
	MayHaveRun:           "may have run and must not run twice",
	NoTimeToRetry:        "no time for a further attempt",
	DeadlinePassed:       "deadline passed",
	ShuttingDown:         "shutting down",
	ClientDisconnected:   "its client left",
}

// String returns the text of the reason, which the log and the counters by reason use.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "unknown reason"
	}
	return reasonNames[r]
}
