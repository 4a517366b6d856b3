package control

import (
	"maps"
	"math/rand/v2"
	"slices"

	"dewhill/internal/demand"
)

const (
	sweepIntervalMS  = 25.0
	pauseThresholdMS = 100.0 // a sweep overdue by more than this shows that the process was paused

	rngStream = 0x6c617069 // second seed word of the random number generator
)

// Gateway is the state machine of one gateway. Use New to create one.
type Gateway struct {
	settings          Settings
	rng               *rand.Rand
	nowMS             float64
	started           bool
	startedAtMS       float64
	actions           []Action // caused by the current event
	sweepDueMS        float64
	pauseDetectedAtMS float64 // when a pause of this process was last detected

	classes     []class
	engineKinds []kindState // the last entry is for unknown kinds
	estimates   estimates

	// Engines.
	engines          []*engine // in the order in which they were first listed
	engineByID       map[string]*engine
	disabledSinceMS  map[string]float64 // engines disabled by an administrative override, listed or not
	ejectionBalance  int                // ejected available engines minus the other available engines
	preferredEngines map[preferenceKey][]*engine
	nextProbeAtMS    float64

	// Requests.
	openRequests []*request // without a final response or with an attempt in flight, in order of arrival
	requestByID  map[string]*request
	queue        []*request // waiting for an engine, in order of arrival
	keys         keyOrder
	nextSequence int
	retryBudget  retryBudget
	servedWeight servedWeight

	demand *demand.Tracker // demand and loads of this gateway and its peers

	// Buffers that are reused by each sweep.
	latencyRatios []float64
	schedule      []*request
}

// New returns a gateway that has handled no event. All random choices follow from the
// seed.
func New(s Settings, seed uint64) *Gateway {
	g := &Gateway{
		settings:         s,
		rng:              rand.New(rand.NewPCG(seed, rngStream)),
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

// Handle processes an event and returns the actions to carry out, in order. nowMS is
// the time of the caller's clock, which must not go backwards.
func (g *Gateway) Handle(nowMS float64, ev Event) []Action {
	g.nowMS = nowMS
	g.actions = nil
	if !g.started {
		g.start()
	}
	if nowMS > g.sweepDueMS+pauseThresholdMS {
		g.pauseDetectedAtMS = nowMS
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
		g.emit(Action{Kind: WatchEndpoints})
	}
}

// apply updates the state by an event. An event of an unknown kind has no effect.
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
		g.emit(Action{Kind: WatchEndpoints})
	default:
	}
}

// setSweepTimer schedules the next sweep.
func (g *Gateway) setSweepTimer() {
	g.sweepDueMS = g.nowMS + sweepIntervalMS
	g.emit(Action{Kind: SetTimer, DelayMS: sweepIntervalMS, Timer: SweepTimer})
}

// wasPaused reports whether the current event revealed a pause of this process, as a sweep
// was long overdue. Replies may then have waited unread, and engines look slower than they
// are. The event therefore adds no latencies or slowdowns to the estimates, cancels no
// attempt as late or unresponsive, and ejects no engine as unresponsive.
func (g *Gateway) wasPaused() bool { return g.pauseDetectedAtMS == g.nowMS }

// sweep does the periodic work: it updates averages, closes control intervals, checks
// the open requests and sheds load.
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

// emit appends an action to those that Handle returns.
func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Gateway) log(entry LogEntry) { g.emit(Action{Kind: WriteLog, Log: entry}) }
