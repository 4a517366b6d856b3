package control

// ActionKind is the kind of an Action. It determines which fields are used.
type ActionKind int

// The kinds of actions, each with the fields that it uses.
const (
	StartAttempt   ActionKind = iota // RequestID, Engine, DeadlineAtMS
	RejectRequest                    // RequestID, RetryAfterMS, Reason: the client may safely repeat it
	FailRequest                      // RequestID, Reason: an attempt may have run
	CancelAttempt                    // RequestID, Attempt, Reason
	SetResources                     // RequestID, MemoryMB, Priority
	ProbeEngine                      // Engine
	Broadcast                        // Message, to all peers
	SetTimer                         // DelayMS, Timer
	WatchEndpoints                   // request the endpoint list and its updates
	WriteLog                         // Log
)

// Action is an operation that the caller must carry out.
type Action struct {
	Kind         ActionKind
	RequestID    string
	Engine       string
	DeadlineAtMS float64
	RetryAfterMS float64 // time that the client should wait before it retries; 0: not specified
	DelayMS      float64 // time until the timer fires
	Attempt      int     // index among the request's attempts
	MemoryMB     float64
	Priority     int
	Message      []byte
	Timer        TimerName
	Log          LogEntry
	Reason       Reason
}
