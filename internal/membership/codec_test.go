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

// TestRoundTrip checks that a message is decoded as it was encoded.
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
			t.Fatalf("%+v, %v, fits %v, want %+v", got, err, fits, m)
		}
	})
}

// TestReporterBound checks that a reporter of a suspicion over 32 bits makes a message
// malformed: cut to them it would be another member.
func TestReporterBound(t *testing.T) {
	for reporter, want := range map[uint64]error{1<<32 - 1: nil, 1 << 32: pbuf.ErrMalformed} {
		body := pbuf.AppendUint(nil, unlistedFieldReporter, reporter)
		var u update
		err := pbuf.ForEachField(body, u.setUnlistedField)
		if !errors.Is(err, want) {
			t.Errorf("%d: %v, want %v", reporter, err, want)
		}
	}
}

// TestMalformedMessages checks that cut and garbled messages are errors or
// messages within bounds, and damage no view.
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
				t.Fatalf("%x gives %+v", b, m)
			}
			number := rapid.IntRange(-1, 6).Draw(t, "sender")
			v.Apply(1, MessageReceived{Number: number, From: testPeers(1)[0], Message: b})
		}
		if len(v.Members()) != 6 || v.Members()[0].State != Alive {
			t.Fatalf("%v", v.Members())
		}
	})
}
