package control

import (
	"math"
	"slices"
)

const (
	slowBelowSpeed  = 0.6    // an engine is slow up to this fraction of the median engine's speed
	minSpeedSamples = 5      // dashboards that must be recorded for an engine before its speed counts
	minSpeedEngines = 3      // engines with enough samples that a median needs
	speedDecayMS    = 3000.0 // time constant with which a low speed returns to 1 without new samples
	failuresToEject = 2      // consecutive failures, or unresponsive dashboards in one sweep
	minEjectionMS   = 500.0  // first ejection; each repeated ejection lasts twice as long
	maxEjectionMS   = 5000.0

	// A dashboard in flight times out after timeoutObjectiveFraction of its objective
	// plus timeoutWorkMultiple times its work, but not before timeoutLatencyMultiple
	// times the average dashboard latency.
	timeoutObjectiveFraction = 0.5
	timeoutWorkMultiple      = 2.0
	timeoutLatencyMultiple   = 4.0
)

// engineHealth holds the recent latency and failures of an engine.
type engineHealth struct {
	latencyMS         runningMean // of dashboards
	workMS            runningMean // of the same dashboards
	lastActivityAtMS  float64     // last message about an attempt, or failed connection
	lastDashboardAtMS float64     // last sample in latencyMS

	consecutiveFailures    int
	lastFailureAtMS        float64
	unresponsiveDashboards int     // timed-out dashboards on an unresponsive engine, in this sweep
	relativeSpeed          float64 // relative to the median engine, at most 1, by the last sweep

	ejected        bool // until it passes a recovery probe
	ejectedUntilMS float64
	ejections      int // since a request last succeeded while the engine was not ejected
}

// reset discards the measurements and failures of an engine that has restarted, or that is
// enabled again.
func (h *engineHealth) reset() {
	h.consecutiveFailures = 0
	h.ejections = 0
	h.ejected = false
	h.ejectedUntilMS = 0
	h.latencyMS = runningMean{}
	h.workMS = runningMean{}
}

// hasEnoughSamples reports whether enough dashboards were recorded to compute a speed.
func (h *engineHealth) hasEnoughSamples() bool {
	return h.latencyMS.count >= minSpeedSamples && h.workMS.value > 0
}

// updateRelativeSpeeds sets each engine's speed relative to the median engine: 1 unless
// the engine is slow. When all engines are similarly slow, none counts as slow. It
// detects slow engines and noisy neighbors, which the endpoint list does not show.
func (g *Gateway) updateRelativeSpeeds() {
	ratios := g.latencyRatios[:0]
	for _, e := range g.engines {
		e.health.relativeSpeed = 1
		if e.listing.available && e.health.hasEnoughSamples() {
			ratios = append(ratios, e.health.latencyMS.value/e.health.workMS.value)
		}
	}
	g.latencyRatios = ratios
	if len(ratios) < minSpeedEngines {
		return
	}
	slices.Sort(ratios)
	median := ratios[len(ratios)/2]
	for _, e := range g.engines {
		if !e.health.hasEnoughSamples() {
			continue
		}
		speed := median * e.health.workMS.value / e.health.latencyMS.value
		if speed <= slowBelowSpeed {
			weight := math.Exp(-max(0, g.nowMS-e.health.lastDashboardAtMS) / speedDecayMS)
			e.health.relativeSpeed = 1 - (1-speed)*weight
		}
	}
}

// isEjected reports whether the engine receives no requests because of its failures. When
// most engines are ejected, none is treated as ejected: the fault is elsewhere then.
func (g *Gateway) isEjected(e *engine) bool { return e.health.ejected && g.ejectionBalance <= 0 }

// eject ejects an engine, unless an ejection is still running. Each repeated ejection
// lasts twice as long, up to maxEjectionMS.
func (g *Gateway) eject(e *engine, cause EjectionCause) {
	h := &e.health
	if h.ejected && g.nowMS < h.ejectedUntilMS {
		return
	}
	h.ejected = true
	h.ejectedUntilMS = g.nowMS + min(minEjectionMS*math.Exp2(float64(h.ejections)), maxEjectionMS)
	h.ejections++
	g.recountEngines()
	g.log(EngineEjected{Engine: e.ID, DurationMS: h.ejectedUntilMS - g.nowMS, Cause: cause})
}

// recordOutcome updates an engine's health by the outcome of an attempt or a probe.
func (g *Gateway) recordOutcome(e *engine, result Result) {
	h := &e.health
	switch result {
	case Served:
		h.lastActivityAtMS = g.nowMS
		h.consecutiveFailures = 0
		g.recordSuccess(e)
	case Rejected, ConnectFailed, Reset:
		h.lastActivityAtMS = g.nowMS
		g.recordFailure(e)
	case Errored: // counts as a failure once another engine has served the request
		h.lastActivityAtMS = g.nowMS
		return
	case TimedOut, Cancelled, NotSent:
	default:
	}
	if h.ejected && result != Cancelled && result != NotSent {
		g.eject(e, FailedRecoveryProbe)
	}
}

// recordSuccess ends an ejection. If the engine is not ejected, it resets the count of
// ejections, so that the next one is short.
func (g *Gateway) recordSuccess(e *engine) {
	if !e.health.ejected {
		e.health.ejections = 0
		return
	}
	e.health.ejected = false
	g.recountEngines()
	g.log(EngineRecovered{Engine: e.ID})
}

// recordFailure counts a failure. Failures within one tick count as one, as a broken
// connection ends all attempts on it at once.
func (g *Gateway) recordFailure(e *engine) {
	h := &e.health
	if g.nowMS > h.lastFailureAtMS+g.settings.TickMS {
		h.consecutiveFailures++
		h.lastFailureAtMS = g.nowMS
	}
	if h.consecutiveFailures >= failuresToEject {
		g.eject(e, ConsecutiveFailures)
	}
}

// isUnresponsive reports whether the engine has shown no activity since the attempt
// started. In the event that reveals a pause of this gateway it returns false, as messages
// may be unread.
func (g *Gateway) isUnresponsive(a *attempt) bool {
	return !g.wasPaused() && a.engine.health.lastActivityAtMS < a.startedAtMS
}

// dashboardTimeoutMS returns how long a dashboard may be in flight before it may be
// retried or count against its engine. It grows when all engines are slow, as retries
// would amplify the overload then.
func (g *Gateway) dashboardTimeoutMS(r *request) float64 {
	return max(timeoutObjectiveFraction*r.class.LatencyObjectiveMS+timeoutWorkMultiple*g.workMS(r),
		timeoutLatencyMultiple*g.estimates.dashboardLatencyMS.value)
}
