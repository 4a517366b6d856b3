package simproto

import (
	"fmt"
	"slices"

	"dewhill/control"
)

// Settings are the settings of a gateway, both in the simulator's message that starts
// an instance and in the configuration of a front end. Unknown keys are skipped; a
// field whose key is absent is zero.
type Settings struct {
	Classes         []Class   `json:"categories"`
	Contract        Contract  `json:"contract"`
	Tenants         []Tenant  `json:"customers"`
	Discovery       string    `json:"discovery"` // "ask": endpoint lists are polled
	Domain          Domain    `json:"domain"`
	EngineKinds     []string  `json:"hostTypes"` // names, which do not influence decisions
	Limits          Limits    `json:"limits"`
	Zones           []string  `json:"localities"` // names, which do not influence decisions
	GatewayIndex    int       `json:"ordinal"`
	OverQuotaWeight float64   `json:"overShareWorth"`
	GatewayCount    int       `json:"replicasOfMe"`
	Reporting       Reporting `json:"reporting"`
	TickMS          float64   `json:"tickMs"`
	Zone            int       `json:"zone"`
}

// Class describes a class of requests. See control.Class.
type Class struct {
	Name                string  `json:"name"` // does not influence decisions
	LatencyObjectiveMS  float64 `json:"aimMs"`
	ObjectiveSlope      float64 `json:"aimStretch"`
	DeadlineMS          float64 `json:"hardLimitMs"`
	PriorityWeight      float64 `json:"value"`
	LateWeight          float64 `json:"lateValue"`
	Idempotency         string  `json:"effect"`
	IdempotencyScope    string  `json:"group"`
	IdempotencyWindowMS float64 `json:"windowMs"`
	OrderedByKey        bool    `json:"sequential"`
	Streaming           bool    `json:"stream"`
	Zones               []int   `json:"allowedIn"`
	EngineKinds         []int   `json:"hostTypesOpen"`
}

// Contract has the limits that gateways must keep towards clients and engines. See
// control.Settings.
type Contract struct {
	ResponseGraceMS          float64 `json:"graceToAnswerMs"`
	DrainGraceMS             float64 `json:"stopSendingWithinMs"`
	OverloadMultiple         float64 `json:"fallMultiple"`
	OverloadWindowMS         float64 `json:"fallMs"`
	SlowStartInitialFraction float64 `json:"coldShare"`
	SlowStartWindowMS        float64 `json:"warmWithinMs"`
	EndpointListMaxAgeMS     float64 `json:"mustAskInMs"`
	KeySettleMS              float64 `json:"orderSettleMs"`
	RetryBudgetBase          float64 `json:"spareAttempts"`
	RetryBudgetPerRequest    float64 `json:"extraPerRequest"`
	RetryBudgetWindowMS      float64 `json:"countedOverMs"`
}

// Tenant is the quota of a tenant.
type Tenant struct {
	Name              string  `json:"name,omitempty"` // requests name the tenant by it; no other use
	RequestsPerSecond float64 `json:"allowancePerS"`
}

// Domain has the settings that are specific to query engines. Lists by class are in the
// order of Settings.Classes, lists by kind in that of Settings.EngineKinds.
type Domain struct {
	BlockedByLoads     []bool    `json:"blockedByLoads"` // by class
	IsLoad             []bool    `json:"classLoad"`      // by class
	CoresByKind        []int     `json:"coresByKind"`
	MemoryMBByKind     []float64 `json:"memoryByKindMb"`
	Threads            []int     `json:"dop"` // by class
	CanGrantMemory     bool      `json:"grantsCount"`
	MaxMemoryGrant     float64   `json:"largestShare"`
	ProgressIntervalMS float64   `json:"progressMs"`
	CanPrioritize      bool      `json:"takesPriority"`
	EnginesReportCost  bool      `json:"tellsCost"`
	// MemoryShortMode does not influence decisions. The field exists because the
	// simulator and the configurations of deployments set it, and internal/mysql
	// rejects a configuration with an unknown key.
	MemoryShortMode string `json:"memoryShort"`
}

// Limits are the actions that a gateway is allowed, and their limits.
type Limits struct {
	ConnectionIdleMS     float64 `json:"connIdleMs"`
	ConnectTimeoutMS     float64 `json:"connectTimeoutMs"`
	MaxOpenRequests      int     `json:"maxOpen"`
	StreamsPerConnection int     `json:"streamsPerConn"`
	CanCancel            bool    `json:"cancel"`
	MaxRetryAfterMS      float64 `json:"maxRetryAfterMs"`
	CanGossip            bool    `json:"mayTell"`
	CanProbe             bool    `json:"probes"`
	SendsRetryAfter      bool    `json:"retryAfter"`
	CanHedge             bool    `json:"secondCopies"`
	MaxAttempts          int     `json:"tryLimit"`
}

// Reporting says how engines report their load.
type Reporting struct {
	Via string `json:"via"` // "answers": in replies and probes; "probe": in probes; otherwise not at all
}

// Values of the settings.
const (
	discoveryPolled    = "ask"
	reportsWithAnswers = "answers"
	reportsWithProbes  = "probe"
)

// idempotencies maps the values of Class.Idempotency.
var idempotencies = map[string]control.Idempotency{
	"pure":        control.Idempotent,
	"token":       control.IdempotentWithKey,
	"side_effect": control.NotIdempotent,
}

// idempotencyScopes maps the values of Class.IdempotencyScope.
var idempotencyScopes = map[string]control.IdempotencyScope{
	"":     control.AllEngines,
	"all":  control.AllEngines,
	"zone": control.SameZone,
	"cell": control.SameCell,
}

// Control converts the settings to those of package control. It returns an error that
// includes the value if the idempotency or scope of a class is unknown.
func (s *Settings) Control() (control.Settings, error) {
	settings := control.Settings{
		GatewayIndex:             s.GatewayIndex,
		GatewayCount:             s.GatewayCount,
		Zone:                     s.Zone,
		TickMS:                   s.TickMS,
		ResponseGraceMS:          s.Contract.ResponseGraceMS,
		DrainGraceMS:             s.Contract.DrainGraceMS,
		OverloadMultiple:         s.Contract.OverloadMultiple,
		OverloadWindowMS:         s.Contract.OverloadWindowMS,
		SlowStartInitialFraction: s.Contract.SlowStartInitialFraction,
		SlowStartWindowMS:        s.Contract.SlowStartWindowMS,
		EndpointListMaxAgeMS:     s.Contract.EndpointListMaxAgeMS,
		KeySettleMS:              s.Contract.KeySettleMS,
		RetryBudgetBase:          s.Contract.RetryBudgetBase,
		RetryBudgetPerRequest:    s.Contract.RetryBudgetPerRequest,
		RetryBudgetWindowMS:      s.Contract.RetryBudgetWindowMS,
		MaxAttempts:              s.Limits.MaxAttempts,
		MaxOpenRequests:          s.Limits.MaxOpenRequests,
		CanCancel:                s.Limits.CanCancel,
		CanHedge:                 s.Limits.CanHedge,
		CanProbe:                 s.Limits.CanProbe,
		CanGossip:                s.Limits.CanGossip,
		PollsEndpointList:        s.Discovery == discoveryPolled,
		SendsRetryAfter:          s.Limits.SendsRetryAfter,
		MaxRetryAfterMS:          s.Limits.MaxRetryAfterMS,
		CanPrioritize:            s.Domain.CanPrioritize,
		CanGrantMemory:           s.Domain.CanGrantMemory,
		MaxMemoryGrant:           s.Domain.MaxMemoryGrant,
		EnginesReportCost:        s.Domain.EnginesReportCost,
		ProgressIntervalMS:       s.Domain.ProgressIntervalMS,
		OverQuotaWeight:          s.OverQuotaWeight,
		LoadReportsInReplies:     s.Reporting.Via == reportsWithAnswers,
		LoadReportsInProbes:      s.Reporting.Via == reportsWithAnswers || s.Reporting.Via == reportsWithProbes,
		EngineKinds:              s.controlEngineKinds(),
	}
	for i := range s.Classes {
		class, err := s.controlClass(i)
		if err != nil {
			return settings, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, tenant := range s.Tenants {
		settings.Tenants = append(settings.Tenants, control.Tenant{RequestsPerSecond: tenant.RequestsPerSecond})
	}
	return settings, nil
}

func (s *Settings) controlClass(i int) (control.Class, error) {
	class := &s.Classes[i]
	idempotency, ok := idempotencies[class.Idempotency]
	if !ok {
		return control.Class{}, fmt.Errorf("%w effect %q", errUnknown, class.Idempotency)
	}
	scope, ok := idempotencyScopes[class.IdempotencyScope]
	if !ok {
		return control.Class{}, fmt.Errorf("%w group %q", errUnknown, class.IdempotencyScope)
	}
	return control.Class{
		LatencyObjectiveMS:  class.LatencyObjectiveMS,
		ObjectiveSlope:      class.ObjectiveSlope,
		DeadlineMS:          class.DeadlineMS,
		PriorityWeight:      class.PriorityWeight,
		LateWeight:          class.LateWeight,
		Idempotency:         idempotency,
		IdempotencyScope:    scope,
		IdempotencyWindowMS: class.IdempotencyWindowMS,
		OrderedByKey:        class.OrderedByKey,
		Streaming:           class.Streaming,
		Zones:               slices.Clone(class.Zones),
		EngineKinds:         slices.Clone(class.EngineKinds),
		Threads:             valueAt(s.Domain.Threads, i),
		IsLoad:              valueAt(s.Domain.IsLoad, i),
		BlockedByLoads:      valueAt(s.Domain.BlockedByLoads, i),
	}, nil
}

func (s *Settings) controlEngineKinds() []control.EngineKind {
	var kinds []control.EngineKind
	for i := range max(len(s.EngineKinds), len(s.Domain.CoresByKind)) {
		kinds = append(kinds, control.EngineKind{
			Cores:    valueAt(s.Domain.CoresByKind, i),
			MemoryMB: valueAt(s.Domain.MemoryMBByKind, i),
		})
	}
	return kinds
}

// valueAt returns the value at an index, or zero if the list is too short.
func valueAt[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var zero T
	return zero
}
