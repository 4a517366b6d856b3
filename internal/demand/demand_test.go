package demand

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "dewhill/internal/testprocess" // fixes rapid's seed
)

// messageOf returns the message of a peer with a demand of workMS of secondary work and
// with loads in flight.
func messageOf(workMS float64, loads ...Load) []byte {
	tracker := New(MaxLoadGossipFleet, 0, true)
	tracker.Start(-1e9, 0)
	tracker.RecordDemand(workMS, -1)
	return tracker.Encode(0, slices.Values(loads))
}

// recordedFor returns the decaying sum that a steady demand gives after an uptime.
func recordedFor(steadyDemand, uptimeMS float64) float64 {
	return steadyDemand * (1 - math.Exp2(-uptimeMS/demandHalfLifeMS))
}

// The quota follows the demand that peers broadcast. Malformed messages, messages from
// gateways outside the fleet and peers that have missed their broadcasts do not count.
func TestQuotaFollowsPeerDemand(t *testing.T) {
	tracker := New(4, 0, true)
	tracker.Start(0, 0)
	tracker.RecordDemand(recordedFor(300, 2000), -1)
	if !tracker.QuotasAreEven(2000) {
		t.Error("quotas are not even before any message was received")
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
	for _, outsider := range []int{-1, 4} {
		tracker.Receive(0, outsider, messageOf(100))
	}
	if !tracker.QuotasAreEven(WarmUpMS - 1) {
		t.Error("quotas are not even within WarmUpMS of the start")
	}
	if got := tracker.Quota(2000, 0.25); math.Abs(got-0.75) > 1e-9 {
		t.Errorf("quota %v after all peers were due to broadcast, want 0.75", got)
	}
	sent, err := decodeMessage(tracker.Encode(2000, slices.Values([]Load(nil))), 1)
	if err != nil || math.Abs(sent.demand[workIndex]-300) > 1e-3 {
		t.Errorf("decoded demand %v, error %v, want 300", sent.demand, err)
	}
	if !tracker.BroadcastDue(7000, true) || !tracker.QuotasAreEven(7000) {
		t.Error("no broadcast is due, or a peer that has missed its broadcasts still counts")
	}
}

// While not all peers of a large fleet have broadcast, the others count with the mean
// demand, except those that are dead by the settled view of the membership.
func TestQuotaBeforeAllPeersBroadcast(t *testing.T) {
	tracker := New(40, 0, true)
	tracker.Start(0, 0)
	for i := range 19 {
		tracker.Receive(0, 1+i, messageOf(100))
	}
	tracker.RecordDemand(recordedFor(100, WarmUpMS), -1)
	if got := tracker.Quota(WarmUpMS, 1.0/40); math.Abs(got-1.0/40) > 1e-9 {
		t.Errorf("quota %v with the demand of 20 of 40 gateways, want 0.025", got)
	}
	tracker.SetAliveGateways(20)
	if got := tracker.Quota(WarmUpMS, 1.0/20); math.Abs(got-1.0/20) > 1e-9 || tracker.AliveGateways() != 20 {
		t.Errorf("quota %v with 20 of 40 gateways alive, want 0.05", got)
	}
}

// A peer's load counts until the peer's next message without it, or until the state
// expires. A change of loads is broadcast at once, in a small fleet only.
func TestLoadGossip(t *testing.T) {
	load := Load{7, 9}
	tracker := New(2, 0, true)
	tracker.Start(0, 1)
	if tracker.BroadcastDue(1, false) {
		t.Error("a broadcast is due though nothing has changed")
	}
	tracker.LoadsChanged()
	if !tracker.BroadcastDue(1, false) || tracker.BroadcastDue(1, false) {
		t.Error("a change of loads must make exactly one broadcast due")
	}
	tracker.Receive(1, 1, messageOf(0, load))
	if !tracker.RunsAtPeer(2, load) || tracker.RunsAtPeer(2, Load{7, 8}) ||
		tracker.RunsAtPeer(1+tracker.expiryMS(), load) {
		t.Error("the loads are not those of the peer's message, or do not expire")
	}
	tracker.Receive(3, 1, messageOf(0))
	if tracker.RunsAtPeer(3, load) {
		t.Error("a load that is missing from the peer's last message still counts")
	}
	many := slices.Repeat([]Load{load}, 100)
	if n := len(tracker.Encode(0, slices.Values(many))); n > MaxMessageBytes {
		t.Errorf("message of %d bytes, at most %d allowed", n, MaxMessageBytes)
	}
	large := New(MaxLoadGossipFleet+1, 0, true)
	large.LoadsChanged()
	if large.BroadcastDue(1, false) || len(large.Encode(1, slices.Values(many))) != demandBytes {
		t.Error("a gateway of a large fleet broadcasts its loads")
	}
}

// The encoding of a message must not change: gateways of older versions decode it.
func TestMessageBytes(t *testing.T) {
	tracker := New(2, 1, true)
	tracker.Start(-1e9, 0)
	tracker.RecordDemand(1.5, 0)
	want := []byte{0x3f, 0xc0, 0, 0, 0x3f, 0x80, 0, 0, 0, 0, 0, 7, 0, 0, 0, 9}
	if got := tracker.Encode(0, slices.Values([]Load{{7, 9}})); !slices.Equal(got, want) {
		t.Errorf("% x, want % x", got, want)
	}
}

// Arbitrary messages never cause a panic or a quota that is NaN or out of range.
func TestReceiveArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(3, 1, true)
		tracker.Start(0, 0)
		tracker.RecordDemand(1, 0)
		for range 4 {
			peer := rapid.IntRange(-1, 3).Draw(t, "peer")
			tracker.Receive(1, peer, rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "message"))
		}
		if quota := tracker.Quota(WarmUpMS, 1); !(quota >= 0 && quota <= 3) {
			t.Fatalf("quota %v, want 0 to 3", quota)
		}
	})
}
