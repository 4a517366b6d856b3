package control

import "math"

const (
	// dashboardNeighbors is n in the controller's gain, KI = cores / (R * n): the number
	// of secondary threads that the model assumes to run beside a dashboard.
	dashboardNeighbors = 3.0

	dashboardsPerInterval = 10     // number of dashboards that closes a control interval
	maxIntervalMS         = 5000.0 // time after which an interval closes with fewer

	// Secondary threads per core, of all gateways together, above which engines spill,
	// thrash and lose throughput.
	maxSecondaryThreadsPerCore = 1.0

	// Factors by which a gateway's thread limit may exceed its quota, as arrivals are
	// never even.
	demandQuotaSlack = 1.3
	evenQuotaSlack   = 2.5 // without gossip of demand, when some gateways have several times the mean

	minDemandQuotaFraction = 0.5   // least quota by demand, as a fraction of an even quota
	headroomReportMaxAgeMS = 500.0 // age up to which a load report proves headroom

	// The limit of dashboards in flight is objectiveUtilization times the dashboards done
	// within one objective. Where engines share a limit, it is a few threads per gateway, and
	// burstDeviations standard deviations (square roots of the limit) are added for bursts.
	objectiveUtilization = 0.6
	burstDeviations      = 1.0

	dashboardRateWindowMS = 1000.0
)

// threadLimit is the state of the integral controller that limits the threads of
// secondary work on one engine, or on all engines of a kind together.
//
// Where an engine has less than one core for each gateway that uses it, one gateway's own
// attempts say little about the engine. If engines can be probed for load reports, all
// engines of the kind then share one limit. The shared limit stands for the threads of all
// gateways on an engine and is compared with load reports.
type threadLimit struct {
	threads        int     // C, the limit
	errorSumMS     float64 // E, the integral of objective minus latency
	interval       controlInterval
	dashboards     dashboardRate
	availableCores float64 // cores of the available engines under this limit
}

// controlInterval holds the samples since the limit was last updated.
type controlInterval struct {
	startedAtMS    float64
	samples        int // dashboards
	latencySumMS   float64
	objectiveSumMS float64
	demandUnmet    bool // queued requests found no headroom
}

// dashboardRate is the throughput of dashboards.
type dashboardRate struct {
	threadsInFlight int
	threadsDone     int // since the last update
	threadsPerMS    float64
	updatedAtMS     float64
}

// update updates the average throughput. It has an effect once per sweep, also for a
// limit that several engines share.
func (d *dashboardRate) update(nowMS float64) {
	if d.updatedAtMS == nowMS {
		return
	}
	deviation := float64(d.threadsDone)/sweepIntervalMS - d.threadsPerMS
	d.threadsPerMS += deviation * sweepIntervalMS / dashboardRateWindowMS
	d.threadsDone = 0
	d.updatedAtMS = nowMS
}

// initThreadLimit gives a new engine a limit of its own or the limit of its kind. A limit
// of its own starts at this gateway's quota of the engine, a shared limit at the
// engine's cores.
func (g *Gateway) initThreadLimit(e *engine, kind *kindState) {
	startThreads := e.cores * g.engineQuota(e)
	e.sharesThreadLimit = g.quotaIsBelowOneCore(e) && g.settings.CanProbe && g.settings.LoadReportsInProbes
	if e.sharesThreadLimit {
		e.limit = &kind.limit
		startThreads = e.cores
	}
	if e.limit.threads > 0 {
		return
	}
	e.limit.threads = roundThreads(startThreads)
	e.limit.errorSumMS = startThreads / g.integralGain(e)
	e.limit.interval.startedAtMS = g.nowMS
}

// roundThreads rounds half up, and returns at least 1.
func roundThreads(x float64) int { return int(max(1, math.Floor(x+0.5))) }

// quotaIsBelowOneCore reports whether an even quota of the engine is less than one core.
func (g *Gateway) quotaIsBelowOneCore(e *engine) bool { return e.cores < g.gatewaysUsing(e) }

// engineQuota returns this gateway's share of the engine, from 0 to 1. It follows demand
// where gateways gossip theirs, and is an even share otherwise.
func (g *Gateway) engineQuota(e *engine) float64 {
	even := 1 / g.gatewaysUsing(e)
	if g.demand.QuotasAreEven(g.nowMS) {
		return even
	}
	return min(1, max(even*minDemandQuotaFraction, g.demand.Quota(g.nowMS, even)))
}

// integralGain returns the controller's gain, KI = cores / (R * n), in threads per
// millisecond. R is the latency of dashboards at light load, n is dashboardNeighbors.
func (g *Gateway) integralGain(e *engine) float64 {
	latencyMS := g.estimates.shortestObjectiveMS
	if e.lightLoadLatencyMS.count >= dashboardsPerInterval {
		latencyMS = min(latencyMS, e.lightLoadLatencyMS.value)
	}
	return e.cores / (max(latencyMS, 1) * dashboardNeighbors)
}

// recordDashboardLatency adds a sample to the open interval, and closes the interval
// when it has enough samples.
func (g *Gateway) recordDashboardLatency(r *request, a *attempt, latencyMS float64) {
	e := a.engine
	interval := &e.limit.interval
	interval.latencySumMS += latencyMS
	interval.objectiveSumMS += r.class.LatencyObjectiveMS
	interval.samples++
	e.health.lastDashboardAtMS = g.nowMS
	e.health.latencyMS.add(latencyMS)
	g.estimates.dashboardLatencyMS.add(latencyMS)
	e.health.workMS.add(g.workMS(r))
	if a.startedAtLightLoad {
		g.recordLightLoadLatency(e, latencyMS)
	}
	if interval.samples >= dashboardsPerInterval {
		g.closeControlInterval(e)
	}
}

// recordLightLoadLatency adds a sample to the light-load latency of an engine kind,
// which changes the gain of its engines. It scales their error sums inversely, so that
// their limits do not change (bumpless transfer).
func (g *Gateway) recordLightLoadLatency(e *engine, latencyMS float64) {
	oldGain := g.integralGain(e)
	e.lightLoadLatencyMS.add(latencyMS)
	for _, other := range g.engines {
		if other.lightLoadLatencyMS == e.lightLoadLatencyMS && (other == e || !other.sharesThreadLimit) {
			other.limit.errorSumMS *= oldGain / g.integralGain(other)
		}
	}
}

// closeControlInterval updates the limit, E += objective - latency and C = KI * E, and
// opens the next interval.
//
// A surplus (latency below the objective) is not added unless queued work could have
// used it (conditional integration). E is clamped and moves by at most one objective:
// otherwise a pause of an engine would keep the limit low for long.
func (g *Gateway) closeControlInterval(e *engine) {
	gain := g.integralGain(e)
	limit := e.limit
	interval := &limit.interval
	if interval.samples > 0 {
		objectiveMS := interval.objectiveSumMS / float64(interval.samples)
		errorMS := max(objectiveMS-interval.latencySumMS/float64(interval.samples), -objectiveMS)
		if errorMS < 0 || interval.demandUnmet {
			limit.errorSumMS += errorMS
		}
	}
	limit.errorSumMS = min(max(limit.errorSumMS, 1/gain), max(g.maxThreads(e), 1)/gain)
	limit.threads = roundThreads(gain * limit.errorSumMS)
	*interval = controlInterval{startedAtMS: g.nowMS}
}

// maxThreads returns the upper bound of the engine's limit.
func (g *Gateway) maxThreads(e *engine) float64 {
	if e.sharesThreadLimit {
		return fullThreadsPerCore * e.cores
	}
	slack := evenQuotaSlack
	if g.settings.CanGossip {
		slack = demandQuotaSlack
	}
	return maxSecondaryThreadsPerCore * g.effectiveCores(e) * min(1, g.engineQuota(e)*slack)
}

// sharedHeadroom returns how many threads an engine has below the limit of its kind,
// from its last load report and the threads that this gateway has started since. It is
// zero without a recent report.
func (g *Gateway) sharedHeadroom(e *engine) float64 {
	if g.nowMS-e.load.reportedAtMS > headroomReportMaxAgeMS {
		return 0
	}
	limit := float64(e.limit.threads) * g.effectiveCores(e) / e.cores
	return limit - e.load.reportedThreads - e.load.threadsSinceReport
}

// dashboardConcurrencyLimit returns how many dashboard threads of this gateway may be in
// flight on the engines under the engine's thread limit together. By Little's law, if more
// are in flight than the throughput times the latency objective, all of them finish late and
// are retried. The limit is at least this gateway's quota of the cores of these engines.
func (g *Gateway) dashboardConcurrencyLimit(c *class, e *engine) float64 {
	quota := e.limit.availableCores * g.engineQuota(e)
	sustainable := e.limit.dashboards.threadsPerMS * c.LatencyObjectiveMS * objectiveUtilization
	limit := max(quota, sustainable)
	if e.sharesThreadLimit {
		limit += burstDeviations * math.Sqrt(limit)
	}
	return limit
}

// dashboardsAtLimit reports whether the dashboard threads in flight under the engine's
// thread limit have reached dashboardConcurrencyLimit.
func (g *Gateway) dashboardsAtLimit(c *class, e *engine) bool {
	return float64(e.limit.dashboards.threadsInFlight) >= g.dashboardConcurrencyLimit(c, e)
}
