package server

import (
	"context"
	"slices"

	"dewhill/control"
	"dewhill/internal/descriptors"
	"dewhill/internal/discovery"
	"dewhill/internal/dispatch"
)

// startDiscovery applies the endpoint updates in the configuration and starts to watch
// the endpoint list. From then on requests are sent to engines.
func (f *platformFrontEnd) startDiscovery() {
	f.discoveryStarted = true
	f.applyUpdates(&f.cfg.InitialUpdates)
	f.watchDiscovery(f.cfg.DiscoveryAddress)
}

// watchDiscovery watches the endpoint list at an address, and stops the watch of the
// previous address. The new watch polls for updates after the last revision that was
// applied. Its goroutine ends when stopWatch is called.
func (f *platformFrontEnd) watchDiscovery(address string) {
	if address == f.discoveryAddress {
		return
	}
	if f.stopWatch != nil {
		f.stopWatch()
	}
	f.discoveryAddress = address
	f.stopWatch = nil
	if address == "" {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stopWatch = cancel
	received := func(updates *discovery.Updates) {
		f.loop.Post(func() {
			// Ignores a response from an address that is no longer watched. If it were
			// applied, the updates of the same revisions from the new address would be
			// skipped as already applied.
			if ctx.Err() == nil {
				f.applyUpdates(updates)
			}
		})
	}
	failed := func(err error) {
		f.loop.Post(func() { f.discoveryFailed(err) })
	}
	go discovery.Watch(ctx, address, f.revision, received, failed)
}

func (f *platformFrontEnd) discoveryFailed(err error) {
	f.counters.DiscoveryErrors++
	if f.counters.DiscoveryErrors < maxLinesPerKind {
		f.loop.Logf("endpoint list: %v", err)
	}
	if descriptors.Exhausted(err) {
		f.httpServer.FreeDescriptor()
	}
}

// applyUpdates applies updates of the endpoint list. The dispatcher receives only the ids
// of engines; the pool receives their addresses.
func (f *platformFrontEnd) applyUpdates(updates *discovery.Updates) {
	startMS := f.loop.Now()
	f.engineStarts.listUpdated(updates, startMS)
	changed := false
	for i := range updates.Updates {
		if f.applyUpdate(&updates.Updates[i]) {
			changed = true
		}
	}
	f.revision = max(f.revision, updates.Revision)
	if changed {
		// Once for all updates that were received together: each call selects a subset.
		f.publishEndpoints()
		// After the dispatcher was notified: before, it would send the withdrawn requests to
		// the same engines again.
		f.enginePool.WithdrawUnwritten()
	}
	f.counters.ListedEngines = len(f.endpoints.engines)
	f.counters.MaxUpdateMS = max(f.counters.MaxUpdateMS, f.loop.Now()-startMS)
}

// applyUpdate applies one update and reports whether the list has changed.
func (f *platformFrontEnd) applyUpdate(update *discovery.Update) (changed bool) {
	// The same update may be received twice, from the previous address of the list and
	// from the next. Applied again, it would undo the updates that followed it.
	if update.Revision <= f.revision {
		return false
	}
	f.revision = update.Revision
	f.counters.Updates++
	if update.Endpoints == nil {
		return false
	}
	snapshot, endpoints := update.Endpoints.Snapshot, update.Endpoints.Endpoints
	if f.endpoints.wouldEmptyList(snapshot, len(endpoints)) {
		f.counters.EmptySnapshots++
		f.loop.Logf("endpoint update %d: snapshot without engines ignored, the last list stays in use", update.Revision)
		return false
	}
	listed := map[string]bool{}
	engines := make([]control.EngineInfo, 0, len(endpoints))
	for i := range endpoints {
		f.applyEndpoint(&endpoints[i])
		engines = append(engines, f.engineInfo(&endpoints[i]))
		listed[endpoints[i].ID] = true
	}
	if snapshot {
		f.enginePool.Retain(listed)
	}
	f.endpoints.merge(snapshot, engines)
	return true
}

// applyEndpoint logs an endpoint and reports it to the operators' API and the pool.
func (f *platformFrontEnd) applyEndpoint(e *discovery.Endpoint) {
	f.endpointLinesLogged++
	if f.endpointLinesLogged < maxLinesPerKind {
		f.loop.Logf("engine %s at %s: %s, started at %.0f", e.ID, e.Address, e.State, e.StartedAtMS)
	}
	f.admin.recordListed(e.ID)
	f.enginePool.SetEndpoint(e.ID, e.Address, e.State == discovery.Draining, e.State == discovery.Removed)
}

// engineInfo converts an endpoint for the dispatcher. A zone or kind that the settings
// don't name has the index -1.
func (f *platformFrontEnd) engineInfo(e *discovery.Endpoint) control.EngineInfo {
	return control.EngineInfo{
		ID:          e.ID,
		Zone:        slices.Index(f.cfg.Settings.Zones, e.Zone),
		Kind:        slices.Index(f.cfg.Settings.EngineKinds, e.Kind),
		Cell:        e.Cell,
		Size:        e.Size,
		StartedAtMS: f.engineStarts.startedAtMS(e.ID, e.StartedAtMS),
		Draining:    e.State == discovery.Draining,
		Removed:     e.State == discovery.Removed,
	}
}

// publishEndpoints sends the dispatcher the engines of this front end's subset, with the
// draining, removed and overridden ones.
func (f *platformFrontEnd) publishEndpoints() {
	f.loop.apply(dispatch.EndpointsChanged{Snapshot: true, Engines: f.endpoints.visible()})
}

// engineCounts returns the number of engines in the list, and of those that this front end
// does not use now: outside its subset, draining, disabled or ejected.
func (f *platformFrontEnd) engineCounts() (listed, unused int) {
	visible, outOfService := f.loop.dispatcher.EngineCounts()
	listed = f.endpoints.listedCount()
	return listed, listed - (visible - outOfService)
}
