package demand

import (
	"iter"
	"slices"
)

const (
	// MaxLoadGossipFleet is the largest fleet whose gateways broadcast their loads,
	// and each change of them at once.
	MaxLoadGossipFleet = 8

	// broadcastIntervalPerGatewayMS bounds the traffic: each gateway sends to all
	// others, so the fleet's messages grow with the square of its size.
	broadcastIntervalPerGatewayMS = 100.0
	minBroadcastIntervalMS        = 1000.0

	// maxMissedBroadcasts is how many broadcasts a peer may miss before it no longer counts.
	maxMissedBroadcasts = 3.0
)

// Load names a load that is in flight.
type Load struct {
	Engine  uint32 // tag of its engine
	Dataset uint32
}

// peerState is what was last received of a peer.
type peerState struct {
	demand       []float64 // vector
	loads        []Load
	receivedAtMS float64
}

// broadcastIntervalMS is the time between a gateway's broadcasts. It follows the
// configuration and not the view of the fleet: a gateway that is cut off must not
// send more often to those it does not reach.
func (t *Tracker) broadcastIntervalMS() float64 {
	return max(minBroadcastIntervalMS, broadcastIntervalPerGatewayMS*float64(t.gatewayCount))
}

// expiryMS is the age at which a peer's state no longer counts.
func (t *Tracker) expiryMS() float64 { return maxMissedBroadcasts * t.broadcastIntervalMS() }

// LoadsChanged records that a load started or ended.
func (t *Tracker) LoadsChanged() { t.loadsChanged = true }

// BroadcastDue reports whether peers must be sent the message that Encode returns:
// at a sweep, when the broadcast interval has passed, and in a small fleet at any
// time when a load has changed. If so, it takes the broadcast as sent, and at the
// interval drops the state of peers that have missed theirs.
func (t *Tracker) BroadcastDue(nowMS float64, sweep bool) bool {
	if !t.canBroadcast || t.gatewayCount < 2 {
		return false
	}
	intervalPassed := sweep && nowMS >= t.nextBroadcastAtMS
	urgent := t.loadsChanged && t.gatewayCount <= MaxLoadGossipFleet
	if !intervalPassed && !urgent {
		return false
	}
	t.loadsChanged = false
	if intervalPassed {
		t.nextBroadcastAtMS = nowMS + t.broadcastIntervalMS()
		t.expirePeers(nowMS - t.expiryMS())
	}
	return true
}

// Encode returns the message for peers: all state each time, as any message may be
// lost. It has at most MaxMessageBytes; loads that do not fit are left out, and in
// a fleet larger than MaxLoadGossipFleet all loads are.
func (t *Tracker) Encode(nowMS float64, loads iter.Seq[Load]) []byte {
	var message []byte
	for i := range t.ownDemand {
		message = appendDemand(message, t.steadyDemand(nowMS, i))
	}
	if t.gatewayCount > MaxLoadGossipFleet {
		return message
	}
	for load := range loads {
		if len(message)+loadBytes > MaxMessageBytes {
			break
		}
		message = appendLoad(message, load)
	}
	return message
}

// Receive takes a message of a peer, which replaces its earlier ones. A malformed
// message, or one of a peer that is not of this fleet, is dropped.
func (t *Tracker) Receive(nowMS float64, peer int, message []byte) {
	if peer < 0 || peer >= t.gatewayCount { // expirePeers goes through no others
		return
	}
	state, err := decodeMessage(message, len(t.ownDemand))
	if err != nil {
		return
	}
	state.receivedAtMS = nowMS
	previous := t.peers[peer].demand
	t.peers[peer] = state
	for i, value := range state.demand {
		t.peerDemand[i] += value
		if previous != nil {
			t.peerDemand[i] -= previous[i]
		}
	}
}

// expirePeers drops state received before a time, and sums the rest anew.
func (t *Tracker) expirePeers(receivedBeforeMS float64) {
	clear(t.peerDemand)
	for peer := range t.gatewayCount { // in order: a sum of floats depends on it
		state, ok := t.peers[peer]
		if !ok {
			continue
		}
		if state.receivedAtMS < receivedBeforeMS {
			delete(t.peers, peer)
			continue
		}
		for i, value := range state.demand {
			t.peerDemand[i] += value
		}
	}
}

// RunsAtPeer reports whether a peer has the load in flight, by its last message.
// In a fleet larger than MaxLoadGossipFleet it reports false.
func (t *Tracker) RunsAtPeer(nowMS float64, load Load) bool {
	if t.gatewayCount > MaxLoadGossipFleet {
		return false
	}
	for _, state := range t.peers {
		if nowMS < state.receivedAtMS+t.expiryMS() && slices.Contains(state.loads, load) {
			return true
		}
	}
	return false
}
