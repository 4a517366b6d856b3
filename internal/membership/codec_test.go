package membership

import (
	"errors"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dewhill/internal/pbuf"
	"dewhill/internal/testprocess"
)

// TestRoundTrip checks that decoding an encoded message returns the same message.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Uint32Range(0, maxNumber)
		m := message{
			kind:        messageKind(rapid.IntRange(int(ping), int(gossip)).Draw(t, "kind")),
			seq:         number.Draw(t, "seq"),
			incarnation: number.Draw(t, "incarnation") + 1,
			bootID:      rapid.Uint32().Draw(t, "boot ID"),
			name:        rapid.StringN(0, 8, MaxNameBytes).Draw(t, "name"),
			listSize:    number.Draw(t, "list size"),
			digest:      rapid.Uint64().Draw(t, "digest"),
			target:      number.Draw(t, "target"),
		}
		byNumber := func(u update) int { return u.number }
		updates := rapid.SliceOfNDistinct(updateGenerator(400), 0, 20, byNumber).Draw(t, "updates")
		unlisted := update{number: -1, name: "x", addr: testPeers(1)[0], incarnation: 3, state: Dead}
		b, written := appendUpdates(m.append(nil), updates, testMaxMessageBytes)
		b, fits := appendUnlistedUpdate(b, unlisted, 400)
		m.updates = append(m.updates, updates[:written]...)
		slices.SortFunc(m.updates, func(a, b update) int { return a.number - b.number })
		m.unlistedUpdates = []update{unlisted}
		if got, err := decode(b); err != nil || !fits || !reflect.DeepEqual(got, m) {
			t.Fatalf("decoded %+v, error %v, unlisted update fits %v; want %+v", got, err, fits, m)
		}
	})
}

// TestReporterBound checks that a reporter ID of more than 32 bits makes a message
// malformed. Truncated to 32 bits, it would identify another member.
func TestReporterBound(t *testing.T) {
	for reporter, want := range map[uint64]error{1<<32 - 1: nil, 1 << 32: pbuf.ErrMalformed} {
		body := pbuf.AppendUint(nil, unlistedFieldReporter, reporter)
		var u update
		err := pbuf.ForEachField(body, u.setUnlistedField)
		if !errors.Is(err, want) {
			t.Errorf("reporter %d: error %v, want %v", reporter, err, want)
		}
	}
}

// TestMalformedMessages checks that decoding a truncated or corrupted message returns
// an error or a message within its bounds, and that a view that receives it keeps
// its members and stays alive to itself.
func TestMalformedMessages(t *testing.T) {
	valid := string(sender{1, 2, 9, 6}.gossipMessage(
		update{number: 2, incarnation: 3, state: Dead},
		update{number: 5, incarnation: 1, state: Suspect, reporter: 2}).Message)
	withBlock, _ := appendRangeBlock([]byte(valid), rangeBlock{rangeIndex: 3, incarnation: 2, bits: []byte{0x1b}}, testMaxMessageBytes)
	unlisted := update{name: "x", addr: testPeers(1)[0], incarnation: 3, state: Dead}
	withUnlisted, _ := appendUnlistedUpdate([]byte(valid), unlisted, testMaxMessageBytes)
	rapid.Check(t, func(t *rapid.T) {
		v := startView(6)
		for range 3 {
			b := testprocess.MalformedMessage(t, valid, string(withBlock), string(withUnlisted))
			if m, err := decode(b); err == nil && (m.kind == 0 || m.incarnation == 0 || m.incarnation > maxIncarnation) {
				t.Fatalf("%x is decoded as %+v", b, m)
			}
			number := rapid.IntRange(-1, 6).Draw(t, "sender")
			v.Apply(1, MessageReceived{Number: number, From: testPeers(1)[0], Message: b})
		}
		if len(v.Members()) != 6 || v.Members()[0].State != Alive {
			t.Fatalf("members after malformed messages: %v", v.Members())
		}
	})
}
