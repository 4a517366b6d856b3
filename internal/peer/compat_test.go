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

// TestCompatDatagrams checks the frame of datagrams against a golden file. Front ends of
// the previous version accept a datagram by its magic number, version, kind and checksum.
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

// TestCompatUnframed checks that a datagram of kind Demand has no frame.
func TestCompatUnframed(t *testing.T) {
	b := []byte{0x43, 0x48, 0, 0}
	if kind, body, err := Unwrap(b); kind != Demand || !bytes.Equal(body, b) || err != nil {
		t.Errorf("%v %x %v", kind, body, err)
	}
}

// TestCompatRejected checks that the datagrams that the previous version rejects are
// rejected with the same errors.
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

// TestCompatLimits checks the sizes that the platform and front ends of the previous
// version rely on, and the names of the kinds, which are keys in the counters.
func TestCompatLimits(t *testing.T) {
	if MaxDatagramBytes != 256 || Overhead != 6 {
		t.Errorf("a datagram has at most %d bytes, %d of them for its frame, want 256 and 6", MaxDatagramBytes, Overhead)
	}
	for number, name := range []string{"demand", "fleet", "replica", "upkeep", "loads", "unknown"} {
		if got := Kind(number).String(); got != name {
			t.Errorf("kind %d has the name %q, want %q", number, got, name)
		}
	}
}
