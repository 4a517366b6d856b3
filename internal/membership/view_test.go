package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// testMaxMessageBytes is the maximum message size of the views under test.
const testMaxMessageBytes = 250

// testPeers returns a configured list with n members.
func testPeers(n int) []netip.AddrPort {
	peers := make([]netip.AddrPort, n)
	for i := range peers {
		peers[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
	}
	return peers
}

// startView returns the view of number 0 of n members, which has just started.
func startView(n int) *View {
	v := New(Options{Name: "n0", Peers: testPeers(n), MaxMessageBytes: testMaxMessageBytes}, 1)
	v.Apply(0, Start{})
	return v
}

// sender describes the sender of a message under test.
type sender struct {
	number      int
	incarnation uint32
	bootID      uint32
	listSize    int
}

// gossipMessage returns a gossip message of the sender that carries updates.
func (s sender) gossipMessage(updates ...update) MessageReceived {
	m := message{kind: gossip, incarnation: s.incarnation, bootID: s.bootID, name: fmt.Sprint("n", s.number),
		listSize: uint32(s.listSize)}
	b, _ := appendUpdates(m.append(nil), updates, 1<<12)
	return MessageReceived{Number: s.number, Message: b}
}

// updateGenerator returns a generator of updates about the members of a fleet.
func updateGenerator(size int) *rapid.Generator[update] {
	return rapid.Custom(func(t *rapid.T) update {
		return update{
			number:      rapid.IntRange(0, size-1).Draw(t, "number"),
			incarnation: uint32(rapid.IntRange(1, 4).Draw(t, "incarnation")),
			state:       State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state")),
		}
	})
}

// TestMergeIsOrderIndependent checks that the same messages, in any order and any
// number of times, give the same view.
func TestMergeIsOrderIndependent(t *testing.T) {
	const size = 6
	merge := func(messages []MessageReceived) string {
		v := startView(size)
		for _, m := range messages {
			v.Apply(1, m)
		}
		view := ""
		for _, m := range v.Members()[1:] {
			view += fmt.Sprint(m.Number, m.Incarnation, m.State, " ")
		}
		return view
	}
	rapid.Check(t, func(t *rapid.T) {
		var messages []MessageReceived
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			from := sender{
				number:      rapid.IntRange(1, size-1).Draw(t, "sender"),
				incarnation: uint32(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				bootID:      7,
				listSize:    size,
			}
			messages = append(messages, from.gossipMessage(rapid.SliceOfN(updateGenerator(size), 0, 5).Draw(t, "updates")...))
		}
		duplicates := messages[:rapid.IntRange(0, len(messages)).Draw(t, "duplicates")]
		reordered := rapid.Permutation(slices.Concat(messages, duplicates)).Draw(t, "order")
		if a, b := merge(messages), merge(reordered); a != b {
			t.Fatalf("views differ:\n%s\nand with duplicates, reordered:\n%s", a, b)
		}
	})
}

// TestSafety checks the guarantees that hold for all received messages and times: no
// incarnation decreases, a dead member stays dead under its incarnation, this front
// end is always alive in its own view, and no member is added to a view of listed
// members. It also checks that messages stay within their maximum size and that none
// is sent to this front end itself.
func TestSafety(t *testing.T) {
	const size = 5
	rapid.Check(t, func(t *rapid.T) {
		v := startView(size)
		nowMS := 0.0
		last := v.Members()
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			nowMS += rapid.Float64Range(0, 2000).Draw(t, "ms")
			for _, s := range v.Apply(nowMS, drawEvent(t, size)).Sends {
				if len(s.Message) > testMaxMessageBytes || s.To.Number == 0 {
					t.Fatalf("message of %d bytes to member %d", len(s.Message), s.To.Number)
				}
			}
			members := v.Members()
			if len(members) != size || members[0].State != Alive {
				t.Fatalf("members: %v", members)
			}
			for i, m := range members {
				if m.Incarnation < last[i].Incarnation || m.Incarnation == last[i].Incarnation && m.State < last[i].State {
					t.Fatalf("member is %v after %v", m, last[i])
				}
			}
			last = members
		}
	})
}

// drawEvent draws a timer event, or a message with updates.
func drawEvent(t *rapid.T, size int) Event {
	if !rapid.Bool().Draw(t, "message") {
		return TimerFired{}
	}
	from := sender{
		number:      rapid.IntRange(0, size-1).Draw(t, "sender"),
		incarnation: uint32(rapid.IntRange(1, 4).Draw(t, "incarnation")),
		bootID:      uint32(rapid.IntRange(1, 2).Draw(t, "boot ID")),
		listSize:    size + rapid.IntRange(0, 1).Draw(t, "other list"),
	}
	return from.gossipMessage(rapid.SliceOfN(updateGenerator(size), 0, 4).Draw(t, "updates")...)
}

// TestRefutation checks that an update about this front end is refuted with a larger
// incarnation, and that updates by numbers of another list are ignored.
func TestRefutation(t *testing.T) {
	v := startView(4)
	v.Apply(1, sender{1, 1, 5, 4}.gossipMessage(update{number: 0, incarnation: 8, state: Dead}))
	if v.Incarnation() != 9 {
		t.Errorf("incarnation %d after being declared dead at 8, want 9", v.Incarnation())
	}
	v.Apply(2, sender{1, 1, 5, 5}.gossipMessage(
		update{number: 2, incarnation: 3, state: Alive},
		update{number: 0, incarnation: 20, state: Dead}))
	if v.State(2) != Unknown || v.Incarnation() != 9 {
		t.Error("updates by numbers of another list were accepted")
	}
}

// TestReusedIncarnation checks that a new process that reuses its predecessor's name
// and incarnation is notified that the predecessor is dead, and is alive under the
// next incarnation.
func TestReusedIncarnation(t *testing.T) {
	v := startView(4)
	v.Apply(1, sender{1, 1, 5, 4}.gossipMessage(update{number: 0, incarnation: 8, state: Dead}))
	notified := false
	for _, s := range v.Apply(1000, sender{1, 1, 6, 4}.gossipMessage()).Sends {
		m, err := decode(s.Message)
		predecessorIsDead := update{number: 1, incarnation: 1, state: Dead}
		if err == nil && s.To.Number == 1 && slices.Contains(m.updates, predecessorIsDead) {
			notified = true
		}
	}
	if !notified {
		t.Error("a new process that reuses an incarnation is not notified")
	}
	v.Apply(1001, sender{1, 2, 6, 4}.gossipMessage())
	if m := v.Members()[1]; m.State != Alive || m.Incarnation != 2 {
		t.Error("the new process is not alive under the next incarnation")
	}
}

// TestPausedProcessDeclaresNoMemberDead checks that a process does not declare members
// dead because of messages that it missed during its own pause.
func TestPausedProcessDeclaresNoMemberDead(t *testing.T) {
	v := startView(3)
	v.Apply(1, sender{1, 1, 5, 3}.gossipMessage())
	v.Apply(2, sender{2, 1, 6, 3}.gossipMessage(update{number: 1, incarnation: 1, state: Suspect, reporter: 3}))
	for v.NextTimerMS() < 1500 {
		v.Apply(v.NextTimerMS(), TimerFired{})
	}
	effects := v.Apply(60_000, TimerFired{})
	if len(effects.Changes) > 0 || v.Counters.Pauses != 1 || v.Converged() {
		t.Errorf("after a pause: changes %v, %d pauses, converged %v; want no changes, 1 pause, not converged",
			effects.Changes, v.Counters.Pauses, v.Converged())
	}
	if v.State(1) == Dead || v.State(2) == Dead {
		t.Error("a member was declared dead because of messages missed during the pause")
	}
}
