package peer

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"dewhill/internal/testprocess"
)

// TestWrapUnwrap checks that Unwrap returns the kind and body that were passed to Wrap,
// and that it rejects a changed datagram or, if the first byte shows no frame, reads it
// as kind Demand.
func TestWrapUnwrap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "body")
		datagram := Wrap(Membership, body)
		kind, got, err := Unwrap(datagram)
		if kind != Membership || !bytes.Equal(got, body) || err != nil || len(datagram) != len(body)+Overhead {
			t.Fatalf("%v %x %v", kind, got, err)
		}
		changed := testprocess.MalformedMessage(t, string(datagram))
		kind, got, err = Unwrap(changed)
		if err == nil && kind != Demand && !bytes.Equal(changed, datagram) {
			t.Fatalf("changed datagram %x was accepted as %v %x", changed, kind, got)
		}
	})
}

// TestVersions checks that a datagram without a frame is of kind Demand, and that a
// datagram of another version is distinguished from a malformed one.
func TestVersions(t *testing.T) {
	if kind, body, err := Unwrap([]byte{0x3f, 0x80, 0, 0}); kind != Demand || len(body) != 4 || err != nil {
		t.Errorf("%v %x %v", kind, body, err)
	}
	if _, _, err := Unwrap(wrapVersion(version+1, Membership, nil)); !errors.Is(err, ErrVersion) {
		t.Errorf("the next version: %v", err)
	}
	if _, _, err := Unwrap([]byte{0xF1, 1, 0, 0, 0, 0}); !errors.Is(err, ErrMalformed) {
		t.Errorf("without the magic number: %v", err)
	}
}
