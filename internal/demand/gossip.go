package demand

import (
	"iter"
	"slices"
)

const (
	// MaxLoadGossipFleet is the largest number of gateways of a fleet in which gateways
	// broadcast their loads in flight, and broadcast each change of them at once.
	MaxLoadGossipFleet = 8

	// broadcastIntervalPerGatewayMS bounds the traffic: each gateway sends to all
	// others, so the number of messages grows with the square of the fleet's size.
	broadcastIntervalPerGatewayMS = 100.0
	minBroadcastIntervalMS        = 1000.0

	// maxMissedBroadcasts is the number of broadcasts that a peer may miss before its
	// state expires.
	maxMissedBroadcasts = 3.0
)

// Load identifies a load that is in flight.
type Load struct {
	Engine  uint32 // hash of the engine's ID
	Dataset uint32
}

// peerState is the state that was last received from a peer.
type peerState struct {
	demand       []float64 // demand vector
	loads        []Load
	receivedAtMS float64
}

// broadcastIntervalMS returns the time between two broadcasts of a gateway. It depends
// on the configured number of gateways and not on those alive: a gateway that is
// partitioned from its peers must not send to them more often.
func (t *Tracker) broadcastIntervalMS() float64 {
	return max(minBroadcastIntervalMS, broadcastIntervalPerGatewayMS*float64(t.gatewayCount))
}

// expiryMS returns the age at which a peer's state expires.
func (t *Tracker) expiryMS() float64 { return maxMissedBroadcasts * t.broadcastIntervalMS() }

// LoadsChanged records that a load of this gateway started or ended.
func (t *Tracker) LoadsChanged() { t.loadsChanged = true }

// BroadcastDue reports whether the message that Encode returns must be sent to the peers
// now: at the first sweep after the broadcast interval has passed, and in a small fleet
// also as soon as the loads have changed. If it returns true, the caller must send the
// broadcast: the next one is scheduled. Once per interval, it also drops the state of
// peers that has expired.
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

// Encode returns the message for the peers. Each message holds the complete state, as
// any message may be lost. It has at most MaxMessageBytes; loads that do not fit are
// omitted. In a fleet larger than MaxLoadGossipFleet it holds no loads.
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

// Receive stores the state of a peer from its message, in place of the earlier state. A
// message that is malformed or whose peer index is out of range is dropped.
func (t *Tracker) Receive(nowMS float64, peer int, message []byte) {
	if peer < 0 || peer >= t.gatewayCount { // expirePeers visits only these indices
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

// expirePeers drops the state received before a time, and recomputes the sum of the rest.
func (t *Tracker) expirePeers(receivedBeforeMS float64) {
	clear(t.peerDemand)
	for peer := range t.gatewayCount { // in a fixed order, as a floating-point sum depends on the order
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

// RunsAtPeer reports whether a peer has the load in flight, according to its last
// message. In a fleet larger than MaxLoadGossipFleet it returns false.
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
