package control

import (
	"encoding/binary"
	"math"
	"testing"
)

// oneGateway returns the settings of a single gateway: engines of 8 cores, a
// dashboard class, a report class and an ordered load.
func oneGateway() Settings {
	s := twoEngineKinds()
	s.GatewayCount = 1
	s.Classes[1].EngineKinds = nil
	return s
}

// twoEngineKinds returns settings with a dashboard class, a report class that is
// restricted to one kind of engine, and an ordered load.
func twoEngineKinds() Settings {
	return Settings{
		GatewayCount: 2, TickMS: 5, ResponseGraceMS: 20, DrainGraceMS: 500, MaxAttempts: 4, CanCancel: true,
		OverloadMultiple: 2, OverloadWindowMS: 1000, SlowStartInitialFraction: 0.4, SlowStartWindowMS: 10000, KeySettleMS: 400,
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

// manyGateways returns the settings of many gateways on few engines, whose load
// reports come by probes.
func manyGateways() Settings {
	s := oneGateway()
	s.GatewayCount = 60
	s.CanProbe = true
	s.LoadReportsInProbes = true
	s.ProgressIntervalMS = 500
	return s
}

func engines(ids ...string) (list []EngineInfo) {
	for _, id := range ids {
		list = append(list, EngineInfo{ID: id})
	}
	return list
}

// scenario is a gateway under a rule checker.
type scenario struct {
	*ruleChecker
	gateway *Gateway
	nowMS   float64
	timers  []float64
	starts  []Action // all so far
	finals  []Action
	actions []Action
}

func newScenario(t *testing.T, s Settings, engines ...EngineInfo) *scenario {
	tr := &scenario{ruleChecker: newRuleChecker(t, s), gateway: New(s, 1), nowMS: 1000}
	tr.handle(Event{Kind: EndpointSnapshot, Engines: engines})
	return tr
}

// handle hands over an event and checks the actions, which it returns.
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

// advance lets time pass, with the sweeps that are due.
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

// arrive hands over a request with a deadline so many milliseconds ahead.
func (tr *scenario) arrive(id string, class int, work, ms float64) []Action {
	tr.t.Helper()
	return tr.handle(Event{Kind: RequestArrived, RequestID: id, Class: class, DeadlineAtMS: tr.nowMS + ms,
		WorkMS: work, Key: "k"})
}

// endAttempt hands over the outcome of a request's last attempt.
func (tr *scenario) endAttempt(id string, res Result) []Action {
	tr.t.Helper()
	b := tr.requests[id]
	i := len(b.attempts) - 1
	return tr.handle(Event{Kind: AttemptEnded, RequestID: id, Attempt: i, Engine: b.attempts[i].engine, Result: res,
		ElapsedMS: tr.nowMS - b.attempts[i].startedAtMS, RequestDone: res == Served})
}

// answerProbes hands over a load report of each engine that the actions probe, and
// returns the actions that follow.
func (tr *scenario) answerProbes(actions []Action, rep LoadReport) (sent []Action) {
	tr.t.Helper()
	for _, a := range actions {
		if a.Kind == ProbeEngine {
			sent = append(sent, tr.handle(Event{Kind: ProbeEnded, Engine: a.Engine, LoadReport: &rep})...)
		}
	}
	return sent
}

// startedOrder lists the requests of the attempts, in order.
func startedOrder(actions []Action) (ids []string) {
	for _, a := range actions {
		if a.Kind == StartAttempt {
			ids = append(ids, a.RequestID)
		}
	}
	return ids
}

func countActions(actions []Action, kind ActionKind) (k int) {
	for _, a := range actions {
		if a.Kind == kind {
			k++
		}
	}
	return k
}

// demandMessage returns the message of a peer with so much secondary work.
func demandMessage(work float32) []byte {
	return binary.BigEndian.AppendUint32(nil, math.Float32bits(work))
}
