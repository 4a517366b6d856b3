package server

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"dewhill/internal/adminapi"
	"dewhill/internal/cluster"
	"dewhill/internal/dispatch"
	"dewhill/internal/replication"
)

// overrideWriteTimeout is longer than any time that the settings allow for storing an
// override.
const overrideWriteTimeout = 90 * time.Second

// SetEngineOverride disables an engine or enables it again. It returns once the
// dispatcher has applied the override or, if the fleet replicates its state, once enough
// front ends have stored it. It returns an error for an engine that was never listed.
func (a *adminController) SetEngineOverride(engine string, disabled bool) error {
	f := a.frontEnd
	found := false
	f.loop.runAndWait(func() { found = a.everListed[engine] || a.disabled[engine] })
	if !found {
		return errNeverListed
	}
	if f.cfg.replicates() {
		return a.writeOverride(replication.Key{Kind: replication.Engine, ID: engine}, disabled)
	}
	state, err := a.handover.setOverride(engine, disabled)
	if err != nil {
		f.loop.Logf("engine overrides can't be saved for the next process: %v", err)
	}
	f.loop.runAndWait(func() { a.applyHandover(state) })
	return nil
}

// applyHandover applies the overrides in a handover state. It ignores a state that is
// older than the one applied last, which it would undo.
func (a *adminController) applyHandover(state handoverState) {
	if state.sequence <= a.appliedSequence {
		return
	}
	a.appliedSequence = state.sequence
	for id := range a.disabled {
		if !slices.Contains(state.DisabledEngines, id) {
			a.setEngineDisabled(id, false)
		}
	}
	for _, id := range state.DisabledEngines {
		a.setEngineDisabled(id, true)
	}
}

// setEngineDisabled applies an override of an engine, or lifts it.
func (a *adminController) setEngineDisabled(id string, disabled bool) {
	f := a.frontEnd
	if disabled == a.disabled[id] {
		return
	}
	if disabled {
		a.disabled[id] = true
		if f.endpoints.markOverridden(id) {
			f.publishEndpoints()
		}
		f.loop.Logf("engine %s disabled by override", id)
	} else {
		delete(a.disabled, id)
		f.endpoints.markEnabled(id)
		f.loop.Logf("engine %s enabled by override", id)
	}
	f.loop.apply(dispatch.OverrideChanged{Engine: id, Disabled: disabled})
}

// recordListed records that an engine was listed: operators may then override it.
func (a *adminController) recordListed(id string) {
	if len(a.everListed) >= maxEverListed {
		clear(a.everListed)
	}
	a.everListed[id] = true
}

// OverrideChanged applies an override from the fleet's replicated state. Like CaughtUp, it
// is called on the loop.
func (a *adminController) OverrideChanged(key replication.Key, disabled bool, _ string) {
	switch key.Kind {
	case replication.Engine:
		a.setEngineDisabled(key.ID, disabled)
	case replication.FrontEnd:
		if key.ID == a.frontEnd.cfg.Name && a.outOfService != disabled {
			a.applyInService(!disabled)
		}
	default: // a kind that a later version has added
	}
}

// CaughtUp starts discovery and stops draining clients. It is called once this front end has
// received the overrides of engines that it must not use, or stopped waiting for them.
func (a *adminController) CaughtUp() {
	a.frontEnd.startDiscovery()
	a.updateDraining()
}

// writeOverride writes an override to the fleet's replicated state, and waits until as
// many front ends have stored it as the settings require.
func (a *adminController) writeOverride(key replication.Key, disabled bool) error {
	f := a.frontEnd
	results := make(chan cluster.WriteResult, 1)
	var err error
	f.loop.runAndWait(func() {
		if f.cluster == nil || f.shuttingDown {
			err = errShuttingDown
			return
		}
		err = f.cluster.WriteOverride(key, disabled, results)
	})
	if err != nil {
		return err
	}
	select {
	case result := <-results:
		return writeError(result)
	case <-time.After(overrideWriteTimeout):
		return errNoResult
	}
}

// writeError returns an error for a write that too few front ends have stored, or nil if
// enough have stored it.
func writeError(result cluster.WriteResult) error {
	if result.OK {
		return nil
	}
	body, err := json.Marshal(result)
	if err != nil {
		return err
	}
	return &adminapi.RefusalError{Status: http.StatusServiceUnavailable, Body: body}
}
