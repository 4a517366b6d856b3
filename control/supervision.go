package control

import "math"

const (
	// Part of its objective that a dashboard waits for an engine before it is rejected.
	maxDashboardWaitFraction = 0.3

	// Limits on the age of an attempt, as multiples of its expected duration.
	lostResponseFactor = 8.0   // its response counts as lost
	minRunawayFactor   = 1.6   // it may have a bad plan
	maxRunawayFactor   = 3.0   // it has
	runawayGraceMS     = 100.0 // past each limit before it counts

	runawayDeviations     = 4   // mean deviations over the mean, as a transport judges a lost packet
	runawayRemaining      = 1.5 // expected durations that it still needs for a retry to pay
	minRemainingDivisor   = 10  // of the expected duration: an attempt has so much left at the least
	missedStatusIntervals = 2.5 // in a row, after which the response to an attempt counts as lost
)

// attemptTiming is how long an attempt has been in flight, and how long it was
// expected to be.
type attemptTiming struct {
	ageMS      float64
	expectedMS float64
}

// supervise checks an open request, or one with attempts in flight, and reports
// whether to keep it.
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
			g.cancelIfHopeless(r, i, timing)
		}
	}
	if !r.closed || r.inFlight() > 0 {
		return true
	}
	g.forget(r)
	return false
}

// dashboardWaitedTooLong reports whether a dashboard is still queued for want of an
// engine, with little of its objective left.
func (g *Gateway) dashboardWaitedTooLong(r *request) bool {
	return r.queued && r.class.isDashboard &&
		g.nowMS > r.arrivedAtMS+maxDashboardWaitFraction*r.class.LatencyObjectiveMS
}

// observeAttempt learns from an attempt in flight about its class and its engine.
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
	// A single one may only have lost its response.
	health := &a.engine.health
	health.unresponsiveDashboards++
	certain := timing.ageMS > timeoutMS+r.class.LatencyObjectiveMS
	if certain || health.unresponsiveDashboards >= failuresToEject {
		g.eject(a.engine, UnresponsiveEngine)
	}
}

// cancelIfHopeless cancels an attempt that holds threads for too little, or that
// another attempt would overtake.
func (g *Gateway) cancelIfHopeless(r *request, index int, timing attemptTiming) {
	a := &r.attempts[index]
	switch {
	case g.isLateAtLimit(r, a) || g.shouldYieldThreads(r, timing):
		g.cancelAttempt(r, index, LowValuePerCost)
		g.endRequest(r, LowValuePerCost)
	case g.shouldRetryElsewhere(r, a, timing) && g.mayRetry(r):
		g.cancelAttempt(r, index, UnresponsiveAttempt)
	case g.responseLost(r, timing) && len(g.keys.requests[r.key]) > 1:
		// The others of its key wait for nothing.
		g.cancelAttempt(r, index, ResponseLost)
		g.endRequest(r, ResponseLost)
	}
}

// isLateAtLimit reports whether the attempt is of a late dashboard, and its
// engine runs as many dashboards as it may: others need its threads.
func (g *Gateway) isLateAtLimit(r *request, a *attempt) bool {
	return r.class.isDashboard && g.nowMS > g.objectiveAtMS(r) &&
		float64(a.engine.load.dashboardThreads) >= g.dashboardConcurrencyLimit(r.class, a.engine)
}

// responseLost reports whether the response to a request that must not be repeated
// is most likely lost.
func (g *Gateway) responseLost(r *request, timing attemptTiming) bool {
	return r.class.Idempotency == NotIdempotent &&
		timing.ageMS > lostResponseFactor*timing.expectedMS+runawayGraceMS
}

// shouldRetryElsewhere reports whether another attempt would serve the request
// sooner: the engine is ejected, the response is lost, or the plan is bad.
func (g *Gateway) shouldRetryElsewhere(r *request, a *attempt, timing attemptTiming) bool {
	if g.nowMS+timing.expectedMS >= r.deadlineAtMS || r.class.Idempotency == NotIdempotent {
		return false
	}
	health := &a.engine.health
	unheard := health.lastActivityAtMS < a.startedAtMS
	if unheard && g.isEjected(a.engine) && a.startedAtMS < health.ejectedUntilMS {
		return true
	}
	if r.class.isDashboard {
		return timing.ageMS > g.dashboardTimeoutMS(r) && g.nowMS+timing.expectedMS < g.objectiveAtMS(r)
	}
	return g.statusStopped(a) || r.class.Idempotency == Idempotent && g.isRunaway(r, a, timing)
}

// statusStopped reports whether an attempt's status reports have stopped, where
// they come: it has ended and its response is lost.
func (g *Gateway) statusStopped(a *attempt) bool {
	intervalMS := g.settings.ProgressIntervalMS
	return intervalMS > 0 && g.nowMS-max(a.lastStatusAtMS, a.startedAtMS) > missedStatusIntervals*intervalMS
}

// isRunaway reports whether an attempt takes, or by its progress will take, far
// longer than others: a bad plan. The limit doubles with each attempt.
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
		remainingMS > timing.expectedMS*runawayRemaining
}
