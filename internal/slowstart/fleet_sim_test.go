package slowstart_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"dewhill/control"
	"dewhill/internal/subset"
)

const (
	quickWorkMS  = 150.0
	reportWorkMS = 3000.0

	initialFraction   = 0.35
	slowStartWindowMS = 9000.0
	overloadWindowMS  = 1500.0
	overloadMultiple  = 4.0
	coreEfficiency    = 0.85 // milliseconds of work that a core does in a millisecond
	stepMS            = 50.0
	lastChangeMS      = 3000.0
)

// endpointChangesMS are the times at which engines are added to the endpoint list.
var endpointChangesMS = []float64{0, 1000, 2200, lastChangeMS}

// coresByKind is the number of cores of each kind of engine.
var coresByKind = []int{8, 16}

// requestRates is the probability, for each class, that a gateway receives a request in a
// step.
var requestRates = []float64{0.5, 0.24}

// sentWork is work that was sent to an engine during its slow start.
type sentWork struct{ atMS, workMS float64 }

// simEngine is an engine and the work that was sent to it during its slow start.
type simEngine struct {
	startedAtMS float64
	cores       float64
	sends       []sentWork
}

// capacityMS returns the work that the engine does in a time span at a fraction of its
// capacity.
func (e *simEngine) capacityMS(spanMS, fraction float64) float64 {
	return coreEfficiency * e.cores * fraction * spanMS
}

// simGateway is one gateway with its attempts in flight.
type simGateway struct {
	decisions      *control.Gateway
	rng            *rand.Rand
	notifiedAtMS   []float64 // when it receives each change of the endpoint list
	appliedChanges int
	requests       int
	inFlight       []simAttempt
}

type simAttempt struct {
	requestID, engine string
	endsAtMS          float64
}

// workOf returns the work of a request by the first letter of its ID.
func workOf(requestID string) float64 {
	if requestID[0] == 'r' {
		return reportWorkMS
	}
	return quickWorkMS
}

// fleetSim simulates a fleet whose engines are added in steps. Gateways are notified of a
// step at different times, receive more requests than the engines have capacity for, and
// one in five restarts without its state. If divided is false, each gateway is configured
// as if it were the only one, and the budgets are not divided.
type fleetSim struct {
	divided  bool
	gateways []*simGateway
	engines  map[string]*simEngine
	lists    [][]control.EngineInfo // the endpoint list after each change
	nowMS    float64
	totalMS  float64 // work of all requests
	requests int
}

func newFleetSim(gatewayCount int, divided bool) *fleetSim {
	sim := &fleetSim{divided: divided, engines: map[string]*simEngine{}}
	var list []control.EngineInfo
	for i, atMS := range endpointChangesMS {
		added := max(2, gatewayCount/20)
		if i == 0 {
			added = max(4, gatewayCount/10)
		}
		for range added {
			info := control.EngineInfo{
				ID: fmt.Sprintf("s-%08x", uint32(len(list))*2654435761), Kind: len(list) % 2, StartedAtMS: atMS,
			}
			sim.engines[info.ID] = &simEngine{startedAtMS: atMS, cores: float64(coresByKind[info.Kind])}
			list = append(list, info)
		}
		sim.lists = append(sim.lists, slices.Clone(list))
	}
	sim.gateways = make([]*simGateway, gatewayCount)
	for self := range sim.gateways {
		gateway := &simGateway{
			decisions: control.New(sim.settings(self), uint64(self)),
			rng:       rand.New(rand.NewPCG(uint64(self), 7)),
		}
		for _, atMS := range endpointChangesMS {
			gateway.notifiedAtMS = append(gateway.notifiedAtMS, atMS+gateway.rng.Float64()*min(atMS, 900))
		}
		sim.gateways[self] = gateway
	}
	return sim
}

func (sim *fleetSim) settings(self int) control.Settings {
	settings := control.Settings{
		GatewayIndex: self, GatewayCount: len(sim.gateways), TickMS: 5,
		OverloadMultiple: overloadMultiple, OverloadWindowMS: overloadWindowMS,
		SlowStartInitialFraction: initialFraction, SlowStartWindowMS: slowStartWindowMS,
		DrainGraceMS: 500, CanCancel: true, MaxAttempts: 5,
		Classes: []control.Class{
			{LatencyObjectiveMS: 1000, ObjectiveSlope: 2, DeadlineMS: 5000, PriorityWeight: 1, Threads: 1},
			{LatencyObjectiveMS: 3000, ObjectiveSlope: 2.5, DeadlineMS: 15000, PriorityWeight: 5, Threads: 3},
		},
	}
	for _, cores := range coresByKind {
		settings.EngineKinds = append(settings.EngineKinds, control.EngineKind{Cores: cores})
	}
	if !sim.divided {
		settings.GatewayCount, settings.GatewayIndex = 1, 0
	}
	return settings
}

// snapshot returns the endpoint list after a change, as a gateway receives it.
func (sim *fleetSim) snapshot(self, change int) control.Event {
	list := slices.Clone(sim.lists[change])
	if !sim.divided {
		return control.Event{Kind: control.EndpointSnapshot, Engines: list}
	}
	var candidates []subset.Engine
	for _, info := range list {
		cores := float64(coresByKind[info.Kind])
		candidates = append(candidates, subset.Engine{ID: info.ID, Usable: true, Cores: cores})
	}
	plan := subset.Plan{GatewayIndex: self, GatewayCount: len(sim.gateways), Size: subset.AutoSize, MaxThreads: 3}
	for i, member := range plan.Select(candidates) {
		list[i].GatewayCount = member.GatewayCount
		list[i].GatewayIndex = member.GatewayIndex
		list[i].Draining = !member.Selected
	}
	return control.Event{Kind: control.EndpointSnapshot, Engines: list}
}

// handle passes an event to a gateway and starts the attempts that the gateway returns.
func (sim *fleetSim) handle(gateway *simGateway, event control.Event) {
	for _, action := range gateway.decisions.Handle(sim.nowMS, event) {
		if action.Kind != control.StartAttempt {
			continue
		}
		workMS := workOf(action.RequestID)
		engine := sim.engines[action.Engine]
		if engine.startedAtMS > 0 && sim.nowMS < engine.startedAtMS+slowStartWindowMS {
			engine.sends = append(engine.sends, sentWork{sim.nowMS, workMS})
		}
		gateway.inFlight = append(gateway.inFlight, simAttempt{action.RequestID, action.Engine, sim.nowMS + workMS/3})
	}
}

// run simulates until the slow start of the last engines has ended.
func (sim *fleetSim) run() {
	for ; sim.nowMS < lastChangeMS+slowStartWindowMS; sim.nowMS += stepMS {
		for self := range sim.gateways {
			sim.step(self)
		}
	}
}

func (sim *fleetSim) step(self int) {
	gateway := sim.gateways[self]
	// The gateway restarts, and receives the endpoint list again.
	if sim.nowMS > 2000 && self%5 == 1 && gateway.rng.IntN(100) == 0 {
		gateway.decisions = control.New(sim.settings(self), gateway.rng.Uint64())
		gateway.inFlight = nil
		sim.handle(gateway, sim.snapshot(self, gateway.appliedChanges-1))
	}
	for gateway.appliedChanges < len(sim.lists) && gateway.notifiedAtMS[gateway.appliedChanges] <= sim.nowMS {
		gateway.appliedChanges++
		sim.handle(gateway, sim.snapshot(self, gateway.appliedChanges-1))
	}
	sim.endAttempts(gateway)
	sim.receiveRequests(self, gateway)
	sim.handle(gateway, control.Event{Kind: control.TimerFired, Timer: control.SweepTimer})
}

func (sim *fleetSim) endAttempts(gateway *simGateway) {
	for _, ended := range slices.Clone(gateway.inFlight) {
		if ended.endsAtMS > sim.nowMS {
			continue
		}
		gateway.inFlight = slices.DeleteFunc(gateway.inFlight, func(a simAttempt) bool { return a == ended })
		workMS := workOf(ended.requestID)
		sim.handle(gateway, control.Event{
			Kind: control.AttemptEnded, RequestID: ended.requestID, Engine: ended.engine, Result: control.Served,
			RequestDone: true, ElapsedMS: workMS / 3, WorkMS: workMS,
		})
	}
}

func (sim *fleetSim) receiveRequests(self int, gateway *simGateway) {
	for class, rate := range requestRates {
		if gateway.rng.Float64() >= rate {
			continue
		}
		gateway.requests++
		sim.requests++
		prefix := [...]string{"q", "r"}[class]
		id := fmt.Sprint(prefix, self, "-", gateway.requests)
		workMS := workOf(id)
		sim.totalMS += workMS
		sim.handle(gateway, control.Event{
			Kind: control.RequestArrived, RequestID: id, Class: class, WorkMS: workMS, DeadlineAtMS: sim.nowMS + 5000,
		})
	}
}

// worstExcess returns the maximum, over all engines and windows, of the work sent beyond
// the limit, in requests of mean work. The limit is the engine's overload threshold n
// plus a tolerance of 2*sqrt(n)+2 for random variation.
func (sim *fleetSim) worstExcess() float64 {
	worst := math.Inf(-1)
	meanWorkMS := sim.totalMS / float64(sim.requests)
	for _, engine := range sim.engines {
		slices.SortFunc(engine.sends, func(a, b sentWork) int { return cmp.Compare(a.atMS, b.atMS) })
		first := 0
		sumMS := 0.0
		for _, send := range engine.sends {
			sumMS += send.workMS
			for engine.sends[first].atMS <= send.atMS-overloadWindowMS {
				sumMS -= engine.sends[first].workMS
				first++
			}
			// A lower bound of the engine's capacity in the middle of the window.
			ageMS := max(0, send.atMS-overloadWindowMS/2-engine.startedAtMS)
			fraction := initialFraction + (1-initialFraction)*ageMS/slowStartWindowMS
			n := overloadMultiple * engine.capacityMS(overloadWindowMS, fraction) / meanWorkMS
			worst = max(worst, sumMS/meanWorkMS-n-2*math.Sqrt(n)-2)
		}
	}
	return worst
}

// usedFraction returns the work sent as a fraction of the sum of the overload thresholds.
func (sim *fleetSim) usedFraction() float64 {
	sentMS := 0.0
	thresholdMS := 0.0
	for _, engine := range sim.engines {
		for _, send := range engine.sends {
			sentMS += send.workMS
		}
		if engine.startedAtMS > 0 {
			thresholdMS += overloadMultiple * engine.capacityMS(slowStartWindowMS, (1+initialFraction)/2)
		}
	}
	return sentMS / thresholdMS
}

// The work that all gateways together send to an engine in slow start stays below its
// overload threshold in every window, with 20, 30 and 300 gateways, and at least a tenth
// of the threshold is used. Gateways that do not divide the budget exceed the threshold,
// which shows that the simulation is able to detect the failure.
func TestFleetStaysUnderOverloadThreshold(t *testing.T) {
	for _, gatewayCount := range []int{20, 30, 300} {
		sim := newFleetSim(gatewayCount, true)
		sim.run()
		excess, used := sim.worstExcess(), sim.usedFraction()
		t.Logf("%d gateways: worst window %.1f requests over the limit, %.0f%% of the thresholds used",
			gatewayCount, excess, 100*used)
		if excess > 0 || used < 0.1 {
			t.Errorf("%d gateways: worst window %.1f requests over the limit, %.2f of the thresholds used",
				gatewayCount, excess, used)
		}
	}
	sim := newFleetSim(30, false)
	sim.run()
	if excess := sim.worstExcess(); excess <= 0 {
		t.Errorf("30 gateways that do not divide the budget stay %.1f requests below the limit: "+
			"the simulation has too little load to check anything", -excess)
	}
}
