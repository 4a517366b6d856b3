package cluster

import (
	"errors"
	"net/netip"

	"dewhill/internal/lease"
	"dewhill/internal/membership"
	"dewhill/internal/peer"
	"dewhill/internal/replication"
)

// Host is the event loop that a Cluster is confined to.
type Host interface {
	// Now returns the loop's time in ms.
	Now() float64
	// After calls f in the loop after some ms.
	After(ms float64, f func())
	// Post calls f in the loop soon. It may be called on any goroutine.
	Post(f func())
	Logf(format string, args ...any)
}

// Link sends datagrams to the listed front end num or, where that is negative, to
// an address.
type Link interface {
	SendTo(num int, to netip.AddrPort, msg []byte) error
}

// Store is durable storage (internal/store).
type Store interface {
	// Get returns the value of a key; nil: none.
	Get(key string) ([]byte, error)
	// All returns the values whose keys have a prefix, by the rest of the key.
	All(prefix string) (map[string][]byte, error)
	// PutAsync writes a value and then calls the function, if it is not nil, on any
	// goroutine, once the value is durable.
	PutAsync(key string, value []byte, callback func())
}

// Identity identifies this front end.
type Identity struct {
	Name  string
	Index int              // in Peers
	Peers []netip.AddrPort // configured front ends; none: unlisted fleet
	Addr  netip.AddrPort
	Seed  uint64 // for random choices, another one in each process
}

// The prefix of persisted keys of each state machine, and the key of the
// incarnation.
const (
	incarnationKey    = "incarnation"
	overrideKeyPrefix = "word/"
	leaseKeyPrefix    = "loads/"
)

// maxLoggedChanges bounds the log lines about changes, for logs that are kept in
// memory.
const maxLoggedChanges = 500

// Counters count the datagrams of all parts since the start.
type Counters struct {
	DatagramsSent     int            `json:"Sent"`
	DatagramsReceived int            `json:"Received"`
	UnknownKind       int            `json:"Foreign"` // for a part that is off, or of an unknown kind
	Malformed         int            `json:"Spoilt"`
	OtherVersion      int            `json:"OtherVersion"`
	SendErrors        int            `json:"SendErrors"`
	BytesSentByKind   map[string]int `json:"Bytes"`
}

// Cluster is one front end's part in the state that the fleet shares.
type Cluster struct {
	host     Host
	link     Link
	store    Store // nil: none
	identity Identity
	closed   bool

	members   *memberAdapter
	overrides *overrideAdapter // nil: replication is off
	leases    *leaseAdapter    // nil: replication is off

	Counters Counters
}

// New starts this front end's part. included is called with the listed front ends
// that are included in the division of work, by number, each time they change; nil:
// not wanted. Without a store, others tell a restarted front end which incarnation
// it had.
func New(options Options, identity Identity, host Host, link Link, store Store, included func([]bool)) *Cluster {
	c := &Cluster{host: host, link: link, store: store, identity: identity}
	c.Counters.BytesSentByKind = map[string]int{}
	c.members = newMemberAdapter(c, &options, included)
	if options.Replication.Enabled {
		c.overrides = newOverrideAdapter(c, &options)
		c.leases = newLeaseAdapter(c, &options)
	}
	c.members.apply(membership.Start{})
	if c.overrides != nil {
		c.overrides.apply(replication.MembersChanged(c.members.view.Roster()))
		c.overrides.apply(replication.Start{})
		c.leases.apply(lease.MembersChanged(c.members.view.Roster()))
		c.leases.apply(lease.Start{})
	}
	return c
}

// membersChanged notifies the layers above the view of a change.
func (c *Cluster) membersChanged() {
	if c.overrides == nil {
		return
	}
	c.overrides.apply(replication.MembersChanged(c.members.view.Roster()))
	c.leases.apply(lease.MembersChanged(c.members.view.Roster()))
}

// Send sends a message of a kind to the listed front end num or, where that is
// negative, to an address. A failure is counted, and the first one logged.
func (c *Cluster) Send(kind peer.Kind, num int, to netip.AddrPort, body []byte) {
	datagram := peer.Wrap(kind, body)
	c.Counters.DatagramsSent++
	c.Counters.BytesSentByKind[kind.String()] += len(datagram)
	if err := c.link.SendTo(num, to, datagram); err != nil {
		c.Counters.SendErrors++
		if c.Counters.SendErrors == 1 {
			c.host.Logf("cluster: send datagram: %v", err)
		}
	}
}

// sendAll sends the messages of a part.
func (c *Cluster) sendAll(kind peer.Kind, sends []membership.Send) {
	for _, send := range sends {
		c.Send(kind, send.To.Number, send.To.Addr, send.Message)
	}
}

// Receive handles a datagram from the listed front end num or, where that is
// negative, from an address. A malformed one, one of another version and one that
// no part takes are counted and dropped.
func (c *Cluster) Receive(num int, from netip.AddrPort, datagram []byte) {
	c.Counters.DatagramsReceived++
	kind, body, err := peer.Unwrap(datagram)
	switch {
	case errors.Is(err, peer.ErrVersion):
		c.Counters.OtherVersion++
	case err != nil:
		c.Counters.Malformed++
	case c.closed:
	case kind == peer.Membership:
		c.members.apply(membership.MessageReceived{Number: num, From: from, Message: body})
	case kind == peer.Lease && c.leases != nil:
		c.leases.apply(lease.MessageReceived{From: sender(num, from), Message: body})
	case kind == peer.Replication && c.overrides != nil:
		c.overrides.apply(replication.MessageReceived{From: sender(num, from), Message: body})
	default:
		c.Counters.UnknownKind++
	}
}

// sender identifies the sender of a datagram to the layers above the view.
func sender(num int, from netip.AddrPort) membership.Peer {
	if num >= 0 {
		return membership.Peer{Number: num}
	}
	return membership.Peer{Number: num, Addr: from}
}

// persistedRecords returns the values that were stored under a prefix. An error is logged
// and counts as none.
func (c *Cluster) persistedRecords(prefix, component string) map[string][]byte {
	if c.store == nil {
		return nil
	}
	values, err := c.store.All(prefix)
	if err != nil {
		c.host.Logf("%s: read persisted records: %v", component, err)
	}
	return values
}

// persist stores a value and then calls a function in the loop.
func (c *Cluster) persist(key string, value []byte, callback func()) {
	c.store.PutAsync(key, value, func() { c.host.Post(callback) })
}

// Leave announces that this front end shuts down. It goes on answering until
// Close.
func (c *Cluster) Leave() { c.members.apply(membership.ShutdownStarted{}) }

// Close ends this front end's part without an announcement: another process has
// taken its place.
func (c *Cluster) Close() { c.closed = true }
