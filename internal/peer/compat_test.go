package peer

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"dewhill/internal/goldentest"
)

// compatDatagram is a datagram's kind and body.
type compatDatagram struct {
	kind Kind
	body string
}

// TestCompatDatagrams: front ends of the version before take a datagram by its
// mark, version, kind and checksum.
func TestCompatDatagrams(t *testing.T) {
	cases := []goldentest.Case[compatDatagram]{
		{Name: "fleet", Value: compatDatagram{Membership, "a view"}},
		{Name: "replica", Value: compatDatagram{Replication, "a word"}},
		{Name: "upkeep", Value: compatDatagram{Maintenance, "an order"}},
		{Name: "loads", Value: compatDatagram{Lease, "a claim"}},
		{Name: "empty", Value: compatDatagram{Membership, ""}},
		{Name: "unheard", Value: compatDatagram{Kind(200), "of a later version"}},
		{Name: "longest", Value: compatDatagram{Lease, strings.Repeat("0123456789", 25)}},
	}
	encode := func(d compatDatagram) []byte { return Wrap(d.kind, []byte(d.body)) }
	decode := func(b []byte) (compatDatagram, error) {
		kind, body, err := Unwrap(b)
		return compatDatagram{kind, string(body)}, err
	}
	goldentest.Check(t, "datagrams.txt", cases, encode, decode)
}

// TestCompatUnmarked: a datagram of the decisions has no mark, and is its own body.
func TestCompatUnframed(t *testing.T) {
	b := []byte{0x43, 0x48, 0, 0}
	if kind, body, err := Unwrap(b); kind != Demand || !bytes.Equal(body, b) || err != nil {
		t.Errorf("%v %x %v", kind, body, err)
	}
}

// TestCompatRefused: what the version before refuses is refused, in the same words.
func TestCompatRejected(t *testing.T) {
	for file, want := range map[string]error{"spoilt.txt": ErrMalformed, "version.txt": ErrVersion} {
		golden := goldentest.Read(t, file)
		if len(golden) < 2 {
			t.Errorf("%s has %d lines", file, len(golden))
		}
		for name, b := range golden {
			if _, _, err := Unwrap(b); !errors.Is(err, want) {
				t.Errorf("%s %s: %v", file, name, err)
			}
		}
	}
}

// TestCompatLimits: the platform and the front ends of the version before know
// these numbers, and the reports of a front end these words.
func TestCompatLimits(t *testing.T) {
	if MaxDatagramBytes != 256 || Overhead != 6 {
		t.Errorf("a datagram has %d bytes, %d of them round its body", MaxDatagramBytes, Overhead)
	}
	for number, word := range []string{"demand", "fleet", "replica", "upkeep", "loads", "unknown"} {
		if got := Kind(number).String(); got != word {
			t.Errorf("kind %d is called %q, not %q", number, got, word)
		}
	}
}
