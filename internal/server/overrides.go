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

// overrideWriteTimeout is beyond every time that the settings allow for an override to be
// stored.
const overrideWriteTimeout = 90 * time.Second

// SetEngineOverride disables an engine or enables it again. It returns once the
// dispatcher knows or, where the fleet replicates its state, once the override is
// stored there. An engine that was never listed is an error.
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

// applyHandover applies which engines are disabled. A state that was read before a
// later update must not undo it.
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

// setEngineDisabled has the dispatcher know that an engine is disabled by override, or
// no longer.
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
		f.loop.Logf("engine %s enabled by override", id)
	}
	f.loop.apply(dispatch.OverrideChanged{Engine: id, Disabled: disabled})
}

// recordListed remembers that an engine was listed: it may have an override.
func (a *adminController) recordListed(id string) {
	if len(a.everListed) >= maxEverListed {
		clear(a.everListed)
	}
	a.everListed[id] = true
}

// OverrideChanged applies an override of the fleet's replicated state. It is called in
// the loop, as is CaughtUp.
func (a *adminController) OverrideChanged(key replication.Key, disabled bool, _ string) {
	switch key.Kind {
	case replication.Engine:
		a.setEngineDisabled(key.ID, disabled)
	case replication.FrontEnd:
		if key.ID == a.frontEnd.cfg.Name && a.outOfService != disabled {
			a.applyInService(!disabled)
		}
	default: // of a kind that a later version has
	}
}

// CaughtUp lets this front end work: it knows which engines it must not use.
func (a *adminController) CaughtUp() {
	a.frontEnd.startDiscovery()
	a.updateDraining()
}

// writeOverride writes an override to the fleet's replicated state and waits until as
// many front ends hold it as the settings require.
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

// writeError is the refusal of a write that too few front ends hold; nil for one that
// enough hold.
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
