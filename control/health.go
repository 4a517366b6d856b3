package control

import (
	"math"
	"slices"
)

const (
	slowBelowSpeed  = 0.6    // against the median engine
	minSpeedSamples = 5      // dashboards of an engine by which it is judged
	minSpeedEngines = 3      // that must be known for a median
	speedDecayMS    = 3000.0 // in which a judgement without new responses fades
	failuresToEject = 2      // in a row, or unresponsive dashboards at once
	minEjectionMS   = 500.0  // at first, doubling with each failed recovery probe
	maxEjectionMS   = 5000.0

	// A dashboard in flight is doubted after this part of its objective and this many
	// times its work, and after timeoutLatencyMultiple times the average dashboard latency.
	timeoutObjectiveFraction = 0.5
	timeoutWorkMultiple      = 2.0
	timeoutLatencyMultiple   = 4.0
)

// engineHealth is how an engine answers.
type engineHealth struct {
	latencyMS         runningMean // of dashboards
	workMS            runningMean // of the same
	lastActivityAtMS  float64     // last sign of life
	lastDashboardAtMS float64     // last outcome of a dashboard

	consecutiveFailures    int
	lastFailureAtMS        float64
	unresponsiveDashboards int     // in flight without a sign of life, in this sweep
	relativeSpeed          float64 // against the other engines, at most 1, by the last sweep

	ejected        bool // until it passes a recovery probe
	ejectedUntilMS float64
	ejections      int // since it last was well
}

// reset forgets what was learned of a process that has been replaced.
func (h *engineHealth) reset() {
	h.consecutiveFailures = 0
	h.ejections = 0
	h.ejected = false
	h.ejectedUntilMS = 0
	h.latencyMS = runningMean{}
	h.workMS = runningMean{}
}

// hasEnoughSamples reports whether enough dashboards were answered to judge the speed.
func (h *engineHealth) hasEnoughSamples() bool {
	return h.latencyMS.count >= minSpeedSamples && h.workMS.value > 0
}

// updateRelativeSpeeds judges each engine's speed against the median: 1 unless it
// is slow. When all are slow, none is. It finds slow engines and noisy neighbors
// that the endpoint list knows nothing of.
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
			fading := math.Exp(-max(0, g.nowMS-e.health.lastDashboardAtMS) / speedDecayMS)
			e.health.relativeSpeed = 1 - (1-speed)*fading
		}
	}
}

// isEjected reports whether the engine gets nothing because of its failures. When
// most engines are ejected none is: then the fault is elsewhere.
func (g *Gateway) isEjected(e *engine) bool { return e.health.ejected && g.ejectionBalance <= 0 }

// eject ejects an engine for a time, or for a longer one if it was ejected before.
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

// recordOutcome records the end of an attempt or a probe for its engine.
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
	case Errored: // judged once another engine has served the request
		h.lastActivityAtMS = g.nowMS
		return
	case TimedOut, Cancelled, NotSent:
	default:
	}
	if h.ejected && result != Cancelled && result != NotSent {
		g.eject(e, FailedRecoveryProbe)
	}
}

// recordSuccess ends an ejection, or forgets the earlier ones.
func (g *Gateway) recordSuccess(e *engine) {
	if !e.health.ejected {
		e.health.ejections = 0
		return
	}
	e.health.ejected = false
	g.recountEngines()
	g.log(EngineRecovered{Engine: e.ID})
}

// recordFailure counts a failure. A connection that breaks ends all attempts on
// it: these are one failure.
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

// isUnresponsive reports whether an engine has given no sign of life since an
// attempt started, and this gateway was there to see one.
func (g *Gateway) isUnresponsive(a *attempt) bool {
	return !g.wasPaused() && a.engine.health.lastActivityAtMS < a.startedAtMS
}

// dashboardTimeoutMS is how long a dashboard may be in flight undoubted. It grows
// when all engines are slow, as retries would amplify the load then.
func (g *Gateway) dashboardTimeoutMS(r *request) float64 {
	return max(timeoutObjectiveFraction*r.class.LatencyObjectiveMS+timeoutWorkMultiple*g.workMS(r),
		timeoutLatencyMultiple*g.estimates.dashboardLatencyMS.value)
}
