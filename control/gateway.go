package control

import (
	"maps"
	"math/rand/v2"
	"slices"

	"dewhill/internal/demand"
)

const (
	sweepIntervalMS = 25.0
	pauseMS         = 100.0 // a sweep later than this shows that the process was paused

	seedStream = 0x6c617069 // of the random numbers that a seed gives
)

// Gateway decides for one gateway. New returns one that is ready for use.
type Gateway struct {
	settings    Settings
	rng         *rand.Rand
	nowMS       float64
	started     bool
	startedAtMS float64
	actions     []Action // of the event in hand
	sweepDueMS  float64
	pausedAtMS  float64 // when a pause of this process was last found

	classes     []class
	engineKinds []kindState // the last stands for unknown kinds
	estimates   estimates

	// Engines.
	engines          []*engine // in the order in which they were first heard of
	engineByID       map[string]*engine
	disabledSinceMS  map[string]float64 // engines under an administrative override, listed or not
	ejectionBalance  int                // ejected engines less the others
	preferredEngines map[preferenceKey][]*engine
	nextProbeAtMS    float64

	// Requests.
	openRequests []*request // all that owe an answer or an outcome, in order of arrival
	requestByID  map[string]*request
	queue        []*request // in order of arrival
	keys         keyOrder
	nextSequence int
	retryBudget  retryBudget
	servedWeight servedWeight

	demand *demand.Ledger // of this gateway and its peers

	// Buffers that sweeps use again.
	latencyRatios []float64
	schedule      []*request
}

// New returns a gateway at its start. The seed decides what is drawn at random.
func New(s Settings, seed uint64) *Gateway {
	g := &Gateway{
		settings:         s,
		rng:              rand.New(rand.NewPCG(seed, seedStream)),
		engineByID:       map[string]*engine{},
		disabledSinceMS:  map[string]float64{},
		preferredEngines: map[preferenceKey][]*engine{},
		requestByID:      map[string]*request{},
		keys:             newKeyOrder(),
		demand:           demand.New(s.GatewayCount, len(s.Tenants), s.CanGossip),
	}
	g.settings.GatewayCount = max(1, s.GatewayCount)
	for _, kind := range append(slices.Clone(s.EngineKinds), EngineKind{}) {
		g.engineKinds = append(g.engineKinds, kindState{cores: max(1, float64(kind.Cores))})
	}
	g.classes = newClasses(s.Classes)
	g.estimates = newEstimates(s.Classes)
	return g
}

// Handle takes an event at a time of the caller's clock, which must not go
// backwards, and returns the actions to take, in order.
func (g *Gateway) Handle(nowMS float64, ev Event) []Action {
	g.nowMS = nowMS
	g.actions = nil
	if !g.started {
		g.start()
	}
	if nowMS > g.sweepDueMS+pauseMS {
		g.pausedAtMS = nowMS
	}
	if ev.Kind == GossipReceived {
		g.demand.Receive(nowMS, ev.Peer, ev.Message)
		return g.actions
	}
	g.apply(ev)
	g.startQueued()
	g.broadcastIfDue(false)
	return g.actions
}

func (g *Gateway) start() {
	g.started = true
	g.startedAtMS = g.nowMS
	g.demand.Start(g.nowMS, g.rng.Float64())
	g.setSweepTimer()
	if g.settings.PollsEndpointList {
		g.act(Action{Kind: WatchEndpoints})
	}
}

// apply updates the state by an event. Kinds that it doesn't know change nothing.
func (g *Gateway) apply(ev Event) {
	switch ev.Kind {
	case RequestArrived:
		g.handleArrival(ev)
	case AttemptEnded:
		g.handleAttemptEnd(ev)
	case StreamOpened, AttemptProgress, AttemptShortOfMemory, AttemptBlocked, AttemptAlive:
		g.handleAttemptStatus(ev)
	case ProbeEnded:
		g.handleProbeEnd(ev)
	case RequestAbandoned:
		if r := g.requestByID[ev.RequestID]; r != nil {
			r.closed = true
		}
	case ClientPresenceChanged:
		if r := g.requestByID[ev.RequestID]; r != nil {
			r.clientDisconnected = ev.ClientDisconnected
		}
	case FleetResized:
		g.demand.SetAliveGateways(ev.AliveGateways)
	case EndpointSnapshot, EndpointUpdate:
		g.updateEndpoints(ev.Engines, ev.Kind == EndpointSnapshot)
	case EndpointListFailed:
		g.retryWatch()
	case EngineDisabled:
		g.disableEngine(ev.Engine)
	case EngineEnabled:
		g.enableEngine(ev.Engine)
	case TimerFired:
		g.handleTimer(ev.Timer)
	default:
	}
}

func (g *Gateway) handleTimer(name TimerName) {
	switch name {
	case SweepTimer:
		g.sweep()
		g.setSweepTimer()
	case WatchTimer:
		g.act(Action{Kind: WatchEndpoints})
	default:
	}
}

// setSweepTimer asks for the next sweep. One that comes late shows that this
// process was paused: what it finds then is older than it looks, and nothing is
// judged by it.
func (g *Gateway) setSweepTimer() {
	g.sweepDueMS = g.nowMS + sweepIntervalMS
	g.act(Action{Kind: SetTimer, DelayMS: sweepIntervalMS, Timer: SweepTimer})
}

// wasPaused reports whether a pause of this process has just been found.
func (g *Gateway) wasPaused() bool { return g.pausedAtMS == g.nowMS }

// sweep does what no event asks for.
func (g *Gateway) sweep() {
	g.demand.Decay(sweepIntervalMS)
	g.broadcastIfDue(true)
	g.updateRelativeSpeeds()
	for i := range g.classes {
		g.classes[i].startSweep()
	}
	for _, e := range g.engines {
		e.health.unresponsiveDashboards = 0
		e.limit.dashboards.update(g.nowMS)
		if g.nowMS-e.limit.interval.startedAtMS >= maxIntervalMS {
			g.closeControlInterval(e)
		}
	}
	maps.DeleteFunc(g.keys.settling, func(_ string, s keySettling) bool { return s.untilMS < g.nowMS })
	g.expireRetryBudget()
	g.openRequests = slices.DeleteFunc(g.openRequests, func(r *request) bool { return !g.supervise(r) })
	g.servedWeight.update()
	g.shedQueue()
	g.shedOpenRequests()
}

func (g *Gateway) act(a Action) { g.actions = append(g.actions, a) }

func (g *Gateway) log(entry LogEntry) { g.act(Action{Kind: WriteLog, Log: entry}) }
