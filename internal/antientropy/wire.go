package antientropy

import (
	"encoding/binary"

	"google.golang.org/protobuf/encoding/protowire"

	"dewhill/internal/pbuf"
)

// Exchange holds the fields of a peer message that belong to a comparison of two
// copies. In protobuf terms, with consecutive field numbers that start at a number
// chosen by each protocol:
//
//	uint32 level = first; uint32 index = first+1; // a range
//	bytes sums = first+2;      // Fanout digests of 4 bytes
//	bytes items = first+3;     // (hash 8 bytes, digest 4 bytes)...
//	bool partial = first+4;    // items omits some entries of the range
//	bytes requested = first+5; // hashes of 8 bytes
type Exchange struct {
	Content   RangeContent
	Requested []uint64 // hashes of entries that the sender requests
}

// The offsets of an Exchange's fields from its first field number.
const (
	levelField protowire.Number = iota
	indexField
	sumsField
	itemsField
	partialField
	requestedField
)

const (
	sumBytes  = 4
	hashBytes = 8
	itemBytes = hashBytes + sumBytes
)

// maxDecodedRangeNumber is larger than any valid level or index. Larger numbers are
// reduced to it, so that they stay invalid.
const maxDecodedRangeNumber = 1 << 16

// Append appends the fields. The first field has the given number.
func (x *Exchange) Append(b []byte, first protowire.Number) []byte {
	b = pbuf.AppendUint(b, first+levelField, uint64(x.Content.Level))
	b = pbuf.AppendUint(b, first+indexField, uint64(x.Content.Index))
	b = pbuf.AppendBytes(b, first+sumsField, AppendSums(nil, x.Content.Sums))
	b = pbuf.AppendBytes(b, first+itemsField, AppendItems(nil, x.Content.Items))
	b = pbuf.AppendBool(b, first+partialField, x.Content.Partial)
	return pbuf.AppendBytes(b, first+requestedField, AppendHashes(nil, x.Requested))
}

// DecodeField decodes one field of a message whose first Exchange field has the number
// first. It skips fields that do not belong to an Exchange, as fields of later
// versions are skipped. Its error is pbuf.ErrMalformed. After the last field, the
// caller must check Content.Valid.
func (x *Exchange) DecodeField(first, field protowire.Number, value uint64, body []byte) (err error) {
	switch field - first {
	case levelField:
		x.Content.Level = int(min(value, maxDecodedRangeNumber))
	case indexField:
		x.Content.Index = int(min(value, maxDecodedRangeNumber))
	case sumsField:
		x.Content.Sums, err = DecodeSums(body)
	case itemsField:
		x.Content.Items, err = DecodeItems(body)
	case partialField:
		x.Content.Partial = value != 0
	case requestedField:
		x.Requested, err = DecodeHashes(body)
	default: // not a field of an Exchange
	}
	return err
}

// AppendSums appends the digests of a range's children.
func AppendSums(b []byte, sums []uint32) []byte {
	for _, sum := range sums {
		b = binary.BigEndian.AppendUint32(b, sum)
	}
	return b
}

// AppendItems appends hashes of keys with the digests of their entries.
func AppendItems(b []byte, items []Item) []byte {
	for _, item := range items {
		b = binary.BigEndian.AppendUint64(b, item.Hash)
		b = binary.BigEndian.AppendUint32(b, item.Sum)
	}
	return b
}

// AppendHashes appends hashes of keys.
func AppendHashes(b []byte, hashes []uint64) []byte {
	for _, hash := range hashes {
		b = binary.BigEndian.AppendUint64(b, hash)
	}
	return b
}

// DecodeSums decodes the digests that AppendSums encoded for one range. It returns
// pbuf.ErrMalformed unless there are exactly Fanout digests.
func DecodeSums(b []byte) ([]uint32, error) {
	if len(b) != Fanout*sumBytes {
		return nil, pbuf.ErrMalformed
	}
	return pbuf.DecodeList(b, sumBytes, binary.BigEndian.Uint32)
}

// DecodeItems decodes the items that AppendItems encoded. It returns
// pbuf.ErrMalformed if the last item is incomplete.
func DecodeItems(b []byte) ([]Item, error) { return pbuf.DecodeList(b, itemBytes, decodeItem) }

func decodeItem(b []byte) Item {
	return Item{Hash: binary.BigEndian.Uint64(b), Sum: binary.BigEndian.Uint32(b[hashBytes:])}
}

// DecodeHashes decodes the hashes that AppendHashes encoded. It returns
// pbuf.ErrMalformed if the last hash is incomplete.
func DecodeHashes(b []byte) ([]uint64, error) {
	return pbuf.DecodeList(b, hashBytes, binary.BigEndian.Uint64)
}

// Pack joins encoded entries, in order, into as few bodies of at most maxBytes as
// possible. An entry larger than maxBytes has a body of its own.
func Pack(entries [][]byte, maxBytes int) (bodies [][]byte) {
	var body []byte
	for _, entry := range entries {
		if len(body) > 0 && len(body)+len(entry) > maxBytes {
			bodies = append(bodies, body)
			body = nil
		}
		body = append(body, entry...)
	}
	if len(body) > 0 {
		bodies = append(bodies, body)
	}
	return bodies
}
