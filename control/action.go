package control

// ActionKind says which fields of an Action count.
type ActionKind int

// The kinds of actions, each with the fields that it uses.
const (
	StartAttempt   ActionKind = iota // RequestID, Engine, DeadlineAtMS
	RejectRequest                    // RequestID, RetryAfterMS, Reason: it may safely be sent again
	FailRequest                      // RequestID, Reason: an attempt may have run
	CancelAttempt                    // RequestID, Attempt, Reason
	SetResources                     // RequestID, MemoryMB, Priority
	ProbeEngine                      // Engine
	Broadcast                        // Message, to all other gateways
	SetTimer                         // DelayMS, Timer
	WatchEndpoints                   // ask for the endpoint list and its updates
	WriteLog                         // Log
)

// Action is something that the caller is to do.
type Action struct {
	Kind         ActionKind
	RequestID    string
	Engine       string
	DeadlineAtMS float64
	RetryAfterMS float64 // how long the client is to stay away; 0: no advice
	DelayMS      float64 // until the timer is due
	Attempt      int     // index among the request's attempts
	MemoryMB     float64
	Priority     int
	Message      []byte
	Timer        TimerName
	Log          LogEntry
	Reason       Reason
}
