package control

import "math"

const (
	minSampleWeight = 0.05 // of a new sample in a running mean: about the last 20 samples count

	initialSlowdown  = 1.5 // counts as the first sample
	initialDeviation = 0.4 // counts as the first sample
	maxSampleFactor  = 4.0 // a slowdown sample is limited to this multiple of the mean

	// Limits on a sample of a class's estimate bias.
	minEstimateBias = 0.1
	maxEstimateBias = 10

	largeWorkFraction = 0.45 // a large request takes this fraction of its objective on all its threads

	// An attempt past its expected duration is expected to run for another
	// overrunFraction of the excess, and any attempt for at least
	// minRemainingFraction of its expected duration.
	overrunFraction      = 0.5
	minRemainingFraction = 0.2
)

// runningMean is the arithmetic mean of the first samples, then an exponentially
// weighted moving average.
type runningMean struct {
	value float64
	count float64
}

func (m *runningMean) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(minSampleWeight, 1/m.count)
}

// estimates are the running estimates over all requests and engines.
type estimates struct {
	dashboardLatencyMS  runningMean
	slowdown            runningMean // thread time of secondary attempts divided by their work
	slowdownDeviation   runningMean // mean deviation from slowdown, as a fraction of it
	totalAttemptMS      float64     // sum of the durations of attempts
	totalThreadMS       float64     // sum of their thread times
	shortestObjectiveMS float64     // of all classes except loads
	largestWorkMS       float64     // largest work of a large request among the classes
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
	// The value must be finite also if all classes are loads. The controller never moves then,
	// as there are no dashboards.
	est.shortestObjectiveMS = min(objectiveMS, maxIntervalMS)
	return est
}

// recordAttempt adds the duration and thread time of an attempt to the totals.
func (est *estimates) recordAttempt(elapsedMS float64, threads int) {
	est.totalAttemptMS += elapsedMS
	est.totalThreadMS += elapsedMS * float64(threads)
}

// threadsPerRequest returns the mean number of threads of a request in flight.
func (est *estimates) threadsPerRequest() float64 {
	return max(1, est.totalThreadMS/max(1, est.totalAttemptMS))
}

// recordSecondaryAttempt adds the duration of an attempt of secondary work to the
// estimates.
func (est *estimates) recordSecondaryAttempt(elapsedMS, workMS float64, threads int) {
	slowdown := max(1, est.slowdown.value)
	sample := min(elapsedMS*float64(threads)/workMS, maxSampleFactor*slowdown)
	est.slowdownDeviation.add(min(1, math.Abs(sample/slowdown-1)))
	est.slowdown.add(sample)
}

// averageWorkMS returns the mean work of the request's class, or the class's latency
// objective while there is no sample.
func (r *request) averageWorkMS() float64 {
	if r.class.averageWorkMS.count > 0 {
		return r.class.averageWorkMS.value
	}
	return r.class.LatencyObjectiveMS
}

// workMS returns a request's work: its estimate, corrected by the estimate bias of its
// class, or the mean work of the class if it has no estimate.
func (g *Gateway) workMS(r *request) float64 {
	if r.estimatedWorkMS > 0 {
		return r.estimatedWorkMS * r.class.estimateBias.value
	}
	return r.averageWorkMS()
}

// uncontendedDurationMS returns the duration of an attempt on an otherwise idle engine.
func (g *Gateway) uncontendedDurationMS(r *request) float64 {
	return g.workMS(r) / float64(r.class.Threads)
}

// expectedDurationMS returns the expected duration of an attempt under the current load.
func (g *Gateway) expectedDurationMS(r *request) float64 {
	return g.uncontendedDurationMS(r) * max(1, g.estimates.slowdown.value)
}

// expectedRemainingMS returns how much longer an attempt of age ageMS is expected to run.
func expectedRemainingMS(ageMS, expectedMS float64) float64 {
	return max(expectedMS-ageMS, overrunFraction*(ageMS-expectedMS), minRemainingFraction*expectedMS)
}

// objectiveAtMS returns the time after which a response earns only the late weight.
func (g *Gateway) objectiveAtMS(r *request) float64 {
	return min(r.deadlineAtMS,
		r.arrivedAtMS+r.class.LatencyObjectiveMS+r.class.ObjectiveSlope*g.uncontendedDurationMS(r))
}

// updateEstimates updates the estimates of the request's class and engine from the
// outcome of an attempt. The duration of an attempt that was blocked by a load reflects
// the load and not the engine, and the duration of an attempt whose end was delayed by
// a pause of this gateway is meaningless: neither counts.
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
	// Cancelled attempts count: without them an overloaded fleet would look fast, the
	// expected durations would shrink, and more and more attempts would be cancelled.
	if !a.blockedByLoad && (ev.Result == Served || a.cancelled) && workMS > 0 {
		g.estimates.recordSecondaryAttempt(ev.ElapsedMS, workMS, r.class.Threads)
	}
}

// updateFromDashboard records the latency of a dashboard. A dashboard without a
// response counts with at least its latency objective: otherwise a dead engine would
// look fast.
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
