package control

import (
	"encoding/binary"
	"math"
	"testing"
)

// oneGateway returns the settings of a single gateway with engines of 8 cores (kind 0), a
// dashboard class, a report class and a class of ordered loads, none of them restricted to
// a kind of engine.
func oneGateway() Settings {
	s := twoEngineKinds()
	s.GatewayCount = 1
	s.Classes[1].EngineKinds = nil
	return s
}

// twoEngineKinds returns settings with engines of 8 and 16 cores, a dashboard class, a
// report class that is restricted to the smaller engines, and a class of ordered loads.
func twoEngineKinds() Settings {
	return Settings{
		GatewayCount: 2, TickMS: 5, ResponseGraceMS: 20, DrainGraceMS: 500, MaxAttempts: 4, CanCancel: true,
		OverloadMultiple: 2, OverloadWindowMS: 1000, SlowStartInitialFraction: 0.4, SlowStartWindowMS: 10000,
		KeySettleMS: 400,
		EngineKinds: []EngineKind{{8, 8000}, {16, 16000}},
		Classes: []Class{
			{LatencyObjectiveMS: 500, ObjectiveSlope: 2, DeadlineMS: 2000, PriorityWeight: 1, Threads: 1,
				BlockedByLoads: true},
			{LatencyObjectiveMS: 2000, ObjectiveSlope: 2, DeadlineMS: 20000, PriorityWeight: 7, Threads: 4,
				LateWeight: 0.3, EngineKinds: []int{0}},
			{LatencyObjectiveMS: 2000, ObjectiveSlope: 2, DeadlineMS: 20000, PriorityWeight: 7, Threads: 2,
				Idempotency: IdempotentWithKey, IdempotencyWindowMS: 3000, OrderedByKey: true,
				IsLoad: true},
		},
	}
}

// manyGateways returns the settings of one of 60 gateways, with load reports in probes, so
// that engines share a thread limit.
func manyGateways() Settings {
	s := oneGateway()
	s.GatewayCount = 60
	s.CanProbe = true
	s.LoadReportsInProbes = true
	s.ProgressIntervalMS = 500
	return s
}

// engines returns entries of the endpoint list with these IDs, otherwise zero.
func engines(ids ...string) (list []EngineInfo) {
	for _, id := range ids {
		list = append(list, EngineInfo{ID: id})
	}
	return list
}

// scenario is a gateway whose actions a ruleChecker checks, with a simulated clock.
type scenario struct {
	*ruleChecker
	gateway *Gateway
	nowMS   float64
	timers  []float64 // due times of sweeps
	starts  []Action  // all StartAttempt actions so far
	finals  []Action  // all RejectRequest and FailRequest actions so far
	actions []Action  // all actions so far
}

func newScenario(t *testing.T, s Settings, engines ...EngineInfo) *scenario {
	tr := &scenario{ruleChecker: newRuleChecker(t, s), gateway: New(s, 1), nowMS: 1000}
	tr.handle(Event{Kind: EndpointSnapshot, Engines: engines})
	return tr
}

// handle passes an event to the gateway, checks the actions and returns them.
func (tr *scenario) handle(ev Event) []Action {
	tr.t.Helper()
	tr.observe(tr.nowMS, ev)
	actions := tr.gateway.Handle(tr.nowMS, ev)
	tr.check(tr.nowMS, actions)
	for _, a := range actions {
		tr.actions = append(tr.actions, a)
		switch a.Kind {
		case SetTimer:
			if a.Timer == SweepTimer {
				tr.timers = append(tr.timers, tr.nowMS+a.DelayMS)
			}
		case StartAttempt:
			tr.starts = append(tr.starts, a)
		case RejectRequest, FailRequest:
			tr.finals = append(tr.finals, a)
		default:
		}
	}
	return actions
}

// advance advances the clock and runs the sweeps that become due.
func (tr *scenario) advance(ms float64) {
	tr.t.Helper()
	for end := tr.nowMS + ms; ; {
		if len(tr.timers) == 0 || tr.timers[0] > end {
			tr.nowMS = end
			return
		}
		tr.nowMS, tr.timers = tr.timers[0], tr.timers[1:]
		tr.handle(Event{Kind: TimerFired, Timer: SweepTimer})
	}
}

// arrive passes a new request whose deadline is timeoutMS ahead.
func (tr *scenario) arrive(id string, class int, workMS, timeoutMS float64) []Action {
	tr.t.Helper()
	return tr.handle(Event{Kind: RequestArrived, RequestID: id, Class: class,
		DeadlineAtMS: tr.nowMS + timeoutMS, WorkMS: workMS, Key: "k"})
}

// endAttempt passes the outcome of a request's last attempt.
func (tr *scenario) endAttempt(id string, result Result) []Action {
	tr.t.Helper()
	attempts := tr.requests[id].attempts
	last := len(attempts) - 1
	return tr.handle(Event{Kind: AttemptEnded, RequestID: id, Attempt: last, Engine: attempts[last].engine,
		Result: result, ElapsedMS: tr.nowMS - attempts[last].startedAtMS, RequestDone: result == Served})
}

// answerProbes answers each probe among the actions with a load report, and returns the
// actions that this causes.
func (tr *scenario) answerProbes(actions []Action, report LoadReport) (caused []Action) {
	tr.t.Helper()
	for _, a := range actions {
		if a.Kind == ProbeEngine {
			ev := Event{Kind: ProbeEnded, Engine: a.Engine, LoadReport: &report}
			caused = append(caused, tr.handle(ev)...)
		}
	}
	return caused
}

// startedOrder returns the request IDs of the StartAttempt actions, in order.
func startedOrder(actions []Action) (ids []string) {
	for _, a := range actions {
		if a.Kind == StartAttempt {
			ids = append(ids, a.RequestID)
		}
	}
	return ids
}

// countActions returns the number of actions of a kind.
func countActions(actions []Action, kind ActionKind) (k int) {
	for _, a := range actions {
		if a.Kind == kind {
			k++
		}
	}
	return k
}

// demandMessage returns the message of a peer whose demand is workMS of secondary work and
// no requests of tenants.
func demandMessage(workMS float32) []byte {
	return binary.BigEndian.AppendUint32(nil, math.Float32bits(workMS))
}
