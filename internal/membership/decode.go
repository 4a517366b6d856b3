package membership

import (
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"dewhill/internal/pbuf"
)

// decode decodes a message. An error wraps pbuf.ErrMalformed.
func decode(b []byte) (message, error) {
	var m message
	if err := pbuf.Decode(b, m.setField, m.validate); err != nil {
		return m, fmt.Errorf("decode membership message: %w", err)
	}
	return m, nil
}

// validate checks that the required fields of the header are present and that all
// fields of the header are within their bounds.
func (m *message) validate() error {
	if m.kind == 0 || m.incarnation == 0 || m.incarnation > maxIncarnation || len(m.name) > MaxNameBytes ||
		m.target > maxNumber || m.namesWantedFrom > maxNumber {
		return pbuf.ErrMalformed
	}
	return nil
}

// isUint32Field reports whether the value of a field of the header must be below
// 1<<32.
func isUint32Field(field protowire.Number) bool {
	switch field {
	case fieldDigest:
		return false
	case fieldUptime, fieldNamesWantedFrom:
		return true
	default:
		return field <= fieldTarget
	}
}

// setField stores a decoded field. Unknown fields, which later versions may send,
// are skipped.
func (m *message) setField(field protowire.Number, value uint64, body []byte) error {
	small := uint32(value)
	if isUint32Field(field) && uint64(small) != value {
		return pbuf.ErrMalformed
	}
	switch field {
	case fieldKind:
		var err error
		m.kind, err = pbuf.AtMost(value, gossip)
		return err
	case fieldSeq:
		m.seq = small
	case fieldIncarnation:
		m.incarnation = small
	case fieldBootID:
		m.bootID = small
	case fieldName:
		m.name = string(body)
	case fieldListSize:
		m.listSize = small
	case fieldDigest:
		m.digest = value
	case fieldTarget:
		m.target = small
	case fieldTargetName:
		m.targetName = string(body)
	case fieldUptime:
		m.uptime = small
	case fieldNamesWantedFrom:
		m.namesWantedFrom = small
	default:
		return m.decodeList(field, body)
	}
	return nil
}

// decodeList decodes a field that holds a list or an element of a list, and skips
// unknown fields.
func (m *message) decodeList(field protowire.Number, body []byte) error {
	switch field {
	case fieldRangeDigests:
		return m.decodeRangeDigests(body)
	case fieldUpdates:
		return m.decodeUpdates(body)
	case fieldNames:
		return m.decodeNames(body)
	case fieldUnlistedUpdate:
		return m.decodeUnlistedUpdate(body)
	case fieldRangeBlock:
		return m.decodeRangeBlock(body)
	case fieldUniformBlock:
		return m.decodeUniformBlock(body)
	default:
		return nil
	}
}

func (m *message) decodeRangeDigests(b []byte) error {
	if len(b) != rangeDigestBytes*rangeCount {
		return pbuf.ErrMalformed
	}
	digests, err := pbuf.DecodeList(b, rangeDigestBytes, binary.BigEndian.Uint16)
	m.rangeDigests = append(m.rangeDigests, digests...)
	return err
}

// unpackIncarnationState splits a number into an incarnation and a state; it is the
// inverse of packIncarnationState.
func unpackIncarnationState(value uint64) (incarnation uint32, state State, err error) {
	incarnation64, state := value>>3, State(value&7)
	if incarnation64 > maxIncarnation || state > Left {
		return 0, 0, pbuf.ErrMalformed
	}
	return uint32(incarnation64), state, nil
}

func (m *message) decodeUpdates(b []byte) error {
	number := uint64(0)
	for len(b) > 0 {
		var u update
		var difference uint64
		var err error
		difference, b, err = consumeVarint(b, maxNumber-1)
		if err != nil {
			return err
		}
		number += difference
		if number >= maxNumber {
			return pbuf.ErrMalformed
		}
		u.number = int(number)
		b, err = u.decodeStateAndReporter(b)
		if err != nil {
			return err
		}
		m.updates = append(m.updates, u)
	}
	return nil
}

// decodeStateAndReporter decodes the part of an update after its number, and
// returns the bytes after the update.
func (u *update) decodeStateAndReporter(b []byte) ([]byte, error) {
	packed, b, err := consumeVarint(b, 1<<64-1)
	if err != nil {
		return nil, err
	}
	u.incarnation, u.state, err = unpackIncarnationState(packed)
	if err != nil || u.state != Suspect {
		return b, err
	}
	reporter, b, err := consumeVarint(b, 1<<32-1)
	u.reporter = uint32(reporter)
	return b, err
}

// consumeVarint decodes a varint, which must not be above limit, and returns it and
// the bytes after it.
func consumeVarint(b []byte, limit uint64) (value uint64, rest []byte, err error) {
	value, n := protowire.ConsumeVarint(b)
	if n < 0 || value > limit {
		return 0, nil, pbuf.ErrMalformed
	}
	return value, b[n:], nil
}

func (m *message) decodeRangeBlock(b []byte) error {
	rangeIndex, b, err := consumeVarint(b, rangeCount-1)
	if err != nil {
		return err
	}
	incarnation, b, err := consumeVarint(b, maxIncarnation)
	if err != nil || incarnation == 0 {
		return pbuf.ErrMalformed
	}
	block := rangeBlock{rangeIndex: int(rangeIndex), incarnation: uint32(incarnation), bits: b}
	m.rangeBlocks = append(m.rangeBlocks, block)
	return nil
}

func (m *message) decodeUniformBlock(b []byte) error {
	rangeIndex, b, err := consumeVarint(b, rangeCount-1)
	if err != nil {
		return err
	}
	packed, b, err := consumeVarint(b, 1<<64-1)
	if err != nil {
		return err
	}
	incarnation, state, err := unpackIncarnationState(packed)
	if err != nil || incarnation == 0 {
		return pbuf.ErrMalformed
	}
	block := rangeBlock{rangeIndex: int(rangeIndex), incarnation: incarnation, bits: b, uniform: true, state: state}
	m.rangeBlocks = append(m.rangeBlocks, block)
	return nil
}

func (m *message) decodeNames(b []byte) error {
	for len(b) > 0 {
		number, rest, err := consumeVarint(b, maxNumber-1)
		if err != nil {
			return err
		}
		name, n := protowire.ConsumeString(rest)
		if n < 0 || name == "" || len(name) > MaxNameBytes {
			return pbuf.ErrMalformed
		}
		m.names = append(m.names, memberName{int(number), name})
		b = rest[n:]
	}
	return nil
}

func (m *message) decodeUnlistedUpdate(b []byte) error {
	u := update{number: -1}
	if err := pbuf.ForEachField(b, u.setUnlistedField); err != nil {
		return pbuf.ErrMalformed
	}
	if u.name == "" || len(u.name) > MaxNameBytes || !u.addr.IsValid() || u.addr.Port() == 0 {
		return pbuf.ErrMalformed
	}
	m.unlistedUpdates = append(m.unlistedUpdates, u)
	return nil
}

// setUnlistedField stores a decoded field of an unlisted member's update. Unknown
// fields, which later versions may send, are skipped.
func (u *update) setUnlistedField(field protowire.Number, value uint64, body []byte) error {
	var err error
	switch field {
	case unlistedFieldName:
		u.name = string(body)
	case unlistedFieldAddr:
		err = u.addr.UnmarshalBinary(body)
	case unlistedFieldIncarnationState:
		u.incarnation, u.state, err = unpackIncarnationState(value)
	case unlistedFieldReporter:
		u.reporter, err = pbuf.Uint32(value)
	default: // a field of a later version
	}
	return err
}
