package control

import (
	"cmp"
	"slices"
)

const (
	targetOpenFraction   = 0.85  // fraction of MaxOpenRequests above which a sweep ends some requests
	criticalOpenFraction = 0.97  // fraction above which requests are ended at once, not at the next sweep
	retryAfterMS         = 100.0 // advice to rejected clients; sweeps find capacity well within this time
	servedWeightWindowMS = 1000.0
	minRequestsPerSecond = 1e-9 // lower bound for the rate of a tenant, which is a divisor
)

// servedWeight sums the priority weight of the requests that were served.
type servedWeight struct {
	sinceSweep float64
	perMS      float64 // moving average
}

// update updates the moving average. It is called once per sweep.
func (w *servedWeight) update() {
	w.perMS += (w.sinceSweep/sweepIntervalMS - w.perMS) * sweepIntervalMS / servedWeightWindowMS
	w.sinceSweep = 0
}

// shedQueue rejects queued secondary work that can't be served in time.
func (g *Gateway) shedQueue() {
	for i := range g.classes {
		if !g.classes[i].isDashboard {
			g.shedClass(&g.classes[i])
		}
	}
}

// shedClass simulates how the queue of a class will be served. When a request would
// miss its objective, the request with the least weight per unit of work among it and
// those before it is rejected (Moore and Hodgson's rule).
func (g *Gateway) shedClass(c *class) {
	schedule := g.schedule[:0]
	threads := float64(c.Threads)
	aheadThreadMS := c.remainingThreadMS / (c.runningAttempts + 1)
	for _, r := range g.queue {
		if r.class != c || r.closed {
			continue
		}
		available := g.expectedThreads(r)
		schedule = append(schedule, r)
		for !r.closed && g.nowMS+aheadThreadMS/available+g.expectedDurationMS(r) > g.objectiveAtMS(r) {
			worst := g.leastWeightPerWork(schedule)
			victim := schedule[worst]
			schedule = slices.Delete(schedule, worst, worst+1)
			if victim != r {
				aheadThreadMS -= g.expectedDurationMS(victim) * threads
			}
			g.endRequest(victim, MissesObjective)
		}
		if !r.closed {
			aheadThreadMS += g.expectedDurationMS(r) * threads
		}
	}
	g.schedule = schedule
}

// leastWeightPerWork returns the index of the request with the least weight per unit
// of work, the last index if all are equal.
func (g *Gateway) leastWeightPerWork(requests []*request) int {
	worst := len(requests) - 1
	for i, r := range requests {
		if g.weightPerWork(r) < g.weightPerWork(requests[worst]) {
			worst = i
		}
	}
	return worst
}

// weightPerWork returns the priority weight of a request per unit of work. Requests
// over their tenant's quota weigh less.
func (g *Gateway) weightPerWork(r *request) float64 {
	within := g.withinQuota(r)
	return r.class.PriorityWeight * (within + (1-within)*g.settings.OverQuotaWeight) / max(1, g.workMS(r))
}

// withinQuota returns the fraction of its tenant's requests that the tenant's quota
// covers. It protects other tenants when one tenant sends far more than its quota.
func (g *Gateway) withinQuota(r *request) float64 {
	if len(g.settings.Tenants) == 0 {
		return 1
	}
	if r.tenant < 0 || r.tenant >= len(g.settings.Tenants) {
		return 0
	}
	quota := g.settings.Tenants[r.tenant].RequestsPerSecond
	if quota <= 0 {
		return 1
	}
	return min(1, quota/max(g.demand.RequestsPerSecond(g.nowMS, r.tenant), minRequestsPerSecond))
}

// expectedThreads returns how many threads the class of the request can expect from
// this gateway: the sum of the gateway's own limits, plus, where engines share a limit,
// the threads that the class used recently or this gateway's quota of cores, whichever
// is larger. Engines in slow start that can't take the request are left out.
func (g *Gateway) expectedThreads(r *request) float64 {
	threads, sharedCores := 0.0, 0.0
	for _, e := range g.engines {
		if !e.listing.available || !r.class.allows(&e.EngineInfo) || g.isEjected(e) {
			continue
		}
		if e.sharesThreadLimit {
			sharedCores += e.cores * g.engineQuota(e)
		} else if !g.inSlowStart(e) || g.slowStartAdmits(r, e) {
			threads += float64(e.limit.threads)
		}
	}
	if sharedCores > 0 {
		threads += max(r.class.averageThreads, sharedCores)
	}
	return max(threads, float64(r.class.Threads))
}

// weightIfServedAfter returns the weight that a response earns if it is given in afterMS.
func (g *Gateway) weightIfServedAfter(r *request, afterMS float64) float64 {
	if g.nowMS+afterMS > g.objectiveAtMS(r) {
		return r.class.PriorityWeight * r.class.LateWeight
	}
	return r.class.PriorityWeight
}

// shouldYieldThreads reports whether a late attempt of secondary work should end, so that
// queued requests can use its threads: its late weight per remaining thread time is lower
// than the full weight of its class per mean work. When all engines are busy, this stops
// attempts with bad plans from holding threads for long.
func (g *Gateway) shouldYieldThreads(r *request, timing attemptTiming) bool {
	if r.class.Idempotency != Idempotent || r.class.isDashboard || g.nowMS <= g.objectiveAtMS(r) {
		return false
	}
	ready := func(other *request) bool {
		return !other.class.OrderedByKey || g.keys.first(other.key) == other
	}
	if !slices.ContainsFunc(g.queue, ready) {
		return false
	}
	remainingMS := expectedRemainingMS(timing.ageMS, timing.expectedMS)
	return r.class.LateWeight*r.averageWorkMS() < remainingMS*float64(r.class.Threads)
}

// openRequestsCritical reports whether open requests must be ended at once so that new
// ones can be accepted.
func (g *Gateway) openRequestsCritical() bool {
	limit := g.settings.MaxOpenRequests
	return limit > 0 && float64(len(g.openRequests)) > criticalOpenFraction*float64(limit)
}

// shedCandidate is an open request that may be ended. weightPerMS is its weight per
// millisecond that it is expected to stay open.
type shedCandidate struct {
	request     *request
	weightPerMS float64
}

// shedOpenRequests ends open requests when their number is close to MaxOpenRequests. It
// ends requests whose weight per time that they will stay open is below the average: the
// weight served per time, divided by MaxOpenRequests. Otherwise requests that are blocked
// by loads, or are too late to have any weight, would use up MaxOpenRequests while new
// clients are refused.
func (g *Gateway) shedOpenRequests() {
	target := targetOpenFraction * float64(g.settings.MaxOpenRequests)
	if target <= 0 || float64(len(g.openRequests)) <= target {
		return
	}
	candidates, openCount := g.shedCandidates()
	slices.SortStableFunc(candidates, func(a, b shedCandidate) int {
		return cmp.Compare(a.weightPerMS, b.weightPerMS)
	})
	excess := max(0, int(float64(openCount)-target))
	for _, c := range candidates[:min(len(candidates), excess)] {
		g.cancelInFlight(c.request, OpenRequestsFull)
		g.endRequest(c.request, OpenRequestsFull)
	}
}

// shedCandidates returns the open requests of less than average weight per time, and
// the number of open requests. It leaves out requests whose response has begun, and
// requests in flight that must not be repeated.
func (g *Gateway) shedCandidates() (candidates []shedCandidate, openCount int) {
	meanPerMS := g.servedWeight.perMS / float64(g.settings.MaxOpenRequests)
	for _, r := range g.openRequests {
		if r.closed {
			continue
		}
		openCount++
		if r.streaming || (r.class.Idempotency == NotIdempotent && r.inFlight() > 0) {
			continue
		}
		remainingMS := g.remainingOpenMS(r)
		weightPerMS := g.weightIfServedAfter(r, remainingMS) / max(1, remainingMS)
		if weightPerMS < meanPerMS {
			candidates = append(candidates, shedCandidate{r, weightPerMS})
		}
	}
	return candidates, openCount
}

// remainingOpenMS returns how much longer a request is expected to stay open. A request
// that waits is expected to wait as long again as it has waited so far.
func (g *Gateway) remainingOpenMS(r *request) float64 {
	expectedMS := g.expectedDurationMS(r)
	if r.class.isDashboard {
		expectedMS = g.uncontendedDurationMS(r)
	}
	last := len(r.attempts) - 1
	if last >= 0 && r.attempts[last].inFlight {
		return expectedRemainingMS(g.nowMS-r.attempts[last].startedAtMS, expectedMS)
	}
	return expectedMS + g.nowMS - r.arrivedAtMS
}

// cancelInFlight cancels the attempts of a request that are in flight.
func (g *Gateway) cancelInFlight(r *request, reason Reason) {
	if !g.settings.CanCancel {
		return
	}
	for i := range r.attempts {
		if r.attempts[i].inFlight && !r.attempts[i].cancelled {
			g.cancelAttempt(r, i, reason)
		}
	}
}
