package control

import "math"

const (
	minSampleWeight = 0.05 // least weight of a new sample in a running mean: the last 20 or so count

	initialSlowdown  = 1.5 // until learned
	initialDeviation = 0.4
	maxSampleFactor  = 4.0 // times the mean slowdown that a sample counts at most

	minEstimateBias = 0.1
	maxEstimateBias = 10

	largeWorkFraction = 0.45 // part of its objective that a large request takes on all its threads

	overrunFraction      = 0.5 // part of its delay so far that an overdue attempt is expected to go on
	minRemainingFraction = 0.2 // part of its expected duration that an attempt has left at the least
)

// runningMean is a mean in which the latest samples count most.
type runningMean struct {
	value float64
	count float64
}

func (m *runningMean) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(minSampleWeight, 1/m.count)
}

// estimates is what was learned of all requests and engines together.
type estimates struct {
	dashboardLatencyMS  runningMean
	slowdown            runningMean // thread time of secondary attempts over their work
	slowdownDeviation   runningMean // mean deviation from it, as a part
	totalAttemptMS      float64     // sum of the durations of attempts
	totalThreadMS       float64     // sum of their thread times
	shortestObjectiveMS float64     // of dashboards
	largestWorkMS       float64     // of a large request, by the settings
}

func newEstimates(classes []Class) estimates {
	est := estimates{
		slowdown:          runningMean{initialSlowdown, 1},
		slowdownDeviation: runningMean{initialDeviation, 1},
	}
	objectiveMS := math.Inf(1)
	for _, c := range classes {
		if !c.IsLoad {
			objectiveMS = min(objectiveMS, c.LatencyObjectiveMS)
		}
		largeWorkMS := largeWorkFraction * c.LatencyObjectiveMS * float64(max(1, c.Threads))
		est.largestWorkMS = max(est.largestWorkMS, largeWorkMS)
	}
	// Finite also without dashboards, where the controller never moves.
	est.shortestObjectiveMS = min(objectiveMS, maxIntervalMS)
	return est
}

// recordAttempt adds the duration of an attempt.
func (est *estimates) recordAttempt(elapsedMS float64, threads int) {
	est.totalAttemptMS += elapsedMS
	est.totalThreadMS += elapsedMS * float64(threads)
}

// threadsPerRequest is the mean number of threads of a request in flight.
func (est *estimates) threadsPerRequest() float64 {
	return max(1, est.totalThreadMS/max(1, est.totalAttemptMS))
}

// recordSecondaryAttempt learns from the duration of an attempt of secondary work.
func (est *estimates) recordSecondaryAttempt(elapsedMS, workMS float64, threads int) {
	slowdown := max(1, est.slowdown.value)
	sample := min(elapsedMS*float64(threads)/workMS, maxSampleFactor*slowdown)
	est.slowdownDeviation.add(min(1, math.Abs(sample/slowdown-1)))
	est.slowdown.add(sample)
}

// averageWorkMS is the usual work of the request's class, its objective while that
// is unknown.
func (r *request) averageWorkMS() float64 {
	if r.class.averageWorkMS.count > 0 {
		return r.class.averageWorkMS.value
	}
	return r.class.LatencyObjectiveMS
}

// workMS is a request's work: its estimate, corrected by its class's bias.
func (g *Gateway) workMS(r *request) float64 {
	if r.estimatedWorkMS > 0 {
		return r.estimatedWorkMS * r.class.estimateBias.value
	}
	return r.averageWorkMS()
}

// uncontendedDurationMS is how long an attempt takes with an engine to itself.
func (g *Gateway) uncontendedDurationMS(r *request) float64 {
	return g.workMS(r) / float64(r.class.Threads)
}

// expectedDurationMS is how long an attempt is expected to take.
func (g *Gateway) expectedDurationMS(r *request) float64 {
	return g.uncontendedDurationMS(r) * max(1, g.estimates.slowdown.value)
}

// expectedRemainingMS is how much longer an attempt is expected to take.
func expectedRemainingMS(ageMS, expectedMS float64) float64 {
	return max(expectedMS-ageMS, overrunFraction*(ageMS-expectedMS), minRemainingFraction*expectedMS)
}

// objectiveAtMS is the time after which a response has its late weight only.
func (g *Gateway) objectiveAtMS(r *request) float64 {
	return min(r.deadlineAtMS,
		r.arrivedAtMS+r.class.LatencyObjectiveMS+r.class.ObjectiveSlope*g.uncontendedDurationMS(r))
}

// updateEstimates learns from an outcome about its class and its engine. An attempt
// that was blocked by a load shows what the load does, not its engine, and one that
// ended in a pause of this gateway shows nothing.
func (g *Gateway) updateEstimates(r *request, a *attempt, ev Event) {
	workMS := g.workMS(r)
	if ev.Result == Served && ev.WorkMS > 0 && r.estimatedWorkMS > 0 {
		r.class.estimateBias.add(min(max(ev.WorkMS/r.estimatedWorkMS, minEstimateBias), maxEstimateBias))
	}
	if g.wasPaused() {
		return
	}
	if r.class.isDashboard {
		g.updateFromDashboard(r, a, ev)
		return
	}
	// Cancelled attempts count: without them a full fleet would look fast, and ever
	// more of its attempts would be cancelled.
	if !a.blockedByLoad && (ev.Result == Served || a.cancelled) && workMS > 0 {
		g.estimates.recordSecondaryAttempt(ev.ElapsedMS, workMS, r.class.Threads)
	}
}

// updateFromDashboard records the latency of a dashboard. One without a response
// counts as its objective at least: without it a dead engine would look fast.
func (g *Gateway) updateFromDashboard(r *request, a *attempt, ev Event) {
	if ev.Result == Served {
		a.engine.limit.dashboards.threadsDone += r.class.Threads
	}
	if a.blockedByLoad {
		return
	}
	switch ev.Result {
	case Served:
		g.recordDashboardLatency(r, a, ev.ElapsedMS)
	case TimedOut, Cancelled, Reset:
		g.recordDashboardLatency(r, a, max(ev.ElapsedMS, r.class.LatencyObjectiveMS))
	case Errored, Rejected, ConnectFailed, NotSent:
	default:
	}
}
