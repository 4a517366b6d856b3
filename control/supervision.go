package control

import "math"

const (
	// Fraction of its objective that a dashboard waits for an engine before it is rejected.
	maxDashboardWaitFraction = 0.3

	// Limits on the age of an attempt, as multiples of its expected duration.
	lostResponseFactor = 8.0   // above it the response counts as lost
	minRunawayFactor   = 1.6   // above it a first attempt has a bad plan, if durations hardly vary
	maxRunawayFactor   = 3.0   // above it a first attempt has a bad plan, however much durations vary
	runawayGraceMS     = 100.0 // time by which the age must exceed each limit

	runawayDeviations     = 4   // mean deviations above the mean, as in TCP's retransmission time-out
	minRunawayRemaining   = 1.5 // expected durations that an attempt must still need for a retry to pay off
	minRemainingDivisor   = 10  // assumed minimum that remains: the expected duration divided by this
	missedStatusIntervals = 2.5 // intervals without a status report after which the response counts as lost
)

// attemptTiming is how long an attempt has been in flight and its expected duration.
type attemptTiming struct {
	ageMS      float64
	expectedMS float64
}

// supervise checks a request that is open or has attempts in flight, and reports whether
// to keep it.
func (g *Gateway) supervise(r *request) bool {
	if !r.streaming && g.deadlineIsNear(r) {
		g.endRequest(r, NearDeadline)
	} else if g.dashboardWaitedTooLong(r) {
		g.endRequest(r, NoCapacityInTime)
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.inFlight {
			continue
		}
		timing := attemptTiming{ageMS: g.nowMS - a.startedAtMS, expectedMS: g.expectedDurationMS(r)}
		g.observeAttempt(r, a, timing)
		if !r.closed && !a.cancelled && !r.streaming && g.settings.CanCancel && !g.wasPaused() {
			g.cancelIfNotWorthwhile(r, i, timing)
		}
	}
	if !r.closed || r.inFlight() > 0 {
		return true
	}
	g.unregister(r)
	return false
}

// dashboardWaitedTooLong reports whether a dashboard is still queued, as no engine can
// take it, and has used up the part of its objective that it may wait.
func (g *Gateway) dashboardWaitedTooLong(r *request) bool {
	return r.queued && r.class.isDashboard &&
		g.nowMS > r.arrivedAtMS+maxDashboardWaitFraction*r.class.LatencyObjectiveMS
}

// observeAttempt updates the state of an attempt's class and engine while the attempt is
// in flight.
func (g *Gateway) observeAttempt(r *request, a *attempt, timing attemptTiming) {
	a.blockedByLoad = a.blockedByLoad || r.class.BlockedByLoads && g.runsLoad(a.engine, r.dataset)
	if !r.class.isDashboard {
		remainingMS := max(timing.expectedMS-timing.ageMS, timing.expectedMS/minRemainingDivisor)
		r.class.remainingThreadMS += remainingMS * float64(r.class.Threads)
		r.class.runningAttempts++
		return
	}
	timeoutMS := g.dashboardTimeoutMS(r)
	if r.closed || a.blockedByLoad || !g.isUnresponsive(a) || timing.ageMS <= timeoutMS {
		return
	}
	// A single unresponsive dashboard may only have lost its response.
	health := &a.engine.health
	health.unresponsiveDashboards++
	confirmed := timing.ageMS > timeoutMS+r.class.LatencyObjectiveMS
	if confirmed || health.unresponsiveDashboards >= failuresToEject {
		g.eject(a.engine, UnresponsiveEngine)
	}
}

// cancelIfNotWorthwhile cancels an attempt if its request is late and others need its
// threads, if another attempt would probably end sooner, or if its response is lost while
// other requests of its key wait.
func (g *Gateway) cancelIfNotWorthwhile(r *request, index int, timing attemptTiming) {
	a := &r.attempts[index]
	switch {
	case g.isLateAtLimit(r, a) || g.shouldYieldThreads(r, timing):
		g.cancelAttempt(r, index, LowValuePerCost)
		g.endRequest(r, LowValuePerCost)
	case g.shouldRetryElsewhere(r, a, timing) && g.mayRetry(r):
		g.cancelAttempt(r, index, UnresponsiveAttempt)
	case g.responseLost(r, timing) && len(g.keys.requests[r.key]) > 1:
		// The other requests of the key would wait for an attempt that has ended.
		g.cancelAttempt(r, index, ResponseLost)
		g.endRequest(r, ResponseLost)
	}
}

// isLateAtLimit reports whether the attempt is of a late dashboard and the dashboard threads
// under its engine's thread limit have reached dashboardConcurrencyLimit: others need its
// threads.
func (g *Gateway) isLateAtLimit(r *request, a *attempt) bool {
	return r.class.isDashboard && g.nowMS > g.objectiveAtMS(r) && g.dashboardsAtLimit(r.class, a.engine)
}

// responseLost reports whether the response to a request that must not be repeated is
// most likely lost.
func (g *Gateway) responseLost(r *request, timing attemptTiming) bool {
	return r.class.Idempotency == NotIdempotent &&
		timing.ageMS > lostResponseFactor*timing.expectedMS+runawayGraceMS
}

// shouldRetryElsewhere reports whether another attempt would serve the request sooner: the
// engine is ejected, a dashboard has timed out, status reports have stopped, or the attempt
// has a bad plan.
func (g *Gateway) shouldRetryElsewhere(r *request, a *attempt, timing attemptTiming) bool {
	if g.nowMS+timing.expectedMS >= r.deadlineAtMS || r.class.Idempotency == NotIdempotent {
		return false
	}
	health := &a.engine.health
	unresponsive := health.lastActivityAtMS < a.startedAtMS
	if unresponsive && g.isEjected(a.engine) && a.startedAtMS < health.ejectedUntilMS {
		return true
	}
	if r.class.isDashboard {
		return timing.ageMS > g.dashboardTimeoutMS(r) && g.nowMS+timing.expectedMS < g.objectiveAtMS(r)
	}
	return g.statusStopped(a) || r.class.Idempotency == Idempotent && g.isRunaway(r, a, timing)
}

// statusStopped reports whether an engine that sends status reports has stopped sending
// them for the attempt: the attempt has ended and its response is lost.
func (g *Gateway) statusStopped(a *attempt) bool {
	intervalMS := g.settings.ProgressIntervalMS
	return intervalMS > 0 && g.nowMS-max(a.lastStatusAtMS, a.startedAtMS) > missedStatusIntervals*intervalMS
}

// isRunaway reports whether an attempt takes far longer than expected, or will do so
// according to its progress, which means a bad plan. The limit doubles with each attempt.
func (g *Gateway) isRunaway(r *request, a *attempt, timing attemptTiming) bool {
	factor := 1 + runawayDeviations*g.estimates.slowdownDeviation.value
	factor = min(max(factor, minRunawayFactor), maxRunawayFactor)
	factor *= math.Exp2(float64(len(r.attempts) - 1))
	totalMS := timing.ageMS
	remainingMS := math.Inf(1)
	if a.progress > 0 {
		totalMS = (a.progressAtMS - a.startedAtMS) / a.progress
		remainingMS = totalMS - timing.ageMS
	}
	return totalMS > factor*timing.expectedMS+runawayGraceMS &&
		remainingMS > timing.expectedMS*minRunawayRemaining
}
