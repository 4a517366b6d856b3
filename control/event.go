package control

// EventKind is the kind of an Event. It determines which fields are used.
type EventKind int

// The kinds of events, each with the fields that it uses.
const (
	// RequestArrived uses RequestID, Class, Tenant, Key, DeadlineAtMS, WorkMS, MemoryMB
	// and Dataset.
	RequestArrived EventKind = iota
	// AttemptEnded uses RequestID, Attempt, Engine, Result, ElapsedMS, RequestDone,
	// WorkMS, MemoryMB and LoadReport.
	AttemptEnded

	StreamOpened          // RequestID, Attempt, Engine: the response has begun
	RequestAbandoned      // RequestID: the client no longer waits
	AttemptProgress       // RequestID, Attempt, Progress
	AttemptShortOfMemory  // RequestID, Attempt, MissingMemoryMB
	AttemptBlocked        // RequestID, Attempt, BlockedOn
	ProbeEnded            // Engine, Result, ElapsedMS, LoadReport
	GossipReceived        // Peer, Message
	TimerFired            // Timer
	EndpointSnapshot      // Engines: the complete list
	EndpointUpdate        // Engines: the entries that changed
	EndpointListFailed    // the endpoint list could not be retrieved
	EngineDisabled        // Engine: disabled by an administrative override
	EngineEnabled         // Engine: the override was removed
	FleetResized          // AliveGateways
	AttemptAlive          // RequestID, Attempt: the engine has sent a message about the attempt
	ClientPresenceChanged // RequestID, ClientDisconnected
)

// Event is an input of a gateway.
type Event struct {
	Kind               EventKind
	RequestID          string
	Class              int
	Tenant             int
	Key                string // order key: requests of an ordered class with the same key run one at a time
	DeadlineAtMS       float64
	WorkMS             float64 // thread time of the request; 0: unknown
	MemoryMB           float64
	Dataset            int
	Attempt            int // index among the request's attempts
	Engine             string
	Result             Result
	ElapsedMS          float64
	RequestDone        bool    // the request is closed
	Progress           float64 // fraction of the attempt's work that is done, from 0 to 1
	MissingMemoryMB    float64 // memory that the attempt lacks
	BlockedOn          BlockedOn
	ClientDisconnected bool        // the client may have disconnected: no attempt should start
	AliveGateways      int         // gateways among which quotas are divided
	LoadReport         *LoadReport // nil: no report received
	Peer               int         // index of the gateway that sent the message
	Message            []byte
	Timer              TimerName
	Engines            []EngineInfo
}

// Result is the outcome of an attempt or a probe.
type Result int

// The results of attempts and probes.
const (
	Served        Result = iota
	Errored              // may have run
	Rejected             // never ran
	TimedOut             // may still run
	ConnectFailed        // never ran
	Reset                // may still run
	Cancelled            // may still run
	NotSent              // never ran: the request did not leave the gateway
)

// neverRan reports whether the result proves that the attempt did not run.
func (r Result) neverRan() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent
}

// BlockedOn is the resource that a blocked attempt waits for.
type BlockedOn int

// The resources that an attempt may wait for. Engines may report other values; no
// decision depends on the value.
const (
	BlockedOnMemory BlockedOn = 1
	BlockedOnLoad   BlockedOn = 2
)

// TimerName names a timer of the gateway. Its text is also its label in the
// simulator's protocol.
type TimerName string

// The timers.
const (
	SweepTimer TimerName = "sweep" // check deadlines, attempts in flight and the queue
	WatchTimer TimerName = "watch" // request the endpoint list again
)

// LoadReport is an engine's report of its load. A negative field means that the engine
// did not report the value.
type LoadReport struct {
	InFlight       float64 // requests that are running
	Queued         float64 // requests that are waiting
	BusyFraction   float64 // fraction of its cores that are busy
	MemoryFraction float64
	DiskFraction   float64
}

// EngineInfo is one entry of the endpoint list.
type EngineInfo struct {
	ID          string
	Zone        int
	Kind        int // index into Settings.EngineKinds
	Cell        int
	Size        float64
	StartedAtMS float64 // clock time of its last start; 0: long ago
	Draining    bool
	Removed     bool

	// GatewayCount is the number of gateways that use the engine, 0 if all do.
	// GatewayIndex is the index of this gateway among them.
	GatewayCount, GatewayIndex int

	// SlowStartGatewayCount is the number of gateways that, by the configuration, share
	// the work that the engine may get while it warms up. SlowStartGatewayIndex is the
	// index of this gateway among them, below 0 if it does not belong to them. If
	// SlowStartGatewayCount is 0, GatewayCount and GatewayIndex apply instead.
	SlowStartGatewayCount, SlowStartGatewayIndex int
}
