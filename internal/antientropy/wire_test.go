package antientropy

import (
	"bytes"
	"reflect"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"dewhill/internal/pbuf"
)

// TestExchangeFields checks that an exchange decodes its own fields and skips the fields
// with lower and higher numbers.
func TestExchangeFields(t *testing.T) {
	const first = 5
	items := []Item{{Hash: 1, Sum: 2}}
	x := Exchange{Content: RangeContent{Range: Range{Level: 3, Index: 4095}, Items: items, Partial: true}}
	encoded := pbuf.AppendUint(nil, first-1, 7)
	encoded = x.Append(encoded, first)
	encoded = pbuf.AppendBytes(encoded, first+requestedField+1, []byte("x"))
	var got Exchange
	err := pbuf.ForEachField(encoded, func(field protowire.Number, value uint64, body []byte) error {
		return got.DecodeField(first, field, value, body)
	})
	if err != nil || !reflect.DeepEqual(got, x) {
		t.Errorf("decoded %+v, %v, want %+v", got, err, x)
	}
}

// TestHasSums checks which contents have the digests of a range's children.
func TestHasSums(t *testing.T) {
	sums := make([]uint32, Fanout)
	cases := []struct {
		name    string
		content RangeContent
		want    bool
	}{
		{"digests", RangeContent{Range: Range{Level: Levels - 1}, Sums: sums}, true},
		{"digests of a range without children", RangeContent{Range: Range{Level: Levels}, Sums: sums}, false},
		{"entries", RangeContent{Items: []Item{{Hash: 1, Sum: 2}}}, false},
		{"nothing", RangeContent{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.content.HasSums(); got != c.want {
				t.Errorf("%+v.HasSums() = %v, want %v", c.content, got, c.want)
			}
		})
	}
}

// TestPack checks that all entries are packed in order, that no entry is divided, and
// that no two successive bodies could have been joined.
func TestPack(t *testing.T) {
	const maxBytes = 20
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 25)).Draw(t, "entries")
		bodies := Pack(entries, maxBytes)
		if !bytes.Equal(bytes.Join(bodies, nil), bytes.Join(entries, nil)) {
			t.Fatalf("packed %x from entries %x", bodies, entries)
		}
		next := 0
		for _, body := range bodies {
			size := 0
			for size < len(body) {
				size += len(entries[next])
				next++
			}
			isOneEntry := size == len(entries[next-1])
			if size != len(body) || size > maxBytes && !isOneEntry {
				t.Fatalf("body of %d bytes: %x of %x, want whole entries and at most %d bytes",
					len(body), body, entries, maxBytes)
			}
			if next < len(entries) && size+len(entries[next]) <= maxBytes {
				t.Fatalf("an entry of %d bytes is not added to a body of %d bytes", len(entries[next]), size)
			}
		}
	})
}
