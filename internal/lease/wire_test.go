package lease

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dewhill/internal/antientropy"
	"dewhill/internal/pbuf"
	"dewhill/internal/testprocess"
)

// TestMalformedMessages checks that messages are decoded as they were encoded, and that
// a manager handles malformed messages without a panic.
func TestMalformedMessages(t *testing.T) {
	value := Value{Generation: 3, State: Ended, Owner: 9, Fingerprint: 8, Outcome: []byte("x")}
	promise := message{
		verb: verbPromise, nonce: 4, canVote: true, senderID: 5, key: testKey(1), ballot: Ballot{3, 4},
		rejected: true, promised: Ballot{5, 6}, accepted: Ballot{7, 8}, value: value,
	}
	encoded := promise.append(nil)
	if got, err := decode(encoded); err != nil || fmt.Sprint(got) != fmt.Sprint(promise) {
		t.Fatalf("decoded promise: %+v, %v, want %+v", got, err, promise)
	}
	header := &message{verb: verbRecords, senderID: 5}
	record := &recordCopy{key: testKey(2), accepted: Ballot{1, 2}, value: value, ageSeconds: 9, promised: Ballot{3, 4}}
	records := record.append(header.append(nil))
	if got, err := decode(records); err != nil || len(got.records) != 1 || got.records[0].promised != (Ballot{3, 4}) {
		t.Fatalf("decoded records: %+v, %v, want one record that promises {3 4}", got, err)
	}
	proposal := (&message{verb: verbAccept, senderID: 5, key: testKey(3), ballot: Ballot{3, 4}, value: value}).append(nil)
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(1, 3, false, Options{})
		f.Run(8000)
		for range 4 {
			malformed := testprocess.MalformedMessage(t, string(encoded), string(records), string(proposal))
			f.apply(0, MessageReceived{Peer{Number: 1}, malformed})
		}
	})
}

// TestNonceBound checks that a message is malformed if its nonce exceeds 32 bits. The
// nonce must not be truncated to another nonce.
func TestNonceBound(t *testing.T) {
	const largest = 1<<32 - 1
	probe := (&message{verb: verbProbe, senderID: 5}).append(nil)
	if got, err := decode(pbuf.AppendUint(probe, fieldNonce, largest)); err != nil || got.nonce != largest {
		t.Errorf("message with the largest nonce: %+v, %v", got, err)
	}
	tooLarge := pbuf.AppendUint(probe, fieldNonce, largest+1)
	if got, err := decode(tooLarge); !errors.Is(err, pbuf.ErrMalformed) {
		t.Errorf("message with a larger nonce: %+v, %v, want %v", got, err, pbuf.ErrMalformed)
	}
	m := New(Options{ProcessID: 1}, 1)
	m.Apply(0, Start{})
	if effects := m.Apply(1, MessageReceived{Peer{Number: 1}, tooLarge}); len(effects.Sends) > 0 {
		t.Errorf("replies to a malformed message: %+v", effects.Sends)
	}
	if m.Counters.MalformedMessages != 1 {
		t.Errorf("%d malformed messages counted, want 1", m.Counters.MalformedMessages)
	}
}

// TestFieldBounds checks the bounds of numbers and lengths in a message.
func TestFieldBounds(t *testing.T) {
	withState := func(s State) []byte {
		v := Value{Generation: 1, State: s}
		return v.append(nil, fieldValue)
	}
	withOutcome := func(bytes int) []byte {
		v := Value{State: Ended, Outcome: make([]byte, bytes)}
		return v.append(nil, fieldValue)
	}
	cases := []struct {
		name  string
		field []byte
		want  error
	}{
		{"largest ballot", pbuf.AppendUint(nil, fieldPromised, maxBallotNumber), nil},
		{"ballot too large", pbuf.AppendUint(nil, fieldPromised, maxBallotNumber+1), pbuf.ErrMalformed},
		{"last state", withState(Ended), nil},
		{"unknown state", withState(Ended + 1), pbuf.ErrMalformed},
		{"longest outcome", withOutcome(MaxOutcomeBytes), nil},
		{"outcome too long", withOutcome(MaxOutcomeBytes + 1), pbuf.ErrMalformed},
		{"key too short", pbuf.AppendBytes(nil, fieldKey, make([]byte, len(Key{})-1)), pbuf.ErrMalformed},
		{"record without a key", (&recordCopy{}).append(nil), pbuf.ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			probe := message{verb: verbProbe, senderID: 5}
			if _, err := decode(append(probe.append(nil), c.field...)); !errors.Is(err, c.want) {
				t.Errorf("message with field %x: error %v, want %v", c.field, err, c.want)
			}
		})
	}
}

// TestRequiredFields checks that a message is malformed if a required field is missing,
// or if its fields are inconsistent.
func TestRequiredFields(t *testing.T) {
	ofRange := func(v verb, level, index int, sums []uint32) message {
		content := antientropy.RangeContent{Range: antientropy.Range{Level: level, Index: index}, Sums: sums}
		return message{verb: v, senderID: 5, exchange: antientropy.Exchange{Content: content}}
	}
	const lowest = antientropy.Levels
	sums := make([]uint32, antientropy.Fanout)
	for name, m := range map[string]message{
		"no verb":                             {senderID: 5},
		"unknown verb":                        {verb: verbRecords + 1, senderID: 5},
		"no sender ID":                        {verb: verbProbe},
		"no key":                              {verb: verbAccept, senderID: 5, ballot: Ballot{3, 4}},
		"no ballot":                           {verb: verbAccept, senderID: 5, key: testKey(1)},
		"no such range":                       ofRange(verbRangeItems, 0, 1, nil),
		"request of a range without children": ofRange(verbRangeRequest, lowest, 1, nil),
		"no digests":                          ofRange(verbRangeSums, 1, 1, nil),
		"digests of a range without children": ofRange(verbRangeSums, lowest, 1, sums),
	} {
		if _, err := decode(m.append(nil)); !errors.Is(err, pbuf.ErrMalformed) {
			t.Errorf("%s: error %v, want %v", name, err, pbuf.ErrMalformed)
		}
	}
}
