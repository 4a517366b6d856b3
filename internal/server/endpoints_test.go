package server

import (
	"testing"

	"dewhill/internal/fakes"
	"dewhill/internal/simproto"
	"dewhill/internal/testprocess"
)

// The address of the discovery service changes while an answer from the previous address
// is in the loop's queue. That answer is not applied. The answer from the next address is
// applied, although it has the same revision.
func TestStaleDiscoveryAnswer(t *testing.T) {
	cfg := &Config{Name: "n0", Listen: "127.0.0.1:0", DiscoveryAddress: startDiscoveryListing(t, "s-previous")}
	cfg.Settings.Classes = []simproto.Class{{Name: "a", Idempotency: "pure"}}
	cfg.Limits.Sockets = 64
	s, f, err := newPlatformFrontEnd(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.listener.Close() })
	testprocess.Until(t, "the previous answer in the queue", func() bool { return len(f.loop.queue) == 1 })
	f.watchDiscovery(startDiscoveryListing(t, "s-next"))
	t.Cleanup(func() { f.watchDiscovery("") })
	testprocess.Until(t, "the next answer", func() bool { return len(f.loop.queue) > 1 })
	for len(f.loop.queue) > 0 {
		(<-f.loop.queue)()
	}
	if len(f.endpoints.engines) != 1 || f.endpoints.engines[0].ID != "s-next" {
		t.Errorf("engines %+v, want s-next only", f.endpoints.engines)
	}
}

// startDiscoveryListing starts a discovery service that answers polls for all updates with
// one engine, and no other polls.
func startDiscoveryListing(t *testing.T, engine string) (addr string) {
	t.Helper()
	list := fakes.OneUpdate(2, false, fakes.Endpoint{ID: engine, Address: "127.0.0.1:9", State: fakes.Active})
	discovery := fakes.NewScriptedDiscovery(t, func(p fakes.Poll) string {
		if p.Revision != 0 {
			return ""
		}
		return list.JSON()
	})
	return discovery.Addr
}
