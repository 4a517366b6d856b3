package membership

import (
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"dewhill/internal/pbuf"
)

const (
	// maxFieldHeaderBytes is an upper bound of the size of a field's tag and length.
	maxFieldHeaderBytes = 3
	// updatesBufferBytes is the size of the buffer for encoding updates, and more than
	// the updates of a datagram take.
	updatesBufferBytes = 512
	rangeDigestBytes   = 2 // size of one range digest in a message
)

// packIncarnationState encodes an incarnation and a state as one number.
func packIncarnationState(incarnation uint32, state State) uint64 {
	return uint64(incarnation)<<3 | uint64(state)
}

// append appends the encoded header: all fields except updates, names and blocks.
func (m *message) append(b []byte) []byte {
	b = pbuf.AppendUint(b, fieldKind, uint64(m.kind))
	b = pbuf.AppendUint(b, fieldSeq, uint64(m.seq))
	b = pbuf.AppendUint(b, fieldIncarnation, uint64(m.incarnation))
	b = pbuf.AppendUint(b, fieldBootID, uint64(m.bootID))
	b = pbuf.AppendBytes(b, fieldName, []byte(m.name))
	b = pbuf.AppendUint(b, fieldListSize, uint64(m.listSize))
	b = pbuf.AppendFixed64(b, fieldDigest, m.digest)
	b = pbuf.AppendBytes(b, fieldRangeDigests, encodeRangeDigests(m.rangeDigests))
	b = pbuf.AppendUint(b, fieldTarget, uint64(m.target))
	b = pbuf.AppendBytes(b, fieldTargetName, []byte(m.targetName))
	b = pbuf.AppendUint(b, fieldUptime, uint64(m.uptime))
	return pbuf.AppendUint(b, fieldNamesWantedFrom, uint64(m.namesWantedFrom))
}

// encodeRangeDigests encodes digests as 16 bits each, in big-endian order.
func encodeRangeDigests(digests []uint16) (b []byte) {
	for _, digest := range digests {
		b = binary.BigEndian.AppendUint16(b, digest)
	}
	return b
}

// appendUpdates appends updates of listed members. It writes the longest prefix of
// updates for which b stays within maxBytes, and returns its length.
func appendUpdates(b []byte, updates []update, maxBytes int) (extended []byte, written int) {
	available := maxBytes - len(b) - maxFieldHeaderBytes
	if available <= 0 {
		return b, 0
	}
	var buffer [updatesBufferBytes]byte
	written = len(updates)
	for written > 0 {
		body := encodeUpdates(buffer[:0], updates[:written])
		if len(body) <= available {
			return pbuf.AppendBytes(b, fieldUpdates, body), written
		}
		written = min(written-1, written*available/len(body))
	}
	return b, 0
}

// encodeUpdates appends updates in the order of their members' numbers, with each
// number as its difference from the previous number.
func encodeUpdates(b []byte, updates []update) []byte {
	byNumber := slices.Clone(updates)
	slices.SortFunc(byNumber, func(a, b update) int { return a.number - b.number })
	previous := 0
	for _, u := range byNumber {
		b = protowire.AppendVarint(b, uint64(u.number-previous))
		previous = u.number
		b = protowire.AppendVarint(b, packIncarnationState(u.incarnation, u.state))
		if u.state == Suspect {
			b = protowire.AppendVarint(b, uint64(u.reporter))
		}
	}
	return b
}

// appendNames appends names of listed members. It writes the longest prefix of names
// for which b stays within maxBytes, and returns its length.
func appendNames(b []byte, names []memberName, maxBytes int) (extended []byte, written int) {
	var body []byte
	for _, n := range names {
		longer := protowire.AppendString(protowire.AppendVarint(body, uint64(n.number)), n.name)
		if len(b)+maxFieldHeaderBytes+len(longer) > maxBytes {
			break
		}
		body = longer
		written++
	}
	return pbuf.AppendBytes(b, fieldNames, body), written
}

// appendUnlistedUpdate appends the update of an unlisted member if it fits.
func appendUnlistedUpdate(b []byte, u update, maxBytes int) (extended []byte, fits bool) {
	body := protowire.AppendTag(nil, unlistedFieldName, protowire.BytesType)
	body = protowire.AppendString(body, u.name)
	if addr, err := u.addr.MarshalBinary(); err == nil && u.addr.IsValid() {
		body = pbuf.AppendBytes(body, unlistedFieldAddr, addr)
	}
	body = protowire.AppendTag(body, unlistedFieldIncarnationState, protowire.VarintType)
	body = protowire.AppendVarint(body, packIncarnationState(u.incarnation, u.state))
	body = pbuf.AppendUint(body, unlistedFieldReporter, uint64(u.reporter))
	return appendFieldIfFits(b, fieldUnlistedUpdate, body, maxBytes)
}

// appendRangeBlock appends a block if it fits.
func appendRangeBlock(b []byte, block rangeBlock, maxBytes int) (extended []byte, fits bool) {
	field := fieldRangeBlock
	shared := uint64(block.incarnation)
	if block.uniform {
		field = fieldUniformBlock
		shared = packIncarnationState(block.incarnation, block.state)
	}
	body := protowire.AppendVarint(nil, uint64(block.rangeIndex))
	body = protowire.AppendVarint(body, shared)
	body = append(body, block.bits...)
	return appendFieldIfFits(b, field, body, maxBytes)
}

// appendFieldIfFits appends a field of bytes if b then stays within maxBytes.
func appendFieldIfFits(b []byte, field protowire.Number, body []byte, maxBytes int) (extended []byte, fits bool) {
	if len(b)+maxFieldHeaderBytes+len(body) > maxBytes {
		return b, false
	}
	return pbuf.AppendBytes(b, field, body), true
}
