package control

import "math"

// kindState is the state that the engines of one kind share.
type kindState struct {
	cores              float64
	lightLoadLatencyMS runningMean // of dashboards on lightly loaded engines
	limit              threadLimit // of all engines of the kind, where they share one limit
}

// engine is the state of one engine at this gateway.
type engine struct {
	EngineInfo
	cores     float64
	gossipTag uint32 // hash of its ID, which identifies it in messages to peers

	listing        engineListing
	load           engineLoad
	health         engineHealth
	affinity       engineAffinity
	slowStartSends []sentWork // sent within the last overload window during its slow start

	limit              *threadLimit // of this engine alone, or of all engines of its kind
	sharesThreadLimit  bool         // limit is that of its kind
	lightLoadLatencyMS *runningMean // of its kind
}

// engineListing is the state of an engine according to the endpoint list and the overrides.
type engineListing struct {
	present         bool // in the endpoint list
	available       bool // present, not draining, and not disabled
	lastPresentAtMS float64
}

// engineLoad is the load on an engine.
type engineLoad struct {
	dashboardThreads int   // of this gateway's attempts
	secondaryThreads int   // of this gateway's attempts
	datasetsLoading  []int // data sets of this gateway's loads in flight

	reportedThreads    float64 // of all gateways, from the last load report
	reportedAtMS       float64
	threadsSinceReport float64 // of the attempts that this gateway started after that report
}

// threads returns the number of threads of this gateway's attempts in flight.
func (l *engineLoad) threads() int { return l.dashboardThreads + l.secondaryThreads }

// newEngine returns the initial state of an engine that is new in the endpoint list.
func (g *Gateway) newEngine(info EngineInfo) *engine {
	kind := &g.engineKinds[len(g.settings.EngineKinds)]
	if info.Kind >= 0 && info.Kind < len(g.settings.EngineKinds) {
		kind = &g.engineKinds[info.Kind]
	}
	e := &engine{
		EngineInfo:         info,
		cores:              kind.cores,
		gossipTag:          uint32(hash(info.ID, 0)),
		load:               engineLoad{reportedAtMS: math.Inf(-1)},
		health:             engineHealth{relativeSpeed: 1},
		affinity:           g.newAffinity(info, kind.cores),
		limit:              &threadLimit{},
		lightLoadLatencyMS: &kind.lightLoadLatencyMS,
	}
	g.initThreadLimit(e, kind)
	return e
}

// addThreads adds the threads of a started attempt to those in flight of its class and
// engine. When an attempt ends, the caller passes the negative number.
func (e *engine) addThreads(c *class, threads int) {
	c.threadsInFlight += threads
	if c.isDashboard {
		e.load.dashboardThreads += threads
		e.limit.dashboards.threadsInFlight += threads
		return
	}
	e.load.secondaryThreads += threads
}
