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
	maxEverListed        = 16384 // ids of listed engines that are kept
)

var (
	errNeverListed  = errors.New("never listed")
	errShuttingDown = errors.New("not taken any more")
	errNoResult     = errors.New("the front end ends")
)

// adminController implements the operators' API: overrides of engines, taking the front
// end out of service, and counters. It also hands over to the next process in an upgrade.
// The methods of adminapi.Controller are called on goroutines of the API's server. Fields
// belong to the loop unless their comment says otherwise.
type adminController struct {
	frontEnd     *platformFrontEnd
	handover     *handoverFile
	token        string       // identifies this process; constant
	listener     net.Listener // nil: the operators' API is off; constant
	maxOperators int          // limit of connections at once; constant

	disabled         map[string]bool // engines that are disabled by override
	appliedSequence  int             // sequence of the handover state that was applied last
	everListed       map[string]bool // engines that were listed, also if they have been removed
	outOfService     bool            // by an operator
	handedOver       bool            // another process has taken over
	lastSeenHandover os.FileInfo     // belongs to the goroutine that polls the file
}

// newAdminController opens the operators' address and applies the overrides that an
// earlier process recorded.
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
	if !f.cfg.replicates() { // with replication, the cluster's state is newer
		a.applyHandover(state)
	}
	a.listener, err = listen(f.cfg.ControlListen, false)
	return a, err
}

// start records that this process is ready, and starts the operators' API. It is called
// once clients can connect. Its goroutines end with the process.
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

// pollHandover applies the overrides that another process of this front end records, and
// saves the overrides of this process that could not be saved before.
func (a *adminController) pollHandover() {
	if a.frontEnd.cfg.replicates() {
		return // with replication, the cluster's state is newer
	}
	for range time.Tick(handoverPollInterval) {
		a.savePendingOverrides()
		a.applyChangedHandover()
	}
}

// savePendingOverrides saves pending overrides, unless another process has taken over:
// operators call that process now.
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

// handOver drains the clients of this process, which then connect to the next one.
func (a *adminController) handOver() {
	a.handedOver = true
	a.updateDraining()
}

// updateDraining makes the HTTP server drain its clients, or stop draining them if this
// process accepts clients.
func (a *adminController) updateDraining() {
	a.frontEnd.httpServer.SetDraining(!a.acceptsClients())
}

// acceptsClients reports whether clients should connect to this process, shutdowns aside.
func (a *adminController) acceptsClients() bool {
	return !a.outOfService && !a.handedOver && a.caughtUp()
}

func (a *adminController) caughtUp() bool {
	return a.frontEnd.cluster == nil || a.frontEnd.cluster.CaughtUp()
}

// votesOnLeases reports whether this front end has the records of the loads that the
// fleet has run. Until then the restart of another one takes a second vote from the fleet.
func (a *adminController) votesOnLeases() bool {
	return a.frontEnd.cluster == nil || a.frontEnd.cluster.VotesOnLeases()
}

// Ready reports whether this process accepts clients and another front end may be
// restarted.
func (a *adminController) Ready() bool {
	ready := false
	a.frontEnd.loop.runAndWait(func() {
		ready = a.acceptsClients() && a.votesOnLeases() && !a.frontEnd.shuttingDown
	})
	return ready
}

// SetInService takes this front end out of service or puts it back in service. If the
// fleet replicates its state, it returns once enough front ends have stored the override.
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

// CountersJSON returns the counters for operators as JSON.
func (a *adminController) CountersJSON() []byte {
	var text []byte
	a.frontEnd.loop.runAndWait(func() {
		// The report consists of numbers and strings: encoding it can't fail.
		text, _ = json.Marshal(a.frontEnd.operatorReport())
	})
	return text
}

// FleetJSON returns the members of the cluster as JSON, or nil if there is no cluster.
func (a *adminController) FleetJSON() []byte {
	return a.clusterJSON((*cluster.Cluster).MembersJSON)
}

// StateJSON returns the replicated state as JSON, or nil if there is none.
func (a *adminController) StateJSON() []byte {
	return a.clusterJSON((*cluster.Cluster).StateJSON)
}

// clusterJSON calls describe with the cluster on the loop. It returns nil if there is no
// cluster.
func (a *adminController) clusterJSON(describe func(*cluster.Cluster) []byte) []byte {
	var text []byte
	a.frontEnd.loop.runAndWait(func() {
		if a.frontEnd.cluster != nil {
			text = describe(a.frontEnd.cluster)
		}
	})
	return text
}
