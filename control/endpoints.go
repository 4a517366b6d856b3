package control

import "slices"

const (
	removedEngineTTLMS = 60000.0 // state of a removed engine is kept this long, as it may be listed again

	// The delay between a failed request for the endpoint list and the next one is
	// minWatchRetryMS plus a random part of watchRetryJitterMS: the discovery service
	// may be down because too many gateways poll it at once.
	minWatchRetryMS    = 500.0
	watchRetryJitterMS = 5000.0
)

// updateEndpoints applies a snapshot of the endpoint list or an incremental update.
func (g *Gateway) updateEndpoints(list []EngineInfo, snapshot bool) {
	if snapshot {
		for _, e := range g.engines {
			e.listing.present = false
			e.listing.available = false
		}
	}
	for _, info := range list {
		e := g.engineByID[info.ID]
		if e == nil {
			e = g.newEngine(info)
			g.engines = append(g.engines, e)
			g.engineByID[info.ID] = e
		} else if info.StartedAtMS > e.StartedAtMS {
			e.health.reset() // restarted under the same ID
		}
		info.StartedAtMS = max(info.StartedAtMS, e.StartedAtMS)
		e.EngineInfo = info
		e.listing.present = !info.Removed
		g.updateAvailability(e)
	}
	clear(g.preferredEngines)
	g.markRemoved(snapshot)
	g.deleteRemovedEngines()
	g.recountEngines()
}

// retryWatch schedules another request for the endpoint list.
func (g *Gateway) retryWatch() {
	delayMS := minWatchRetryMS + g.rng.Float64()*watchRetryJitterMS
	g.emit(Action{Kind: SetTimer, DelayMS: delayMS, Timer: WatchTimer})
}

// updateAvailability recomputes whether an engine may be used.
func (g *Gateway) updateAvailability(e *engine) {
	_, disabled := g.disabledSinceMS[e.ID]
	e.listing.available = e.listing.present && !e.Draining && !disabled
}

// markRemoved marks the engines that are missing from a snapshot as removed, and
// updates the time at which the others were last present.
func (g *Gateway) markRemoved(snapshot bool) {
	for _, e := range g.engines {
		if snapshot && !e.listing.present {
			e.Removed = true
		}
		if !e.Removed {
			e.listing.lastPresentAtMS = g.nowMS
		}
	}
}

// deleteRemovedEngines deletes the engines that were removed longer than
// removedEngineTTLMS ago and run no attempt of this gateway.
func (g *Gateway) deleteRemovedEngines() {
	g.engines = slices.DeleteFunc(g.engines, func(e *engine) bool {
		stale := g.nowMS > e.listing.lastPresentAtMS+removedEngineTTLMS && e.load.threads() == 0
		if stale {
			delete(g.engineByID, e.ID)
		}
		return stale
	})
}

// disableEngine sets an administrative override: the engine is not used, even if
// the endpoint list shows it as active.
func (g *Gateway) disableEngine(id string) {
	if _, disabled := g.disabledSinceMS[id]; disabled {
		return
	}
	g.disabledSinceMS[id] = g.nowMS
	if e := g.engineByID[id]; e != nil {
		g.applyOverride(e)
	}
}

// enableEngine removes an administrative override. The engine is treated as just
// started unless the endpoint list shows a restart since it was disabled: the list
// lags by seconds, and the engine may be warming up.
func (g *Gateway) enableEngine(id string) {
	sinceMS, disabled := g.disabledSinceMS[id]
	if !disabled {
		return
	}
	delete(g.disabledSinceMS, id)
	e := g.engineByID[id]
	if e == nil {
		return
	}
	if e.StartedAtMS <= sinceMS {
		e.StartedAtMS = g.nowMS
	}
	e.health.reset()
	g.applyOverride(e)
}

// applyOverride updates the state that depends on the override of an engine.
func (g *Gateway) applyOverride(e *engine) {
	g.updateAvailability(e)
	clear(g.preferredEngines)
	g.recountEngines()
}

// recountEngines sums the cores of the available engines under each thread limit, and
// computes ejectionBalance.
func (g *Gateway) recountEngines() {
	g.ejectionBalance = 0
	for _, e := range g.engines {
		e.limit.availableCores = 0
	}
	for _, e := range g.engines {
		if !e.listing.available {
			continue
		}
		e.limit.availableCores += e.cores
		if e.health.ejected {
			g.ejectionBalance++
		} else {
			g.ejectionBalance--
		}
	}
}

// EngineCounts returns the number of engines in the endpoint list, and how many of
// them receive no requests because they are draining, disabled or ejected.
func (g *Gateway) EngineCounts() (listed, outOfService int) {
	for _, e := range g.engines {
		if !e.listing.present {
			continue
		}
		listed++
		if !e.listing.available || g.isEjected(e) {
			outOfService++
		}
	}
	return listed, outOfService
}
