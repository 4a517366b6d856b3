package cluster

import (
	"errors"
	"net/netip"

	"dewhill/internal/lease"
	"dewhill/internal/membership"
	"dewhill/internal/peer"
	"dewhill/internal/replication"
)

// Host is the event loop to which a Cluster is confined.
type Host interface {
	// Now returns the loop's time in ms.
	Now() float64
	// After calls f in the loop after the given number of ms.
	After(ms float64, f func())
	// Post calls f in the loop soon. It may be called on any goroutine.
	Post(f func())
	Logf(format string, args ...any)
}

// Link sends datagrams to the configured front end num or, if num is negative, to an
// address.
type Link interface {
	SendTo(num int, to netip.AddrPort, msg []byte) error
}

// Store is durable storage (internal/store).
type Store interface {
	// Get returns the value of a key, or nil if there is none.
	Get(key string) ([]byte, error)
	// All returns the values whose keys begin with a prefix, by the rest of the key.
	All(prefix string) (map[string][]byte, error)
	// PutAsync stores a value. Once the value is durable, it calls the callback, unless
	// that is nil, on any goroutine.
	PutAsync(key string, value []byte, callback func())
}

// Identity identifies this front end.
type Identity struct {
	Name  string
	Index int              // index in Peers
	Peers []netip.AddrPort // configured front ends; empty if none are configured
	Addr  netip.AddrPort
	Seed  uint64 // for random choices; different in each process
}

// The key of the persisted incarnation, and the prefix of the persisted keys of each of the
// other state machines.
const (
	incarnationKey    = "incarnation"
	overrideKeyPrefix = "word/"
	leaseKeyPrefix    = "loads/"
)

// maxLoggedChanges limits the log lines about changes, because a log may be kept in
// memory.
const maxLoggedChanges = 500

// Counters count the datagrams of all components since the start of the process.
type Counters struct {
	DatagramsSent     int            `json:"Sent"`
	DatagramsReceived int            `json:"Received"`
	UnknownKind       int            `json:"Foreign"` // of an unknown kind, or for a component that is off
	Malformed         int            `json:"Spoilt"`
	OtherVersion      int            `json:"OtherVersion"`
	SendErrors        int            `json:"SendErrors"`
	BytesSentByKind   map[string]int `json:"Bytes"`
}

// Cluster runs the components of one front end that maintain the state that the fleet
// shares.
type Cluster struct {
	host     Host
	link     Link
	store    Store // nil: no durable storage
	identity Identity
	closed   bool

	members   *memberAdapter
	overrides *overrideAdapter // nil: replication is off
	leases    *leaseAdapter    // nil: replication is off

	Counters Counters
}

// New starts the components of this front end. Unless included is nil, it is called each
// time when the set of configured front ends that are included in the division of work
// changes; its argument reports for each front end, by number, whether it is included.
// Without a store, a restarted front end receives its previous incarnation from other front
// ends.
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

// membersChanged notifies the layers above the view of a change of the members.
func (c *Cluster) membersChanged() {
	if c.overrides == nil {
		return
	}
	c.overrides.apply(replication.MembersChanged(c.members.view.Roster()))
	c.leases.apply(lease.MembersChanged(c.members.view.Roster()))
}

// Send sends a message of a kind to the configured front end num or, if num is negative, to
// an address. Failures are counted, and the first failure is logged.
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

// sendAll sends the messages of a component.
func (c *Cluster) sendAll(kind peer.Kind, sends []membership.Send) {
	for _, send := range sends {
		c.Send(kind, send.To.Number, send.To.Addr, send.Message)
	}
}

// Receive handles a datagram from the configured front end num or, if num is negative, from
// an address. It counts and drops datagrams that are malformed, of another version, or of a
// kind that no component handles.
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

// persistedRecords returns the values that are stored under a prefix. If they cannot be
// read, it logs the error and returns no values.
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

// persist stores a value, and calls the callback in the loop once the value is durable.
func (c *Cluster) persist(key string, value []byte, callback func()) {
	c.store.PutAsync(key, value, func() { c.host.Post(callback) })
}

// Leave announces that this front end is shutting down. The front end still replies to
// messages until Close.
func (c *Cluster) Leave() { c.members.apply(membership.ShutdownStarted{}) }

// Close stops the components of this front end without an announcement, because another
// process has replaced this process.
func (c *Cluster) Close() { c.closed = true }
