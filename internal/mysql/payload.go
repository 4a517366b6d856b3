package mysql

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Error is the content of an error packet: a code, an SQLSTATE and a message.
type Error struct {
	Code    uint16
	State   string
	Message string
}

const (
	defaultState = "HY000"
	stateBytes   = 5
)

// Error returns the code, the state and the message.
func (e *Error) Error() string { return fmt.Sprintf("error %d (%s): %s", e.Code, e.State, e.Message) }

// packet returns the payload of the error packet.
func (e *Error) packet() []byte {
	payload := []byte{errMark, byte(e.Code), byte(e.Code >> 8), '#'}
	payload = append(payload, (e.State + defaultState)[:stateBytes]...)
	return append(payload, e.Message...)
}

// parseError parses an error packet, whose first byte is errMark.
func parseError(payload []byte) *Error {
	r := payloadReader{rest: payload[1:]}
	e := &Error{Code: uint16(r.uint(2)), State: defaultState}
	if len(r.rest) > stateBytes && r.rest[0] == '#' {
		e.State = string(r.rest[1 : 1+stateBytes])
		r.rest = r.rest[1+stateBytes:]
	}
	e.Message = string(r.rest)
	return e
}

func okPacket(affectedRows, insertID uint64) []byte {
	payload := appendLengthEncodedInt([]byte{okMark}, affectedRows)
	payload = appendLengthEncodedInt(payload, insertID)
	return append(payload, statusAutocommit, 0, 0, 0)
}

func eofPacket() []byte { return []byte{eofMark, 0, 0, statusAutocommit, 0} }

func isEOF(payload []byte) bool {
	return len(payload) > 0 && payload[0] == eofMark && len(payload) <= maxEOFBytes
}

func isError(payload []byte) bool { return len(payload) > 0 && payload[0] == errMark }

// payloadReader reads the fields of a payload. Reading beyond the end of the payload
// sets malformed, and further reads return zero values.
type payloadReader struct {
	rest      []byte
	malformed bool
}

// take returns the next n bytes.
func (r *payloadReader) take(n int) []byte {
	if n < 0 || n > len(r.rest) {
		r.malformed = true
		r.rest = nil
		return nil
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

// uint returns a little-endian integer of n bytes.
func (r *payloadReader) uint(n int) uint64 {
	value := uint64(0)
	for i, b := range r.take(n) {
		value |= uint64(b) << (8 * i)
	}
	return value
}

// nullTerminated returns the text before the next zero byte.
func (r *payloadReader) nullTerminated() string {
	for i, b := range r.rest {
		if b == 0 {
			text := string(r.rest[:i])
			r.rest = r.rest[i+1:]
			return text
		}
	}
	r.malformed = true
	return ""
}

// lengthEncodedInt returns a length-encoded integer and whether it is NULL instead.
func (r *payloadReader) lengthEncodedInt() (value uint64, null bool) {
	switch first := r.uint(1); first {
	case lengthNull:
		return 0, true
	case length2Bytes:
		return r.uint(2), false
	case length3Bytes:
		return r.uint(3), false
	case length8Bytes:
		return r.uint(8), false
	case lengthError:
		r.malformed = true
		return 0, false
	default:
		return first, false
	}
}

// lengthEncodedBytes returns a length-encoded string, or nil if it is NULL.
func (r *payloadReader) lengthEncodedBytes() []byte {
	length, null := r.lengthEncodedInt()
	if null {
		return nil
	}
	if length > uint64(len(r.rest)) {
		r.malformed = true
		return nil
	}
	return r.take(int(length))
}

// binaryValue returns a binary value of a type in its encoded form, with its length
// prefix if it has one.
func (r *payloadReader) binaryValue(valueType byte) []byte {
	start := r.rest
	switch form, length := binaryForm(valueType); form {
	case fixedLength:
		r.take(length)
	case lengthByte:
		r.take(int(r.uint(1)))
	case lengthEncoded:
		r.lengthEncodedBytes()
	default:
		r.malformed = true
	}
	if r.malformed {
		return nil
	}
	return start[:len(start)-len(r.rest)]
}

// valueForm is the way in which the length of a binary value is determined.
type valueForm int

const (
	unknownForm   valueForm = iota
	fixedLength             // given by the type
	lengthByte              // given by one byte before the value
	lengthEncoded           // given by a length-encoded integer before the value
)

// binaryForm returns the form of binary values of a type, and their length if it is
// fixed.
func binaryForm(valueType byte) (form valueForm, length int) {
	switch valueType {
	case typeNull:
		return fixedLength, 0
	case typeTiny:
		return fixedLength, 1
	case typeShort, typeYear:
		return fixedLength, 2
	case typeLong, typeInt24, typeFloat:
		return fixedLength, 4
	case typeLongLong, typeDouble:
		return fixedLength, 8
	case typeTimestamp, typeDate, typeTime, typeDateTime:
		return lengthByte, 0
	case typeDecimal, typeNewDecimal, typeVarChar, typeBit, typeJSON, typeEnum, typeSet, typeTinyBlob, typeMediumBlob,
		typeLongBlob, typeBlob, typeVarString, typeString, typeGeometry:
		return lengthEncoded, 0
	default:
		return unknownForm, 0
	}
}

func appendLengthEncodedInt(payload []byte, value uint64) []byte {
	switch {
	case value < lengthNull:
		return append(payload, byte(value))
	case value <= math.MaxUint16:
		return append(payload, length2Bytes, byte(value), byte(value>>8))
	case value < 1<<24:
		return append(payload, length3Bytes, byte(value), byte(value>>8), byte(value>>16))
	default:
		return binary.LittleEndian.AppendUint64(append(payload, length8Bytes), value)
	}
}

func appendLengthEncodedBytes(payload, data []byte) []byte {
	return append(appendLengthEncodedInt(payload, uint64(len(data))), data...)
}
