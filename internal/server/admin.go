package server

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"

	"dewhill/internal/adminapi"
	"dewhill/internal/cluster"
	"dewhill/internal/replication"
)

const (
	handoverPollInterval = 100 * time.Millisecond
	maxEverListed        = 16384 // engines that are remembered as listed once
)

var (
	errNeverListed  = errors.New("never listed")
	errShuttingDown = errors.New("not taken any more")
	errNoResult     = errors.New("the front end ends")
)

// adminController carries out operators' calls: overrides of engines, service,
// counters, and the handover to a next process. It implements adminapi.Controller,
// whose methods are called from the goroutines of the API's server. Its fields
// belong to the loop, where nothing else is said.
type adminController struct {
	frontEnd     *platformFrontEnd
	handover     *handoverFile
	token        string       // of this process; constant
	listener     net.Listener // nil: operators can't call; constant
	maxOperators int          // that are connected at once; constant

	disabled         map[string]bool // engines, by override
	appliedSequence  int             // of the handover state
	everListed       map[string]bool // engines
	outOfService     bool            // by an operator
	handedOver       bool            // to another process
	lastSeenHandover os.FileInfo     // of the goroutine that polls the file
}

// newAdminController opens the operators' address and applies what an earlier process
// has left.
func newAdminController(f *platformFrontEnd, maxOperators int) (*adminController, error) {
	a := &adminController{
		frontEnd:     f,
		handover:     newHandoverFile(f.cfg.Name),
		token:        strconv.FormatUint(rand.Uint64(), 16),
		maxOperators: maxOperators,
		disabled:     map[string]bool{},
		everListed:   map[string]bool{},
	}
	if !f.cfg.operatorAPIEnabled() {
		return a, nil
	}
	state, err := a.handover.read()
	if err != nil {
		f.loop.Logf("engine overrides can't be read: %v", err)
	}
	if !f.cfg.replicates() { // else the cluster's state is newer
		a.applyHandover(state)
	}
	a.listener, err = listen(f.cfg.ControlListen, false)
	return a, err
}

// start serves operators from now on: clients can connect. Its goroutines end with
// the process.
func (a *adminController) start() {
	if a.listener == nil {
		return
	}
	if _, err := a.handover.update(func(state *handoverState) { state.ReadyProcess = a.token }); err != nil {
		a.frontEnd.loop.Logf("handover to this process can't be recorded: %v", err)
	}
	go a.pollHandover()
	go adminapi.New(a, a.maxOperators).Serve(a.listener)
}

// pollHandover applies what another process of this front end changes, and saves
// overrides that could not be saved when operators called.
func (a *adminController) pollHandover() {
	if a.frontEnd.cfg.replicates() {
		return // the cluster's state is newer
	}
	for range time.Tick(handoverPollInterval) {
		a.savePendingOverrides()
		a.applyChangedHandover()
	}
}

// savePendingOverrides saves them unless another process has taken over: operators
// call that one now.
func (a *adminController) savePendingOverrides() {
	if !a.handover.hasPending() || a.replaced() {
		return
	}
	if a.handover.recordPending() == nil {
		a.frontEnd.loop.Logf("engine overrides are saved for the next process")
	}
}

func (a *adminController) applyChangedHandover() {
	if !a.handover.changedSince(&a.lastSeenHandover) {
		return
	}
	state, err := a.handover.read()
	if err != nil {
		return
	}
	a.frontEnd.loop.runAndWait(func() { a.applyHandover(state) })
}

// replaced reports whether another process of this front end has become ready. It may
// be called from any goroutine.
func (a *adminController) replaced() bool {
	if a.listener == nil {
		return false
	}
	state, err := a.handover.read()
	return err == nil && state.ReadyProcess != "" && state.ReadyProcess != a.token
}

// handOver sends clients to the next process.
func (a *adminController) handOver() {
	a.handedOver = true
	a.updateDraining()
}

// updateDraining has the HTTP server send clients away or take them.
func (a *adminController) updateDraining() {
	a.frontEnd.httpServer.SetDraining(!a.acceptsClients())
}

func (a *adminController) acceptsClients() bool {
	return !a.outOfService && !a.handedOver && a.caughtUp()
}

func (a *adminController) caughtUp() bool {
	return a.frontEnd.cluster == nil || a.frontEnd.cluster.CaughtUp()
}

// Ready reports whether this process takes clients.
func (a *adminController) Ready() bool {
	ready := false
	a.frontEnd.loop.runAndWait(func() { ready = a.acceptsClients() && !a.frontEnd.shuttingDown })
	return ready
}

// SetInService sends clients away from this front end, or takes them again. Where the
// fleet replicates its state, it returns once the override is stored there.
func (a *adminController) SetInService(inService bool) error {
	f := a.frontEnd
	if f.cfg.replicates() {
		return a.writeOverride(replication.Key{Kind: replication.FrontEnd, ID: f.cfg.Name}, !inService)
	}
	f.loop.runAndWait(func() { a.applyInService(inService) })
	return nil
}

func (a *adminController) applyInService(inService bool) {
	a.outOfService = !inService
	a.frontEnd.loop.Logf("in service: %v", inService)
	a.updateDraining()
}

// CountersJSON returns the figures that operators fetch, as JSON.
func (a *adminController) CountersJSON() []byte {
	var text []byte
	a.frontEnd.loop.runAndWait(func() {
		// Plain numbers and strings: they can be encoded.
		text, _ = json.Marshal(a.frontEnd.operatorReport())
	})
	return text
}

// FleetJSON returns the members of the cluster as JSON; nil: there is no cluster.
func (a *adminController) FleetJSON() []byte {
	return a.clusterJSON((*cluster.Cluster).MembersJSON)
}

// StateJSON returns the replicated state as JSON; nil: there is none.
func (a *adminController) StateJSON() []byte {
	return a.clusterJSON((*cluster.Cluster).StateJSON)
}

// clusterJSON has the cluster describe itself; nil: there is no cluster.
func (a *adminController) clusterJSON(describe func(*cluster.Cluster) []byte) []byte {
	var text []byte
	a.frontEnd.loop.runAndWait(func() {
		if a.frontEnd.cluster != nil {
			text = describe(a.frontEnd.cluster)
		}
	})
	return text
}
