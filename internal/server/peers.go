package server

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"syscall"

	"dewhill/control"
	"dewhill/internal/cluster"
	"dewhill/internal/dispatch"
	"dewhill/internal/peer"
	"dewhill/internal/store"
)

// openPeers opens the transport between front ends and joins the cluster, if they are
// configured. A goroutine receives datagrams and posts them to the loop until the
// transport is closed.
func (f *platformFrontEnd) openPeers(settings control.Settings) error {
	if f.cfg.PeerListen == "" || !settings.CanGossip && !f.cfg.Cluster.Enabled {
		return nil
	}
	transport, err := f.openTransport(settings.GatewayIndex)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	f.peers = transport
	f.loop.broadcast = f.broadcast
	if err := f.joinCluster(settings.GatewayIndex); err != nil {
		return err
	}
	received := func(peerIndex int, from netip.AddrPort, message []byte) {
		f.loop.Post(func() { f.receiveDatagram(peerIndex, from, message) })
	}
	unknownSender := func() {
		f.loop.Post(func() { f.counters.UnknownSenders++ })
	}
	go transport.Receive(received, unknownSender)
	return nil
}

// openTransport opens the socket for datagrams. If state is replicated, the socket is not
// shared, and an address that is in use is an error: two processes with the same name
// would each vote and acknowledge from a separate state.
func (f *platformFrontEnd) openTransport(selfIndex int) (*peer.Transport, error) {
	open := func(shared bool) (*peer.Transport, error) {
		return peer.Open(listenConfig(shared), f.cfg.PeerListen, f.cfg.Peers, f.cfg.PeersAll, selfIndex)
	}
	if !f.cfg.replicates() {
		return retryAddressInUse(func() (*peer.Transport, error) { return open(f.cfg.operatorAPIEnabled()) })
	}
	transport, err := open(false)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, fmt.Errorf("%w: another process of this name? With [replica] on, end it first", err)
	}
	return transport, err
}

// joinCluster makes this front end a member of the cluster, if the cluster is enabled.
func (f *platformFrontEnd) joinCluster(selfIndex int) error {
	options := f.cfg.Cluster
	if !options.Enabled {
		return nil
	}
	state, err := f.openStore(options.StateDir)
	if err != nil {
		return err
	}
	f.peers.MaxDatagramBytes = max(f.peers.MaxDatagramBytes, options.MaxDatagramBytes)
	f.peers.AcceptUnlisted = len(options.Seeds) > 0
	identity := cluster.Identity{
		Name:  f.cfg.Name,
		Index: selfIndex,
		Peers: f.peers.Peers(),
		Addr:  f.peers.Addr(),
		// Not the seed in the configuration: a restarted process must not be mistaken for
		// the previous one.
		Seed: rand.Uint64(),
	}
	f.cluster = cluster.New(options, identity, f.loop, f.peers, state, f.setAliveFrontEnds)
	return nil
}

// openStore opens the store in a directory in which the cluster's state is persisted. It
// returns nil if dir is empty.
func (f *platformFrontEnd) openStore(dir string) (cluster.Store, error) {
	if dir == "" {
		return nil, nil
	}
	logState := func(line string) { f.loop.Logf("state: %s", line) }
	opened, note, err := store.Open(dir, f.cfg.Name, logState)
	if err != nil {
		return nil, fmt.Errorf("state_dir: %w", err)
	}
	if note != "" {
		logState(note)
	}
	return opened, nil
}

// receiveDatagram handles a datagram. Gossip from a peer goes to the dispatcher. All other
// datagrams go to the cluster, or are only counted if there is no cluster. A negative
// index means that the sender is not in the list of peers.
func (f *platformFrontEnd) receiveDatagram(peerIndex int, from netip.AddrPort, message []byte) {
	kind, _, err := peer.Unwrap(message)
	switch {
	case err == nil && kind == peer.Demand && peerIndex >= 0:
		f.counters.GossipReceived++
		f.loop.apply(dispatch.GossipReceived{Peer: peerIndex, Message: message})
	case f.cluster != nil:
		f.cluster.Receive(peerIndex, from, message)
	default:
		f.counters.UnexpectedDatagrams++
	}
}

// broadcast sends gossip to all peers.
func (f *platformFrontEnd) broadcast(message []byte) {
	f.counters.GossipSent++
	if err := f.peers.Broadcast(message); err != nil {
		f.loop.Logf("peers: %v", err)
	}
}

// setAliveFrontEnds applies a change of the front ends that are alive: quotas and engines
// are divided among these. alive has the same indices as the list of peers.
func (f *platformFrontEnd) setAliveFrontEnds(alive []bool) {
	f.endpoints.plan.Alive = slices.Clone(alive)
	aliveCount := 0
	for _, isAlive := range alive {
		if isAlive {
			aliveCount++
		}
	}
	f.loop.Logf("fleet: %d of %d front ends are alive", aliveCount, len(alive))
	f.loop.apply(dispatch.FleetResized{AliveGateways: aliveCount})
	f.publishEndpoints()
}
