package control

import "math"

const (
	// dashboardNeighbors is the model's divisor of the integral gain: how many
	// secondary threads a dashboard stands beside.
	dashboardNeighbors = 3.0

	dashboardsPerInterval = 10     // that close a control interval
	maxIntervalMS         = 5000.0 // after which an interval closes with what it has

	// Past this many secondary threads a core, of all gateways, engines spill,
	// thrash and do less.
	maxSecondaryThreadsPerCore = 1.0

	// A gateway's ceiling over its quota, as arrivals are never even.
	demandQuotaSlack = 1.3
	evenQuotaSlack   = 2.5 // where no demand is gossiped and some gateways have several times the mean

	minDemandQuotaFraction = 0.5   // of an even quota
	headroomReportMaxAgeMS = 500.0 // how long a load report proves headroom

	objectiveUtilization  = 0.6 // part of the dashboards done within an objective that may be in flight
	burstDeviations       = 1.0 // over that limit where it is a few threads a gateway
	dashboardRateWindowMS = 1000.0
)

// threadLimit is the state of the integral controller that limits the threads of
// secondary work on an engine, or on all engines of a kind together.
//
// Where an engine has less than a core for each gateway that uses it, this
// gateway's work alone says little about the engine. Its kind then has one
// limit, which stands for the threads of all gateways and is compared with load
// reports.
type threadLimit struct {
	threads     int     // C, the limit
	errorSumMS  float64 // E, the integral of objective less latency
	interval    controlInterval
	dashboards  dashboardRate
	listedCores float64 // of its available engines
}

// controlInterval is what was seen since the limit last moved.
type controlInterval struct {
	startedAtMS    float64
	samples        int // dashboards
	latencySumMS   float64
	objectiveSumMS float64
	demandUnmet    bool // queued work found no headroom
}

// dashboardRate is the throughput of dashboards.
type dashboardRate struct {
	threadsInFlight int
	threadsDone     int // since the last update
	threadsPerMS    float64
	updatedAtMS     float64
}

// update averages the throughput, once a sweep.
func (d *dashboardRate) update(nowMS float64) {
	if d.updatedAtMS == nowMS {
		return
	}
	deviation := float64(d.threadsDone)/sweepIntervalMS - d.threadsPerMS
	d.threadsPerMS += deviation * sweepIntervalMS / dashboardRateWindowMS
	d.threadsDone = 0
	d.updatedAtMS = nowMS
}

// initThreadLimit gives a new engine its own limit or that of its kind, and starts
// it at this gateway's quota of the engine.
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

// roundThreads rounds half up, to one at the least.
func roundThreads(x float64) int { return int(max(1, math.Floor(x+0.5))) }

// quotaIsBelowOneCore reports whether an even quota of the engine is less than a
// core.
func (g *Gateway) quotaIsBelowOneCore(e *engine) bool { return e.cores < g.gatewaysUsing(e) }

// engineQuota is this gateway's part of the engine, from 0 to 1: by demand where
// peers tell theirs, else even.
func (g *Gateway) engineQuota(e *engine) float64 {
	even := 1 / g.gatewaysUsing(e)
	if g.demand.QuotasAreEven(g.nowMS) {
		return even
	}
	return min(1, max(even*minDemandQuotaFraction, g.demand.Quota(g.nowMS, even)))
}

// integralGain is the controller's gain, KI = cores / (R * n), in threads for a
// millisecond. R is the latency of dashboards at light load.
func (g *Gateway) integralGain(e *engine) float64 {
	latencyMS := g.estimates.shortestObjectiveMS
	if e.lightLoadLatencyMS.count >= dashboardsPerInterval {
		latencyMS = min(latencyMS, e.lightLoadLatencyMS.value)
	}
	return e.cores / (max(latencyMS, 1) * dashboardNeighbors)
}

// recordDashboardLatency adds a sample to the open interval, and closes it when
// it has enough of them.
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

// recordLightLoadLatency moves the gain of the engines of a kind. Their error sums
// move against it, so that their limits stay (bumpless transfer).
func (g *Gateway) recordLightLoadLatency(e *engine, latencyMS float64) {
	oldGain := g.integralGain(e)
	e.lightLoadLatencyMS.add(latencyMS)
	for _, other := range g.engines {
		if other.lightLoadLatencyMS == e.lightLoadLatencyMS && (other == e || !other.sharesThreadLimit) {
			other.limit.errorSumMS *= oldGain / g.integralGain(other)
		}
	}
}

// closeControlInterval moves the limit: E += objective - latency, C = KI * E,
// and opens the next interval.
//
// A surplus that no queued work was there to use is left out (conditional
// integration). E is clamped and moves by one objective at most: otherwise a
// pause would keep the limit low for long.
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

// maxThreads is the ceiling of the engine's limit.
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

// sharedHeadroom is how many threads an engine has under the limit of its kind, by
// its last load report and what this gateway started since: none without a fresh
// report.
func (g *Gateway) sharedHeadroom(e *engine) float64 {
	if g.nowMS-e.load.reportedAtMS > headroomReportMaxAgeMS {
		return 0
	}
	limit := float64(e.limit.threads) * g.effectiveCores(e) / e.cores
	return limit - e.load.reportedThreads - e.load.threadsSinceReport
}

// dashboardConcurrencyLimit is how many dashboard threads may be in flight on an
// engine. By Little's law, more than its throughput times the latency objective
// would all finish late and be retried. The limit is at least this gateway's
// quota of the engine's cores.
func (g *Gateway) dashboardConcurrencyLimit(c *class, e *engine) float64 {
	quota := e.limit.listedCores * g.engineQuota(e)
	sustainable := e.limit.dashboards.threadsPerMS * c.LatencyObjectiveMS * objectiveUtilization
	limit := max(quota, sustainable)
	if e.sharesThreadLimit {
		limit += burstDeviations * math.Sqrt(limit)
	}
	return limit
}

// dashboardsAtLimit reports whether the engine has as many dashboard threads in
// flight as it may.
func (g *Gateway) dashboardsAtLimit(c *class, e *engine) bool {
	return float64(e.limit.dashboards.threadsInFlight) >= g.dashboardConcurrencyLimit(c, e)
}
