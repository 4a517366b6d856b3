package control

import (
	"cmp"
	"slices"
)

const (
	targetOpenFraction   = 0.85  // part of MaxOpenRequests above which some requests are ended
	criticalOpenFraction = 0.97  // and above which that does not wait for the next sweep
	retryAfterMS         = 100.0 // advice to rejected clients: sweeps find capacity well within it
	servedWeightWindowMS = 1000.0
	minRequestsPerSecond = 1e-9 // of a tenant, as a divisor
)

// servedWeight is the priority weight that is earned by answers.
type servedWeight struct {
	sinceSweep float64
	perMS      float64 // averaged
}

// update averages the served weight, once a sweep.
func (w *servedWeight) update() {
	w.perMS += (w.sinceSweep/sweepIntervalMS - w.perMS) * sweepIntervalMS / servedWeightWindowMS
	w.sinceSweep = 0
}

// shedQueue rejects secondary work that can't be done in time.
func (g *Gateway) shedQueue() {
	for i := range g.classes {
		if !g.classes[i].isDashboard {
			g.shedClass(&g.classes[i])
		}
	}
}

// shedClass plays the queue of a class ahead. When a request would miss its
// objective, the one of least weight for its work among those up to it is
// rejected (Moore and Hodgson's rule).
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

// leastWeightPerWork returns the index of the request with the least weight for
// its work, the last one if all are alike.
func (g *Gateway) leastWeightPerWork(requests []*request) int {
	worst := len(requests) - 1
	for i, r := range requests {
		if g.weightPerWork(r) < g.weightPerWork(requests[worst]) {
			worst = i
		}
	}
	return worst
}

// weightPerWork is the priority weight of a request for its work. What a tenant
// sends over its quota weighs less.
func (g *Gateway) weightPerWork(r *request) float64 {
	within := g.withinQuota(r)
	return r.class.PriorityWeight * (within + (1-within)*g.settings.OverQuotaWeight) / max(1, g.workMS(r))
}

// withinQuota is the part of its tenant's requests that its quota covers. It
// guards the other tenants against a flood.
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

// expectedThreads is how many threads the request's class has here: the sum of the
// limits that are this gateway's own; else what the class had in use lately, or
// this gateway's quota. Engines that warm up and can't take the request count for
// nothing.
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

// weightIfServedAfter is what a response earns after a further time.
func (g *Gateway) weightIfServedAfter(r *request, afterMS float64) float64 {
	if g.nowMS+afterMS > g.objectiveAtMS(r) {
		return r.class.PriorityWeight * r.class.LateWeight
	}
	return r.class.PriorityWeight
}

// shouldYieldThreads reports whether a late attempt of secondary work will earn
// less for the threads that it goes on to hold than its class earns in time, while
// others wait for them. It guards a full fleet against bad plans that run on.
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

// openRequestsCritical reports whether open requests must be ended at once to
// admit new ones.
func (g *Gateway) openRequestsCritical() bool {
	limit := g.settings.MaxOpenRequests
	return limit > 0 && float64(len(g.openRequests)) > criticalOpenFraction*float64(limit)
}

// shedCandidate is an open request that may be ended, and what it earns for the
// time that it will stay open.
type shedCandidate struct {
	request     *request
	weightPerMS float64
}

// shedOpenRequests ends requests while few more may be open: those
// that earn less for the time that they will stay open than open requests earn on
// average. Otherwise requests that are blocked by loads, or too late for any
// weight, fill MaxOpenRequests while new clients are turned off.
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

// shedCandidates returns the open requests that earn less than the mean, and how
// many are open. A response that has begun and work in flight that must not be
// repeated are left alone.
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

// remainingOpenMS is how much longer a request is expected to stay open: one that
// waits, as long again as it has so far.
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
