package replication

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dewhill/internal/antientropy"
	"dewhill/internal/pbuf"
	"dewhill/internal/testprocess"
)

// maxMessageBytes is the maximum size of messages in tests.
const maxMessageBytes = 250

// TestMalformedMessages checks that messages decode to the values that were encoded, and
// that malformed messages and persisted registers cause no panic, no oversized reply and no
// unbounded number of registers.
func TestMalformedMessages(t *testing.T) {
	w := &Override{Dot: Dot{7, 9 << 16}, Disabled: true, Origin: "n3", Context: []Dot{{4, 5}, {6, 7}}}
	write := string(appendEntry((&message{verb: verbWrite, sequence: 5}).append(nil), Key{Engine, "s-1"}, w))
	got, err := decode([]byte(write))
	if err != nil || len(got.entries) != 1 || fmt.Sprint(*got.entries[0].write) != fmt.Sprint(*w) ||
		got.entries[0].key.ID != "s-1" || got.sequence != 5 {
		t.Fatalf("decoded %+v, %v", got, err)
	}
	encode := func(m message) string { return string(m.append(nil)) }
	items := encode(message{verb: verbRangeItems, exchange: antientropy.Exchange{Content: antientropy.RangeContent{
		Range: antientropy.Range{Level: 3, Index: 4095}, Items: []antientropy.Item{{Hash: 5, Sum: 6}}, Partial: true,
	}}})
	sums := encode(message{verb: verbRangeSums, exchange: antientropy.Exchange{Content: antientropy.RangeContent{
		Range: antientropy.Range{Level: 1, Index: 15}, Sums: make([]uint32, antientropy.Fanout),
	}}})
	probe := encode(message{verb: verbProbe, digest: 5, ready: true})
	request := encode(message{verb: verbRequest, exchange: antientropy.Exchange{Requested: []uint64{1, 2}}})
	for _, encoded := range []string{items, sums, probe, request} {
		if _, err := decode([]byte(encoded)); err != nil {
			t.Fatalf("decode %x: %v", encoded, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		r := New(Options{Name: "n0", ProcessID: 3, Persisted: map[string][]byte{"x": testprocess.MalformedMessage(t, write)}}, 1)
		r.Apply(0, Start{})
		r.Apply(1, MembersChanged{Alive: []Peer{{Number: 1}}, All: []Peer{{Number: 1}}, Size: 2})
		for range 4 {
			malformed := testprocess.MalformedMessage(t, write, items, sums, probe, request)
			for _, s := range r.Apply(2, MessageReceived{Peer{Number: 1}, malformed}).Sends {
				if len(s.Message) > maxMessageBytes {
					t.Fatalf("message of %d bytes, limit %d", len(s.Message), maxMessageBytes)
				}
			}
		}
		if n := len(r.registers); n > 20 {
			t.Fatalf("%d registers, want at most 20", n)
		}
	})
}

// TestRequiredFields checks that a message is malformed if a required field is missing or
// its fields are inconsistent.
func TestRequiredFields(t *testing.T) {
	ofRange := func(v verb, level, index int, sums []uint32) message {
		content := antientropy.RangeContent{Range: antientropy.Range{Level: level, Index: index}, Sums: sums}
		return message{verb: v, exchange: antientropy.Exchange{Content: content}}
	}
	const lowest = antientropy.Levels
	sums := make([]uint32, antientropy.Fanout)
	for name, m := range map[string]message{
		"no verb":                             {},
		"unknown verb":                        {verb: verbRequest + 1},
		"no such range":                       ofRange(verbRangeItems, 0, 1, nil),
		"no digests":                          ofRange(verbRangeSums, 1, 1, nil),
		"digests of a range without children": ofRange(verbRangeSums, lowest, 1, sums),
	} {
		if _, err := decode(m.append(nil)); !errors.Is(err, pbuf.ErrMalformed) {
			t.Errorf("%s: error %v, want %v", name, err, pbuf.ErrMalformed)
		}
	}
}

// TestEntryBounds checks the bounds of the fields of a write.
func TestEntryBounds(t *testing.T) {
	const latest = timestampLimit - 1
	longestID, longestOrigin := strings.Repeat("s", MaxIDBytes), strings.Repeat("n", MaxOriginBytes)
	cases := []struct {
		name  string
		key   Key
		write Override
		want  error
	}{
		{"longest", Key{FrontEnd, longestID}, Override{Dot: Dot{1, latest}, Origin: longestOrigin}, nil},
		{"no kind", Key{ID: "s"}, Override{Dot: Dot{1, 1}}, pbuf.ErrMalformed},
		{"no ID", Key{Kind: Engine}, Override{Dot: Dot{1, 1}}, pbuf.ErrMalformed},
		{"ID too long", Key{Engine, longestID + "s"}, Override{Dot: Dot{1, 1}}, pbuf.ErrMalformed},
		{"origin too long", Key{Engine, "s"},
			Override{Dot: Dot{1, 1}, Origin: longestOrigin + "n"}, pbuf.ErrMalformed},
		{"no process ID", Key{Engine, "s"}, Override{Dot: Dot{0, 1}}, pbuf.ErrMalformed},
		{"no timestamp", Key{Engine, "s"}, Override{Dot: Dot{1, 0}}, pbuf.ErrMalformed},
		{"timestamp too late", Key{Engine, "s"}, Override{Dot: Dot{1, latest + 1}}, pbuf.ErrMalformed},
		{"context too long", Key{Engine, "s"},
			Override{Dot: Dot{1, 1}, Context: make([]Dot, maxContextProcesses+1)}, pbuf.ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			header := message{verb: verbEntries}
			_, err := decode(appendEntry(header.append(nil), c.key, &c.write))
			if !errors.Is(err, c.want) {
				t.Errorf("write %+v of %+v: error %v, want %v", c.write, c.key, err, c.want)
			}
		})
	}
}
