package control

import (
	"math"
	"slices"
)

const (
	fullThreadsPerCore = 1.3   // above it the total throughput of an engine decreases
	fullMemoryFraction = 0.8   // memory use at which an engine counts as full, as running work will use more
	probeIntervalMS    = 400.0 // between rounds of probes while work is queued for lack of a fresh report
	enginesPerProbe    = 2     // engines probed in a round
)

// valid reports whether all values of a report are finite numbers.
func (l *LoadReport) valid() bool {
	sum := l.InFlight + l.Queued + l.BusyFraction + l.MemoryFraction + l.DiskFraction
	return !math.IsNaN(sum) && !math.IsInf(sum, 0)
}

// recordLoadReport updates the load of an engine from a load report. The number of threads
// follows from the most used resource or from the number of requests, whichever yields
// more. A report that is nil or not valid has no effect.
func (g *Gateway) recordLoadReport(e *engine, report *LoadReport) {
	if report == nil || !report.valid() {
		return
	}
	usedFraction := max(report.BusyFraction, report.MemoryFraction/fullMemoryFraction, report.DiskFraction)
	requests := report.InFlight + max(0, report.Queued)
	e.load.reportedThreads = max(0,
		fullThreadsPerCore*e.cores*usedFraction,
		requests*g.estimates.threadsPerRequest())
	e.load.reportedAtMS = g.nowMS
	e.load.threadsSinceReport = 0
}

// handleProbeEnd records the result of a probe.
func (g *Gateway) handleProbeEnd(ev Event) {
	e := g.engineByID[ev.Engine]
	if e == nil {
		return
	}
	g.recordLoadReport(e, ev.LoadReport)
	if ev.Result == ConnectFailed {
		g.recordOutcome(e, ev.Result)
	}
}

// probeForHeadroom probes a few random engines that could run a queued request: its
// preferred engines during the first probe interval after its arrival, then any.
func (g *Gateway) probeForHeadroom(r *request) {
	if g.nowMS < g.nextProbeAtMS {
		return
	}
	candidates := g.engines
	if g.nowMS < r.arrivedAtMS+probeIntervalMS {
		candidates = g.preferred(r.dataset, r.class)
	}
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(e *engine) bool {
		return !e.sharesThreadLimit || !g.selectable(e, r)
	})
	g.rng.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	for _, e := range candidates[:min(enginesPerProbe, len(candidates))] {
		g.emit(Action{Kind: ProbeEngine, Engine: e.ID})
		g.nextProbeAtMS = g.nowMS + probeIntervalMS
	}
}
