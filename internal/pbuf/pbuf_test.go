package pbuf

import (
	"encoding/binary"
	"errors"
	"slices"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
)

// TestUint32 checks the upper bound of decoded 32-bit numbers.
func TestUint32(t *testing.T) {
	cases := []struct {
		name  string
		value uint64
		want  uint32
		err   error
	}{
		{name: "zero", value: 0, want: 0},
		{name: "largest", value: 1<<32 - 1, want: 1<<32 - 1},
		{name: "too large", value: 1 << 32, err: ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := Uint32(c.value)
			if got != c.want || !errors.Is(err, c.err) {
				t.Errorf("got %d, %v, want %d, %v", got, err, c.want, c.err)
			}
		})
	}
}

// TestAtMost checks the upper bound of decoded enumerations and other small numbers.
func TestAtMost(t *testing.T) {
	type state uint8
	const last state = 3
	for value, want := range map[uint64]state{0: 0, 3: last} {
		if got, err := AtMost(value, last); got != want || err != nil {
			t.Errorf("AtMost(%d) = %d, %v, want %d", value, got, err, want)
		}
	}
	for _, value := range []uint64{4, 256, 1<<64 - 1} {
		if got, err := AtMost(value, last); got != 0 || !errors.Is(err, ErrMalformed) {
			t.Errorf("AtMost(%d) = %d, %v, want 0, %v", value, got, err, ErrMalformed)
		}
	}
}

// TestDecode checks that Decode returns the first error and does not validate a
// message with a malformed field.
func TestDecode(t *testing.T) {
	errVisit, errValidate := errors.New("visit"), errors.New("validate")
	message := AppendUint(nil, 1, 2)
	cases := []struct {
		name                      string
		message                   []byte
		visitError, validateError error
		want                      error
		isValidated               bool
	}{
		{name: "valid", message: message, isValidated: true},
		{name: "truncated", message: message[:1], want: ErrMalformed},
		{name: "malformed field", message: message, visitError: errVisit, validateError: errValidate, want: errVisit},
		{name: "malformed message", message: message, validateError: errValidate, want: errValidate, isValidated: true},
		{name: "no fields", visitError: errVisit, validateError: errValidate, want: errValidate, isValidated: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			isValidated := false
			visit := func(protowire.Number, uint64, []byte) error { return c.visitError }
			validate := func() error {
				isValidated = true
				return c.validateError
			}
			if err := Decode(c.message, visit, validate); !errors.Is(err, c.want) || isValidated != c.isValidated {
				t.Errorf("error %v, validated %v, want %v, %v", err, isValidated, c.want, c.isValidated)
			}
		})
	}
}

// TestDecodeList checks that elements are decoded in order, and that a list whose
// last element is incomplete is malformed.
func TestDecodeList(t *testing.T) {
	cases := []struct {
		name  string
		bytes []byte
		want  []uint16
		err   error
	}{
		{name: "none"},
		{name: "two", bytes: []byte{1, 2, 3, 4}, want: []uint16{0x0102, 0x0304}},
		{name: "truncated", bytes: []byte{1, 2, 3}, err: ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := DecodeList(c.bytes, 2, binary.BigEndian.Uint16)
			if !slices.Equal(got, c.want) || !errors.Is(err, c.err) {
				t.Errorf("got %d, %v, want %d, %v", got, err, c.want, c.err)
			}
		})
	}
}

// TestClampUint8 checks that a value that does not fit becomes 255, not its lowest 8
// bits, which could be a valid small value.
func TestClampUint8(t *testing.T) {
	for value, want := range map[uint64]uint8{0: 0, 254: 254, 255: 255, 256: 255, 1<<64 - 1: 255} {
		if got := ClampUint8(value); got != want {
			t.Errorf("ClampUint8(%d) = %d, want %d", value, got, want)
		}
	}
}
