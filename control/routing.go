package control

import (
	"math"
	"slices"
)

const (
	// A load report guides dashboards for longer than it proves headroom: they take
	// little capacity.
	routingReportMaxAgeMS = 3000.0

	nonPreferredCost = 0.75 // threads a core by which a preferred engine may be fuller

	// Parts of the engines that may run a load of a data set: its readers need others.
	maxLoadingFraction       = 0.5
	maxUrgentLoadingFraction = 0.8 // for loads that have little time left:
	urgentDurations          = 2.0 // this many times their expected duration
)

// separation says how well a choice of engine keeps the loads of a data set apart
// from its readers, best first.
type separation int

const (
	separate   separation = iota
	mixed                 // a reader on a preferred engine of loads, or a load on another one
	behindLoad            // a load of the data set runs there: the request would be blocked
)

// choiceRank orders the engines that a request may go to. An engine that it was
// not attempted on comes first, then the better separation, then the lower cost.
type choiceRank struct {
	attempted  bool
	separation separation
	cost       float64
}

// worstRank comes after every rank of finite cost.
var worstRank = choiceRank{attempted: true, separation: behindLoad, cost: math.Inf(1)}

func (c choiceRank) better(than choiceRank) bool {
	if c.attempted != than.attempted {
		return than.attempted
	}
	if c.separation != than.separation {
		return c.separation < than.separation
	}
	return c.cost < than.cost
}

// engineForDashboard returns the engine with the fewest threads a core, nil if all
// have as many dashboards as they may.
func (g *Gateway) engineForDashboard(r *request) *engine {
	return g.choose(r, func(e *engine) float64 {
		if g.dashboardsAtLimit(r.class, e) {
			return math.Inf(1)
		}
		threads := float64(e.load.threads() + r.class.Threads)
		if e.sharesThreadLimit {
			threads += g.otherGatewaysThreads(e)
		}
		return threads / g.effectiveCores(e)
	})
}

// otherGatewaysThreads estimates what other gateways run on an engine.
func (g *Gateway) otherGatewaysThreads(e *engine) float64 {
	if g.nowMS-e.load.reportedAtMS < routingReportMaxAgeMS {
		return e.load.reportedThreads + e.load.threadsSinceReport
	}
	return e.cores
}

// engineForSecondary returns the engine with most headroom under its thread limit for
// secondary work, nil if none has any. The request may pass the limit of an
// engine with a single thread of headroom.
func (g *Gateway) engineForSecondary(r *request) *engine {
	overshootExhausted := g.overshootExhausted(r)
	e := g.choose(r, func(e *engine) float64 {
		if e.sharesThreadLimit {
			headroom := g.sharedHeadroom(e)
			if headroom < float64(r.class.Threads) {
				e.limit.interval.demandUnmet = true
				return math.Inf(1)
			}
			return -headroom / e.cores
		}
		headroom := float64(e.limit.threads - e.load.secondaryThreads)
		if headroom < 1 || overshootExhausted {
			e.limit.interval.demandUnmet = true
			return math.Inf(1)
		}
		return -headroom
	})
	if e == nil {
		g.probeForHeadroom(r)
	}
	return e
}

// overshootExhausted reports whether this gateway's threads on all engines with
// limits of their own reach the sum of these limits, unrounded, and its part of
// one overshoot an engine. Without it many gateways could pass the limits of all
// engines at once.
func (g *Gateway) overshootExhausted(r *request) bool {
	threads, limits := 0.0, 0.0
	for _, e := range g.engines {
		if e.sharesThreadLimit || !e.listing.available || !r.class.allows(&e.EngineInfo) {
			continue
		}
		threads += float64(e.load.secondaryThreads)
		limits += e.limit.errorSumMS*g.integralGain(e) + float64(r.class.Threads-1)/g.gatewaysUsing(e)
	}
	return threads > 0 && threads >= limits
}

// choose returns the selectable engine of the best rank, nil if there is none or
// the request should wait. An engine of infinite cost is not chosen. Equals are
// drawn: gateways with one list must not all go to the same.
func (g *Gateway) choose(r *request, cost func(*engine) float64) *engine {
	ranking := g.newRanking(r)
	selectable, loading := 0.0, 0.0
	var best *engine
	bestRank := worstRank
	ties := 0
	for _, e := range g.engines {
		if !g.selectable(e, r) {
			continue
		}
		selectable++
		if g.runsLoad(e, r.dataset) {
			loading++
		}
		engineCost := cost(e)
		if math.IsInf(engineCost, 1) || math.IsNaN(engineCost) {
			continue
		}
		rank := ranking.rank(e, engineCost)
		if rank.better(bestRank) {
			best = e
			bestRank = rank
			ties = 1
		} else if rank == bestRank {
			ties++
			if g.rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	if best == nil || g.shouldWait(r, best, selectable, loading) {
		return nil
	}
	return best
}

// ranking ranks engines for one request.
type ranking struct {
	gateway          *Gateway
	request          *request
	separates        bool      // the request is a load, or blocked by loads
	preferredByLoads []*engine // by the loads of its data set, if it separates
	preferred        []*engine // by its data set and class
}

func (g *Gateway) newRanking(r *request) ranking {
	k := ranking{gateway: g, request: r, separates: r.class.BlockedByLoads || r.class.IsLoad}
	if k.separates {
		k.preferredByLoads = g.preferred(r.dataset, nil)
	}
	k.preferred = g.preferred(r.dataset, r.class)
	return k
}

// rank returns the rank of an engine at a cost. Loads go by affinity instead where
// engines have limits of their own, so that all gateways' loads of a data set
// meet.
func (k *ranking) rank(e *engine, cost float64) choiceRank {
	r := k.request
	if r.class.IsLoad && !e.sharesThreadLimit {
		cost = -e.affinityScore(r.dataset)
	}
	rank := choiceRank{attempted: r.attempted(e), separation: k.separation(e), cost: cost}
	if rank.separation == separate && e.sharesThreadLimit && !slices.Contains(k.preferred, e) {
		rank.cost += nonPreferredCost
	}
	return rank
}

func (k *ranking) separation(e *engine) separation {
	r := k.request
	switch {
	case k.separates && k.gateway.runsLoad(e, r.dataset):
		return behindLoad
	case slices.Contains(k.preferredByLoads, e) != r.class.IsLoad:
		return mixed
	default:
		return separate
	}
}

// shouldWait reports whether a request should wait and not go to the engine: a
// reader that a load would block while another engine has none, or a load that
// would leave too few engines without one. Otherwise loads of a few data sets
// spread until readers are blocked everywhere, and hold the threads of others.
// A load that has little time left may go to more engines.
func (g *Gateway) shouldWait(r *request, e *engine, selectable, loading float64) bool {
	if !r.class.IsLoad {
		return r.class.BlockedByLoads && loading < selectable && g.runsLoad(e, r.dataset)
	}
	fraction := maxLoadingFraction
	if g.nowMS+urgentDurations*g.expectedDurationMS(r) > g.objectiveAtMS(r) {
		fraction = maxUrgentLoadingFraction
	}
	return loading > 0 && loading+1 > selectable*fraction
}

// selectable reports whether the engine may be chosen for a request. One that is
// ejected gets nothing, and after its time a single dashboard as a recovery probe.
func (g *Gateway) selectable(e *engine, r *request) bool {
	if !g.mayStart(r, e) {
		return false
	}
	recoveryProbe := g.nowMS >= e.health.ejectedUntilMS && e.load.threads() == 0 && r.class.isDashboard
	return !g.isEjected(e) || recoveryProbe
}
