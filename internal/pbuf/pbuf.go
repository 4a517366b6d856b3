// Package pbuf encodes and decodes protobuf messages field by field, with
// protobuf's package protowire. The messages between front ends have at most 256
// bytes and are numerous. Their definitions are comments beside the code that
// encodes them; there is no generated code.
//
// The Append functions omit zero values, except AppendFixed64. Decoders skip fields
// with unknown numbers: later versions may add fields.
package pbuf

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is returned for bytes that are not a valid message.
var ErrMalformed = errors.New("malformed message")

// AppendUint appends a varint. It appends nothing for 0.
func AppendUint(b []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), value)
}

// AppendBool appends a boolean. It appends nothing for false.
func AppendBool(b []byte, field protowire.Number, value bool) []byte {
	if !value {
		return b
	}
	return AppendUint(b, field, 1)
}

// AppendFixed64 appends a number of 8 bytes, including 0.
func AppendFixed64(b []byte, field protowire.Number, value uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), value)
}

// AppendBytes appends a byte string. It appends nothing for an empty one.
func AppendBytes(b []byte, field protowire.Number, value []byte) []byte {
	if len(value) == 0 {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), value)
}

// Visitor is called for each field of a message, with the field's number and either
// its value (varint or fixed64) or its body (byte string). The body is a slice of the
// message, not a copy.
type Visitor func(field protowire.Number, value uint64, body []byte) error

// ForEachField calls visit for each field of a message. It stops at the first error:
// ErrMalformed if the message cannot be parsed, or the error that visit returned.
func ForEachField(b []byte, visit Visitor) error {
	for len(b) > 0 {
		field, wireType, size := protowire.ConsumeTag(b)
		if size < 0 {
			return ErrMalformed
		}
		b = b[size:]
		var value uint64
		var body []byte
		switch wireType {
		case protowire.VarintType:
			value, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			value, size = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			body, size = protowire.ConsumeBytes(b)
		default: // a type that only later versions use
			size = protowire.ConsumeFieldValue(field, wireType, b)
		}
		if size < 0 {
			return ErrMalformed
		}
		b = b[size:]
		if err := visit(field, value, body); err != nil {
			return err
		}
	}
	return nil
}

// Decode calls visit for each field of a message, as ForEachField does, and then
// calls validate. It returns the first error.
func Decode(b []byte, visit Visitor, validate func() error) error {
	if err := ForEachField(b, visit); err != nil {
		return err
	}
	return validate()
}

// AtMost converts a decoded value to a smaller type. It returns ErrMalformed if the
// value is above the limit.
func AtMost[T ~uint8 | ~uint32](value uint64, limit T) (T, error) {
	if value > uint64(limit) {
		return 0, ErrMalformed
	}
	return T(value), nil
}

// Uint32 converts a decoded value to a uint32. It returns ErrMalformed if the value
// does not fit.
func Uint32(value uint64) (uint32, error) { return AtMost[uint32](value, math.MaxUint32) }

// DecodeList decodes a list of elements of elementBytes bytes each. It returns
// ErrMalformed if the last element is incomplete.
func DecodeList[T any](b []byte, elementBytes int, decode func(element []byte) T) (list []T, err error) {
	if len(b)%elementBytes != 0 {
		return nil, ErrMalformed
	}
	for ; len(b) > 0; b = b[elementBytes:] {
		list = append(list, decode(b[:elementBytes]))
	}
	return list, nil
}

// maxUint8 replaces each value that does not fit into a uint8.
const maxUint8 = 255

// ClampUint8 converts a decoded enumeration value to a uint8. Values that do not fit
// become 255, which callers reject like any other unknown value.
func ClampUint8(value uint64) uint8 { return uint8(min(value, maxUint8)) }
