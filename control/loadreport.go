package control

import (
	"math"
	"slices"
)

const (
	fullThreadsPerCore = 1.3   // past it an engine does less in all
	fullMemoryFraction = 0.8   // at which an engine is full, as more is on its way
	probeIntervalMS    = 400.0 // between probes while work is queued for want of a fresh report
	enginesPerProbe    = 2
)

// valid reports whether all values of a report are numbers.
func (l *LoadReport) valid() bool {
	sum := l.InFlight + l.Queued + l.BusyFraction + l.MemoryFraction + l.DiskFraction
	return !math.IsNaN(sum) && !math.IsInf(sum, 0)
}

// recordLoadReport takes a load report in: the engine is as full as the scarcest
// resource that it names. Reports that are absent or no numbers change nothing.
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

// probeForHeadroom probes a few engines, drawn at random, that a queued request
// might go to: its preferred ones at first, then any.
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
