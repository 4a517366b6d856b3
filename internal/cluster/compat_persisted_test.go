package cluster

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"dewhill/internal/goldentest"
	"dewhill/internal/lease"
	"dewhill/internal/peer"
	"dewhill/internal/replication"
)

// compatHost is an event loop with a fixed time.
type compatHost struct{ posted []func() }

func (h *compatHost) Now() float64          { return 5000 }
func (h *compatHost) After(float64, func()) {}
func (h *compatHost) Post(f func())         { h.posted = append(h.posted, f) }
func (h *compatHost) Logf(string, ...any)   {}
func (h *compatHost) run() {
	for len(h.posted) > 0 {
		next := h.posted[0]
		h.posted = h.posted[1:]
		next()
	}
}

// compatLink records the messages that are sent.
type compatLink struct{ sent [][]byte }

func (l *compatLink) SendTo(_ int, _ netip.AddrPort, msg []byte) error {
	l.sent = append(l.sent, bytes.Clone(msg))
	return nil
}

// compatStore is an in-memory store.
type compatStore map[string][]byte

func (m compatStore) Get(key string) ([]byte, error) { return m[key], nil }

func (m compatStore) All(prefix string) (map[string][]byte, error) {
	all := map[string][]byte{}
	for key, value := range m {
		if rest, found := strings.CutPrefix(key, prefix); found {
			all[rest] = value
		}
	}
	return all, nil
}

func (m compatStore) PutAsync(key string, value []byte, callback func()) {
	m[key] = bytes.Clone(value)
	if callback != nil {
		callback()
	}
}

// compatWatcher records overrides.
type compatWatcher map[string]string

func (m compatWatcher) OverrideChanged(k replication.Key, disabled bool, origin string) {
	m[fmt.Sprintf("%c %s", k.Kind, k.ID)] = fmt.Sprint(disabled, " by ", origin)
}
func (m compatWatcher) CaughtUp() {}

// startCompat starts the first of three front ends.
func startCompat(store compatStore) (*Cluster, *compatHost, *compatLink) {
	options := DefaultOptions()
	options.Enabled = true
	options.Replication.Enabled = true
	peers := []netip.AddrPort{
		netip.MustParseAddrPort("10.1.2.3:7946"),
		netip.MustParseAddrPort("10.1.2.4:7946"),
		netip.MustParseAddrPort("10.1.2.5:7946"),
	}
	identity := Identity{Name: "front-0", Index: 0, Seed: 1, Peers: peers, Addr: peers[0]}
	host, link := &compatHost{}, &compatLink{}
	c := New(options, identity, host, link, store, nil)
	host.run()
	return c, host, link
}

// TestCompatPersisted checks that an upgraded front end reads the incarnation, the
// overrides and the leases that the previous version stored, by their keys.
func TestCompatPersisted(t *testing.T) {
	golden := goldentest.Read(t, "memory.txt")
	store := compatStore(maps.Clone(golden))
	c, _, _ := startCompat(store)
	if got := c.members.view.Incarnation(); got != 301 {
		t.Errorf("incarnation %d, want 301 after the stored 300", got)
	}
	watcher := compatWatcher{}
	c.WatchOverrides(watcher)
	want := compatWatcher{"e engine-1.example:8080": "true by front-0", "f front-2": "false by front-1"}
	if !maps.Equal(watcher, want) {
		t.Errorf("overrides %v, want %v", watcher, want)
	}
	leases := c.leases.manager.CountByState()
	if !c.leases.manager.CanVote() || leases[lease.Held] != 1 || leases[lease.Ended] != 1 {
		t.Errorf("can vote: %v, leases by state %v, want one held and one ended", c.leases.manager.CanVote(), leases)
	}
	if got := hex.EncodeToString(store["incarnation"]); got != "ad02" {
		t.Errorf("the next incarnation is stored as %s, want ad02", got)
	}
	store["incarnation"] = golden["incarnation"]
	if !maps.EqualFunc(store, golden, bytes.Equal) {
		t.Errorf("the store has changed to %x", store)
	}
}

// TestCompatDatagrams checks that a datagram of each kind, as the previous version sends
// it, is accepted, that its content is stored under the expected key, and that the reply is
// a datagram that the previous version accepts.
func TestCompatDatagrams(t *testing.T) {
	received := goldentest.Read(t, "heard.txt")
	replies := goldentest.Read(t, "answers.txt")
	stored := goldentest.Read(t, "memory.txt")
	for name, keys := range map[string][]string{
		"fleet-ping":  nil,
		"replica-put": {"word/f/front-2"},
		"loads-tell":  {"loads/claim/fffefdfcfbfaf9f8f7f6f5f4f3f2f1f0"},
		"loads-fact":  nil,
	} {
		t.Run(name, func(t *testing.T) {
			store := compatStore{"loads/voter": {1}}
			c, host, link := startCompat(store)
			link.sent = nil
			c.Receive(1, netip.AddrPort{}, received[name])
			host.run()
			if c.Counters.Malformed+c.Counters.UnknownKind+c.Counters.OtherVersion > 0 {
				t.Errorf("the datagram was not accepted: %+v", c.Counters)
			}
			for _, key := range keys {
				if !bytes.Equal(store[key], stored[key]) {
					t.Errorf("%s encoded %x, golden %x", key, store[key], stored[key])
				}
			}
			reply, wantReply := replies[name]
			found := slices.ContainsFunc(link.sent, func(msg []byte) bool {
				return wantReply && bytes.HasPrefix(withoutSenderID(msg), reply)
			})
			if found != wantReply {
				t.Errorf("reply %x sent: %v, want %v; sent %x", reply, found, wantReply, link.sent)
			}
		})
	}
}

// withoutSenderID returns the kind and body of a datagram. In datagrams of leases, it sets
// the sender ID to 0, because each process chooses its ID at random.
func withoutSenderID(msg []byte) []byte {
	kind, body, err := peer.Unwrap(msg)
	if err != nil {
		return nil
	}
	if at := bytes.IndexByte(body, 0x21); kind == peer.Lease && at >= 0 && at+9 <= len(body) {
		body = slices.Concat(body[:at+1], make([]byte, 8), body[at+9:])
	}
	return append([]byte{byte(kind)}, body...)
}
