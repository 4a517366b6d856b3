package membership

import "net/netip"

// State is a member's state in a view.
type State uint8

// The states, in the order in which they override one another within one
// incarnation. Their numbers are part of the wire format.
const (
	Unknown State = iota // no message from or about the member was received
	Alive
	Suspect
	Dead
	Left // shut down gracefully
)

// String returns the state's name in logs and in the operators' API.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[min(s, Left)]
}

// Member is a member of the fleet, with its state in a view.
type Member struct {
	Number      int // index in the configured list; negative: unlisted
	Name        string
	Addr        netip.AddrPort
	Incarnation uint32
	State       State
	SinceMS     float64 // time of the last change of incarnation or state
}

// Peer identifies another member by its index in the list or, if that is negative,
// by its address.
type Peer struct {
	Number int
	Addr   netip.AddrPort
}

// Roster lists the other members that have not left.
type Roster struct {
	Alive []Peer // alive or suspect
	All   []Peer
	Size  int // fleet size, including this front end
}

// entry is a member with the local data that this front end keeps about it.
type entry struct {
	Member
	key uint64 // hash of the member's number or name, the same in every view

	bootID              uint32  // of its process; 0: no message received under this incarnation
	incarnationReused   bool    // messages of two processes were received under this incarnation
	incarnationSeenAtMS float64 // time at which this incarnation was first received
	lastReceivedMS      float64 // time of the last message received from the member
	lastRepliedMS       float64 // time of the last reply to the member

	suspicion suspicion // valid while the state is Suspect
	probing   bool      // a probe of the member is in flight

	updateTransmits int // number of datagrams that must still carry its state
	nameTransmits   int // number of datagrams that must still carry its name
	liveIndex       int // in View.live; negative: not live
	ringIndex       int // in View.ring
}

// isLive reports whether the member is alive or suspect in this view. It is false
// for this front end itself, which is not a target of probes and gossip.
func (e *entry) isLive() bool { return e.liveIndex >= 0 }

// sameStateAs reports whether two members have the same incarnation and state.
func (e *entry) sameStateAs(other *entry) bool {
	return e.Incarnation == other.Incarnation && e.State == other.State
}

// countTransmit counts a datagram that carries the member's state.
func (e *entry) countTransmit() { e.updateTransmits = max(0, e.updateTransmits-1) }
