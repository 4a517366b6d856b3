package control

// Idempotency says whether a request may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // engines drop repeats of a key, within a scope and a time window
	NotIdempotent                        // must not run twice
)

// IdempotencyScope is the set of engines that share their record of idempotency keys: a
// repeat is dropped only on an engine in the scope of the first attempt.
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
	ObjectiveSlope      float64 // the objective grows by this times the request's uncontended duration
	DeadlineMS          float64 // maximum time that a client waits
	PriorityWeight      float64 // value of a response within the objective, relative to other classes
	LateWeight          float64 // fraction of PriorityWeight that a response after the objective earns
	Idempotency         Idempotency
	IdempotencyScope    IdempotencyScope
	IdempotencyWindowMS float64 // how long engines remember an idempotency key
	OrderedByKey        bool    // requests with the same key run one at a time, in order of arrival
	Streaming           bool    // the deadline does not apply to a response that has begun
	Zones               []int   // if not empty, the only zones whose engines may run it
	EngineKinds         []int   // if not empty, the only kinds of engines that may run it
	Threads             int     // number of threads that an attempt uses on its engine
	IsLoad              bool    // a bulk load: it locks its data set on its engine while it runs
	BlockedByLoads      bool    // does not run on an engine while a load locks its data set there
}

// EngineKind describes one kind of engine.
type EngineKind struct {
	Cores    int
	MemoryMB float64
}

// NoTenant is the tenant of a request that names no tenant, or one that is not in
// Settings.Tenants. If there are tenants, such a request weighs as one over its quota.
const NoTenant = -1

// Tenant is the quota of one tenant.
type Tenant struct {
	RequestsPerSecond float64 // at all gateways together; 0: no quota
}

// Settings configure a gateway. The zero value of an optional setting turns off the rule
// or feature that the setting belongs to.
type Settings struct {
	GatewayIndex int // from 0 to GatewayCount-1
	GatewayCount int
	Zone         int
	TickMS       float64 // minimum time between two rounds of events
	Classes      []Class
	EngineKinds  []EngineKind
	Tenants      []Tenant

	ResponseGraceMS          float64 // a final response may come this long after the deadline
	DrainGraceMS             float64 // how long attempts may start on an engine after it began to drain
	OverloadMultiple         float64 // load above this multiple of its capacity makes a starting engine fail
	OverloadWindowMS         float64 // if the load lasts this long
	SlowStartInitialFraction float64 // fraction of its capacity that an engine has at its start
	SlowStartWindowMS        float64 // time from its start until it has its full capacity
	EndpointListMaxAgeMS     float64 // maximum age of a polled endpoint list
	KeySettleMS              float64 // time for which a key is blocked after an attempt that may still run
	RetryBudgetBase          float64 // retries allowed within RetryBudgetWindowMS
	RetryBudgetPerRequest    float64 // additional retries for each request that arrived within the window
	RetryBudgetWindowMS      float64
	SendDelayAllowanceMS     float64 // maximum delay between StartAttempt and the arrival at the engine
	MaxAttempts              int     // maximum number of attempts of one request
	MaxOpenRequests          int     // above it the front end accepts no new connections

	CanCancel            bool // attempts may be cancelled
	CanHedge             bool // a second attempt may start while the first is still in flight
	CanProbe             bool // engines may be probed
	CanGossip            bool // messages may be sent to the peers
	PollsEndpointList    bool // the endpoint list is polled, not pushed
	SendsRetryAfter      bool // a rejection carries a Retry-After
	MaxRetryAfterMS      float64
	CanPrioritize        bool    // engines apply the priority of SetResources
	CanGrantMemory       bool    // engines apply the memory grant of SetResources
	MaxMemoryGrant       float64 // largest memory grant, as a fraction of an engine's memory
	EnginesReportCost    bool    // outcomes carry the work and memory that an attempt used
	ProgressIntervalMS   float64 // time between status reports of an attempt; 0: engines send none
	OverQuotaWeight      float64 // a request over its tenant's quota has this fraction of its priority weight
	LoadReportsInReplies bool    // outcomes of attempts carry load reports
	LoadReportsInProbes  bool    // results of probes carry load reports
}
