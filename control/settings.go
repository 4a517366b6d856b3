package control

// Idempotency says what repeating a request does.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // engines drop repeats of a key, within a scope and for a while
	NotIdempotent                        // must not run twice
)

// IdempotencyScope names the engines among which repeats of a key are dropped.
type IdempotencyScope int

// The scopes of an idempotency key.
const (
	AllEngines IdempotencyScope = iota
	SameZone
	SameCell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjectiveMS  float64 // a response within it earns the full priority weight
	ObjectiveSlope      float64 // the objective grows by this times the request's time on its threads
	DeadlineMS          float64 // how long a client waits at most
	PriorityWeight      float64
	LateWeight          float64 // fraction of PriorityWeight for a response after the objective
	Idempotency         Idempotency
	IdempotencyScope    IdempotencyScope
	IdempotencyWindowMS float64 // how long engines remember an idempotency key
	OrderedByKey        bool    // requests of one key run one at a time, in order of arrival
	Streaming           bool    // a response that has begun is not bound by the deadline
	Zones               []int   // if not empty, the only zones it may go to
	EngineKinds         []int   // if not empty, the only kinds of engines it may go to
	Threads             int     // threads that an attempt uses on its engine
	IsLoad              bool    // a bulk load: it locks its data set on its engine while it runs
	BlockedByLoads      bool    // does not run on an engine while a load locks its data set there
}

// EngineKind describes one kind of engine.
type EngineKind struct {
	Cores    int
	MemoryMB float64
}

// NoTenant is the tenant of a request that names none, or one that the settings don't
// have. Where there are tenants, no quota covers such a request.
const NoTenant = -1

// Tenant describes one tenant's quota of the service.
type Tenant struct {
	RequestsPerSecond float64 // through all gateways together; 0: no quota
}

// Settings configure a gateway. An optional value that is zero turns its rule or
// feature off.
type Settings struct {
	GatewayIndex int // from 0 to GatewayCount-1
	GatewayCount int
	Zone         int
	TickMS       float64 // least time between two rounds of events
	Classes      []Class
	EngineKinds  []EngineKind
	Tenants      []Tenant

	ResponseGraceMS          float64 // a final answer may come this late
	DrainGraceMS             float64 // no attempt starts on an engine later than this after it began to drain
	OverloadMultiple         float64 // an engine that warms up fails above this times its capacity
	OverloadWindowMS         float64 // for this long
	SlowStartInitialFraction float64 // fraction of its capacity that an engine starts with
	SlowStartWindowMS        float64 // time from its start until it has all of it
	EndpointListMaxAgeMS     float64 // how old a polled endpoint list may get
	KeySettleMS              float64 // a key rests this long after an attempt that may still run
	RetryBudgetBase          float64 // retries allowed within RetryBudgetWindowMS,
	RetryBudgetPerRequest    float64 // and this many more for each request that arrived in it
	RetryBudgetWindowMS      float64
	SendDelayAllowanceMS     float64 // an attempt reaches its engine up to this much later than its action
	MaxAttempts              int     // of one request
	MaxOpenRequests          int     // above it the front end accepts no connection

	CanCancel            bool // attempts may be cancelled
	CanHedge             bool // a second attempt may start while the first is in flight
	CanProbe             bool // engines may be probed
	CanGossip            bool // messages may be sent to the other gateways
	PollsEndpointList    bool // the endpoint list must be asked for
	SendsRetryAfter      bool // rejected clients get a Retry-After
	MaxRetryAfterMS      float64
	CanPrioritize        bool    // engines heed the priority of SetTerms
	CanGrantMemory       bool    // engines heed the memory of SetTerms
	MaxMemoryGrant       float64 // fraction of an engine's memory
	EnginesReportCost    bool    // outcomes carry what an attempt used
	ProgressIntervalMS   float64 // time between status reports of an attempt; 0: none come
	OverQuotaWeight      float64 // fraction of its priority weight that a request over its tenant's quota has
	LoadReportsInReplies bool    // outcomes carry load reports
	LoadReportsInProbes  bool    // results of probes do
}
