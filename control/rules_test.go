package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Random events never make a gateway break a rule of ruleChecker, under several settings.
func TestRulesOnRandomEvents(t *testing.T) {
	zones := twoEngineKinds()
	zones.Classes[1].Idempotency = NotIdempotent
	zones.Classes[1].EngineKinds = nil
	zones.Classes[1].Zones = []int{1}
	zones.Classes[2].IdempotencyScope = SameZone
	zones.RetryBudgetBase = 2
	zones.RetryBudgetPerRequest = 0.05
	zones.RetryBudgetWindowMS = 5000

	hedging := twoEngineKinds()
	hedging.CanHedge = true
	hedging.CanGossip = true
	hedging.CanPrioritize = true
	hedging.CanGrantMemory = true
	hedging.EnginesReportCost = true
	hedging.Classes[2].IdempotencyScope = SameCell
	hedging.GatewayCount = 5
	hedging.Tenants = []Tenant{{10}, {20}}

	minimal := Settings{
		GatewayCount: 1, TickMS: 10, ResponseGraceMS: 20, DrainGraceMS: 100, PollsEndpointList: true,
		EngineKinds: []EngineKind{{4, 0}, {4, 0}},
		Classes: []Class{
			{LatencyObjectiveMS: 300, PriorityWeight: 1, Threads: 1},
			{LatencyObjectiveMS: 900, PriorityWeight: 3, Threads: 2, Idempotency: NotIdempotent},
			{LatencyObjectiveMS: 900, PriorityWeight: 3, Threads: 2},
		},
	}

	many := twoEngineKinds()
	many.GatewayCount = 60
	many.GatewayIndex = 7
	many.CanProbe = true
	many.LoadReportsInProbes = true
	many.CanGossip = true
	many.ProgressIntervalMS = 500
	many.CanPrioritize = true

	for name, s := range map[string]Settings{
		"plain": twoEngineKinds(), "zones": zones, "hedging": hedging, "minimal": minimal,
		"many gateways": many,
	} {
		t.Run(name, func(t *testing.T) {
			minStarts := 300 / min(5, max(1, s.GatewayCount/10)) // one of many gateways starts few attempts
			for seed := range uint64(20) {
				if starts := runRandomEvents(t, s, seed); starts < minStarts {
					t.Fatalf("seed %d: %d attempts started, want at least %d", seed, starts, minStarts)
				}
			}
		})
	}
}

// randomEvents passes random events to a scenario.
type randomEvents struct {
	*scenario
	rng     *rand.Rand
	engines []EngineInfo
	probed  int // number of actions in which answerProbes has looked for probes
}

// runRandomEvents passes random events to a gateway and returns the number of attempts
// that the gateway started.
func runRandomEvents(t *testing.T, s Settings, seed uint64) int {
	list := make([]EngineInfo, 6)
	for i := range list {
		list[i] = EngineInfo{ID: fmt.Sprint("e", i), Zone: i % 2, Kind: i / 2 % 2, Cell: i / 3, Size: 1}
	}
	r := &randomEvents{scenario: newScenario(t, s, list...), rng: rand.New(rand.NewPCG(seed, 7)), engines: list}
	for i := range 4000 {
		r.advance(float64(r.rng.IntN(12)))
		r.answerProbes()
		switch k := r.rng.IntN(20); {
		case k < 7:
			r.arrival(fmt.Sprint("r", i))
		case k < 17:
			r.outcome()
		case k == 17:
			r.endpoints()
		case k == 18:
			if last := r.requestList[len(r.requestList)-min(len(r.requestList), 5):]; len(last) > 0 {
				r.handle(Event{Kind: RequestAbandoned, RequestID: last[0].id})
			}
		default:
			r.invalidEvents()
		}
	}
	r.advance(6000)
	return len(r.starts)
}

// answerProbes answers the probes since the last call, some of them with a failure or an
// invalid report.
func (r *randomEvents) answerProbes() {
	r.t.Helper()
	for ; r.probed < len(r.actions); r.probed++ {
		a := r.actions[r.probed]
		if a.Kind != ProbeEngine {
			continue
		}
		ev := Event{Kind: ProbeEnded, Engine: a.Engine,
			LoadReport: &LoadReport{float64(r.rng.IntN(9)), 0, r.rng.Float64(), r.rng.Float64(), -1}}
		switch r.rng.IntN(9) {
		case 0:
			ev.LoadReport = nil
			ev.Result = ConnectFailed
		case 1:
			ev.LoadReport = &LoadReport{math.NaN(), math.Inf(1), -7, 1e300, math.Inf(-1)}
		}
		r.handle(ev)
	}
}

// arrival passes a new request.
func (r *randomEvents) arrival(id string) {
	r.t.Helper()
	worksMS := []float64{100, 1600, 1200}
	class := r.rng.IntN(len(r.settings.Classes))
	ev := Event{Kind: RequestArrived, RequestID: id, Class: class, WorkMS: worksMS[class], Dataset: r.rng.IntN(4),
		DeadlineAtMS: r.nowMS + float64(r.rng.IntN(4000)), MemoryMB: 100}
	if len(r.settings.Tenants) > 0 {
		ev.Tenant = r.rng.IntN(len(r.settings.Tenants))
	}
	if r.rng.IntN(4) > 0 {
		ev.Key = fmt.Sprint("k", r.rng.IntN(3))
	}
	r.handle(ev)
}

// outcome ends an attempt in flight. It passes the event twice; the second event must have
// no effect.
func (r *randomEvents) outcome() {
	r.t.Helper()
	inFlight := func(a trackedAttempt) bool { return a.endedAtMS == 0 }
	var candidates []*trackedRequest
	for _, recent := range r.requestList[max(0, len(r.requestList)-60):] {
		if slices.ContainsFunc(recent.attempts, inFlight) {
			candidates = append(candidates, recent)
		}
	}
	if len(candidates) == 0 {
		return
	}
	request := candidates[r.rng.IntN(len(candidates))]
	index := slices.IndexFunc(request.attempts, inFlight)
	attempt := request.attempts[index]
	results := []Result{Served, Served, Served, Served, Served, Served, Errored, Rejected, TimedOut,
		ConnectFailed, Reset, Cancelled}
	result := results[r.rng.IntN(len(results))]
	ev := Event{Kind: AttemptEnded, RequestID: request.id, Attempt: index, Engine: attempt.engine,
		Result: result, ElapsedMS: r.nowMS - attempt.startedAtMS,
		RequestDone: request.closedAtMS != 0 || result == Served}
	if r.rng.IntN(3) == 0 {
		ev.LoadReport = &LoadReport{InFlight: 3, Queued: 0, BusyFraction: r.rng.Float64(),
			MemoryFraction: r.rng.Float64(), DiskFraction: -1}
	}
	r.handle(ev)
	r.handle(ev)
}

// endpoints passes an update of one engine, and sometimes an empty snapshot followed by a
// complete one.
func (r *randomEvents) endpoints() {
	r.t.Helper()
	e := &r.engines[r.rng.IntN(len(r.engines))]
	switch r.rng.IntN(4) {
	case 0:
		e.Draining = true
	case 1:
		e.StartedAtMS = r.nowMS
	default:
		e.Draining = false
		e.Removed = false
	}
	r.handle(Event{Kind: EndpointUpdate, Engines: []EngineInfo{*e}})
	if r.rng.IntN(9) == 0 {
		r.handle(Event{Kind: EndpointSnapshot})
		r.handle(Event{Kind: EndpointSnapshot, Engines: r.engines})
	}
}

// invalidEvents passes malformed messages, and events of unknown engines, attempts, timers
// and requests.
func (r *randomEvents) invalidEvents() {
	r.t.Helper()
	r.handle(Event{Kind: EndpointListFailed})
	r.handle(Event{Kind: GossipReceived, Peer: 1, Message: []byte{70, 0, 0, 0}})
	r.handle(Event{Kind: GossipReceived, Peer: -1, Message: []byte{0x7f, 0xc0, 0, 0}})
	r.handle(Event{Kind: GossipReceived, Peer: 1 << 40, Message: []byte{0xff, 0x80, 0, 0, 1}})
	r.handle(Event{Kind: ProbeEnded, Engine: "unknown", LoadReport: &LoadReport{}})
	r.handle(Event{Kind: EndpointUpdate,
		Engines: []EngineInfo{{ID: "invalid", Kind: -3, Zone: 9, Removed: true}}})
	if last := r.requestList[max(0, len(r.requestList)-3):]; len(last) > 0 {
		r.handle(Event{Kind: AttemptProgress, RequestID: last[0].id, Attempt: r.rng.IntN(3) - 1,
			Progress: r.rng.Float64()})
		r.handle(Event{Kind: AttemptBlocked, RequestID: last[0].id, Attempt: 99, BlockedOn: BlockedOnMemory})
	}
	r.handle(Event{Kind: TimerFired, Timer: "unknown"})
	r.handle(Event{Kind: AttemptEnded, RequestID: "unknown", Engine: "e0"})
	r.handle(Event{Kind: AttemptProgress, RequestID: "unknown"})
}
