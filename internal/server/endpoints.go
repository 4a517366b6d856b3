package server

import (
	"context"
	"slices"

	"dewhill/control"
	"dewhill/internal/descriptors"
	"dewhill/internal/discovery"
	"dewhill/internal/dispatch"
)

// startDiscovery applies the engines that are known and watches the endpoint list:
// from then on requests are sent.
func (f *platformFrontEnd) startDiscovery() {
	f.discoveryStarted = true
	f.applyUpdates(&f.cfg.InitialUpdates)
	f.watchDiscovery(f.cfg.DiscoveryAddress)
}

// watchDiscovery watches the endpoint list at an address, and no other one any more.
// Revisions go on: the watch asks for what comes after the last update applied.
// Its goroutine ends when stopWatch is called.
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
			// Guards the revisions against an answer from an address that has been left
			// since: the next one is asked for the same, which would be passed over.
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

// applyUpdates applies updates of the endpoint list. The dispatcher is shown engines
// by their ids alone; the pool knows their addresses.
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
		// Once for all updates that came together: each time a subset is selected.
		f.publishEndpoints()
		// Once the dispatcher knows, or it would send there again.
		f.enginePool.WithdrawUnwritten()
	}
	f.counters.ListedEngines = len(f.endpoints.engines)
	f.counters.MaxUpdateMS = max(f.counters.MaxUpdateMS, f.loop.Now()-startMS)
}

// applyUpdate applies one update and reports whether the list has changed.
func (f *platformFrontEnd) applyUpdate(update *discovery.Update) (changed bool) {
	// Guards against an update that comes twice, from an address that was left and
	// from the next: the older one would undo what came after it.
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

// applyEndpoint has the log, the operators' API and the pool know of an endpoint.
func (f *platformFrontEnd) applyEndpoint(e *discovery.Endpoint) {
	f.endpointLinesLogged++
	if f.endpointLinesLogged < maxLinesPerKind {
		f.loop.Logf("engine %s at %s: %s, started at %.0f", e.ID, e.Address, e.State, e.StartedAtMS)
	}
	f.admin.recordListed(e.ID)
	f.enginePool.SetEndpoint(e.ID, e.Address, e.State == discovery.Draining, e.State == discovery.Removed)
}

// engineInfo is an endpoint as the dispatcher is shown it.
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

// publishEndpoints shows the dispatcher the engines that this front end may use.
func (f *platformFrontEnd) publishEndpoints() {
	f.loop.apply(dispatch.EndpointsChanged{Snapshot: true, Engines: f.endpoints.visible()})
}

// engineCounts counts the engines in the list, and those of them that this front end
// does not use now: outside its subset, draining, disabled or ejected.
func (f *platformFrontEnd) engineCounts() (listed, unused int) {
	visible, visibleUnused := f.loop.dispatcher.EngineCounts()
	listed = f.endpoints.listedCount()
	return listed, listed - (visible - visibleUnused)
}
