package control

import (
	"math"
	"slices"
)

const (
	// Age up to which a load report is used to route dashboards. It is longer than
	// headroomReportMaxAgeMS, as dashboards take little capacity.
	routingReportMaxAgeMS = 3000.0

	nonPreferredCost = 0.75 // threads per core by which a preferred engine may be fuller and still be chosen

	// Largest fractions of the engines that may run loads of one data set at a time: the
	// requests that these loads block need the other engines.
	maxLoadingFraction       = 0.5
	maxUrgentLoadingFraction = 0.8 // for an urgent load
	urgentDurations          = 2.0 // a load is urgent this many expected durations before its objective
)

// separation says how well a choice of engine keeps the loads of a data set apart from
// the requests that read it, best first.
type separation int

const (
	separate   separation = iota
	mixed                 // a reader on an engine that loads prefer, or a load on another engine
	behindLoad            // a load of the data set runs there, which would block the request
)

// choiceRank is the rank of an engine that a request may go to. Engines that have had no
// attempt of the request come first, then those with the better separation, then those
// of lower cost.
type choiceRank struct {
	attempted  bool
	separation separation
	cost       float64
}

// worstRank comes after every rank with a finite cost.
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

// engineForDashboard chooses an engine for a dashboard by threads per core. It returns nil
// if all engines have reached their limit of dashboards or the request should wait.
func (g *Gateway) engineForDashboard(r *request) *engine {
	return g.choose(r, func(e *engine) float64 {
		if g.dashboardsAtLimit(r.class, e) {
			return math.Inf(1)
		}
		return (g.threadsOn(e) + float64(r.class.Threads)) / g.effectiveCores(e)
	})
}

// threadsOn returns the threads that run on an engine, as far as this gateway knows. A load
// report counts those of all gateways. Without a recent one, the peers are assumed to run one
// thread per core.
func (g *Gateway) threadsOn(e *engine) float64 {
	own := float64(e.load.threads())
	switch {
	case !e.sharesThreadLimit:
		return own
	case g.nowMS-e.load.reportedAtMS < routingReportMaxAgeMS:
		return max(own, e.load.reportedThreads+e.load.threadsSinceReport)
	default:
		return own + e.cores
	}
}

// engineForSecondary chooses an engine for secondary work by headroom under its thread
// limit. It returns nil if no engine has headroom or the request should wait. On an engine
// with a limit of its own, one thread of headroom is enough, and the request may then exceed
// the limit.
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

// overshootExhausted reports whether this gateway's secondary threads on all engines with
// limits of their own have reached the sum of these limits, unrounded, plus this gateway's
// share of one overshoot per engine. Without this check many gateways could exceed the
// limits of all engines at once.
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

// choose returns the selectable engine of the best rank, nil if there is none or the
// request should wait. An engine of infinite cost is not chosen. Ties are broken at
// random, as gateways with the same list must not all choose the same engine.
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
	separates        bool      // the request is a load or is blocked by loads
	preferredByLoads []*engine // engines that loads of the data set prefer; empty unless separates is set
	preferred        []*engine // engines that requests of this data set and class prefer
}

func (g *Gateway) newRanking(r *request) ranking {
	k := ranking{gateway: g, request: r, separates: r.class.BlockedByLoads || r.class.IsLoad}
	if k.separates {
		k.preferredByLoads = g.preferred(r.dataset, nil)
	}
	k.preferred = g.preferred(r.dataset, r.class)
	return k
}

// rank returns the rank of an engine at a cost. For loads, affinity replaces the cost
// where engines have limits of their own, so that all gateways send the loads of a data
// set to the same engines.
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

// shouldWait reports whether a request should wait instead of going to the engine. A
// reader waits if a load would block it there and some other engine runs no load of the
// data set. A load waits if it would leave too few engines without a load of the data
// set. Otherwise loads of a few data sets would spread until their readers are blocked
// on every engine and hold threads that other requests need. An urgent load may use more
// engines.
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

// selectable reports whether the engine may be chosen for a request. An ejected engine
// receives no requests, except that after its ejection time a single dashboard may go there
// as a recovery probe.
func (g *Gateway) selectable(e *engine, r *request) bool {
	if !g.mayStart(r, e) {
		return false
	}
	recoveryProbe := g.nowMS >= e.health.ejectedUntilMS && e.load.threads() == 0 && r.class.isDashboard
	return !g.isEjected(e) || recoveryProbe
}
