package demand

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "dewhill/internal/testprocess" // fixes rapid's seed
)

// messageOf returns the message of a peer with demand for so much work and with
// loads in flight.
func messageOf(workMS float64, loads ...Load) []byte {
	tracker := New(MaxLoadGossipFleet, 0, true)
	tracker.Start(-1e9, 0)
	tracker.RecordDemand(workMS, -1)
	return tracker.Encode(0, slices.Values(loads))
}

// recordedFor returns the sum that Tracker takes for a steady demand after an uptime.
func recordedFor(steadyDemand, uptimeMS float64) float64 {
	return steadyDemand * (1 - math.Exp2(-uptimeMS/demandHalfLifeMS))
}

// The quota follows what peers broadcast; malformed messages and those of gateways
// that are not of the fleet count for nothing, nor do peers that are silent.
func TestQuotaFollowsPeerDemand(t *testing.T) {
	tracker := New(4, 0, true)
	tracker.Start(0, 0)
	tracker.RecordDemand(recordedFor(300, 2000), -1)
	if !tracker.QuotasAreEven(2000) {
		t.Error("quotas differ before any message")
	}
	tracker.Receive(0, 1, messageOf(100))
	malformed := map[string][]byte{
		"text":              []byte("odd"),
		"not a number":      messageOf(math.NaN()),
		"negative":          messageOf(-1),
		"infinite":          messageOf(math.Inf(1)),
		"two messages":      append(messageOf(1), messageOf(2)...),
		"empty":             nil,
		"part of a load":    append(messageOf(9, Load{1, 2}), 1, 2, 3),
		"datagram with tag": {0xd1, 1, 0, 0},
	}
	for name, message := range malformed {
		tracker.Receive(0, 2, message)
		if _, ok := tracker.peers[2]; ok {
			t.Errorf("%s: message was accepted", name)
		}
	}
	for _, stranger := range []int{-1, 4} {
		tracker.Receive(0, stranger, messageOf(100))
	}
	if !tracker.QuotasAreEven(WarmUpMS - 1) {
		t.Error("quotas differ just after the start")
	}
	if got := tracker.Quota(2000, 0.25); math.Abs(got-0.75) > 1e-9 {
		t.Errorf("quota %v when all peers had to broadcast, want 0.75", got)
	}
	sent, err := decodeMessage(tracker.Encode(2000, slices.Values([]Load(nil))), 1)
	if err != nil || math.Abs(sent.demand[workIndex]-300) > 1e-3 {
		t.Errorf("peers receive %v, %v, want 300", sent.demand, err)
	}
	if !tracker.BroadcastDue(7000, true) || !tracker.QuotasAreEven(7000) {
		t.Error("a peer that has missed its broadcasts still counts")
	}
}

// While not all peers of a large fleet have broadcast, those not received yet count
// like the others; those that the settled view calls dead don't.
func TestQuotaBeforeAllPeersBroadcast(t *testing.T) {
	tracker := New(40, 0, true)
	tracker.Start(0, 0)
	for i := range 19 {
		tracker.Receive(0, 1+i, messageOf(100))
	}
	tracker.RecordDemand(recordedFor(100, WarmUpMS), -1)
	if got := tracker.Quota(WarmUpMS, 1.0/40); math.Abs(got-1.0/40) > 1e-9 {
		t.Errorf("quota %v with 20 of 40 known, want 0.025", got)
	}
	tracker.SetAliveGateways(20)
	if got := tracker.Quota(WarmUpMS, 1.0/20); math.Abs(got-1.0/20) > 1e-9 || tracker.AliveGateways() != 20 {
		t.Errorf("quota %v with 20 of 40 alive, want 0.05", got)
	}
}

// A load of a peer is known until the peer's next message without it. A change of
// loads is broadcast at once, in a small fleet only.
func TestLoads(t *testing.T) {
	load := Load{7, 9}
	tracker := New(2, 0, true)
	tracker.Start(0, 1)
	if tracker.BroadcastDue(1, false) {
		t.Error("due though nothing has changed")
	}
	tracker.LoadsChanged()
	if !tracker.BroadcastDue(1, false) || tracker.BroadcastDue(1, false) {
		t.Error("a change of loads must be due once")
	}
	tracker.Receive(1, 1, messageOf(0, load))
	if !tracker.RunsAtPeer(2, load) || tracker.RunsAtPeer(2, Load{7, 8}) || tracker.RunsAtPeer(1+tracker.expiryMS(), load) {
		t.Error("loads are not those of the message")
	}
	tracker.Receive(3, 1, messageOf(0))
	if tracker.RunsAtPeer(3, load) {
		t.Error("a load that has ended still counts")
	}
	many := slices.Repeat([]Load{load}, 100)
	if n := len(tracker.Encode(0, slices.Values(many))); n > MaxMessageBytes {
		t.Errorf("a message of %d bytes", n)
	}
	large := New(MaxLoadGossipFleet+1, 0, true)
	large.LoadsChanged()
	if large.BroadcastDue(1, false) || len(large.Encode(1, slices.Values(many))) != demandBytes {
		t.Error("a large fleet broadcasts loads")
	}
}

// A gateway of an older version reads these bytes.
func TestMessageBytes(t *testing.T) {
	tracker := New(2, 1, true)
	tracker.Start(-1e9, 0)
	tracker.RecordDemand(1.5, 0)
	want := []byte{0x3f, 0xc0, 0, 0, 0x3f, 0x80, 0, 0, 0, 0, 0, 7, 0, 0, 0, 9}
	if got := tracker.Encode(0, slices.Values([]Load{{7, 9}})); !slices.Equal(got, want) {
		t.Errorf("% x, want % x", got, want)
	}
}

// Malformed messages never make a quota something other than a number, and never panic.
func TestReceiveArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(3, 1, true)
		tracker.Start(0, 0)
		tracker.RecordDemand(1, 0)
		for range 4 {
			tracker.Receive(1, rapid.IntRange(-1, 3).Draw(t, "peer"), rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "message"))
		}
		if quota := tracker.Quota(WarmUpMS, 1); !(quota >= 0 && quota <= 3) {
			t.Fatalf("quota %v", quota)
		}
	})
}
