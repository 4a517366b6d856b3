package antientropy

import (
	"encoding/binary"

	"google.golang.org/protobuf/encoding/protowire"

	"dewhill/internal/pbuf"
)

// Exchange holds the fields of a peer message that belong to a comparison of two
// copies. In protobuf terms, with consecutive field numbers from a first one that
// each protocol chooses:
//
//	uint32 level = first; uint32 index = first+1; // a range
//	bytes sums = first+2;    // Fanout digests of 4 bytes
//	bytes items = first+3;   // (hash 8 bytes, digest 4 bytes)...
//	bool partial = first+4;  // items are not all that is in the range
//	bytes wanted = first+5;  // hashes of 8 bytes
type Exchange struct {
	Content   RangeContent
	Requested []uint64 // hashes of entries that the sender lacks
}

// The fields of an Exchange, counted from its first field number.
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

// maxDecodedRangeNumber is larger than any valid level or index.
const maxDecodedRangeNumber = 1 << 16

// Append writes the fields, the first of which has the given number.
func (x *Exchange) Append(b []byte, first protowire.Number) []byte {
	b = pbuf.AppendUint(b, first+levelField, uint64(x.Content.Level))
	b = pbuf.AppendUint(b, first+indexField, uint64(x.Content.Index))
	b = pbuf.AppendBytes(b, first+sumsField, AppendSums(nil, x.Content.Sums))
	b = pbuf.AppendBytes(b, first+itemsField, AppendItems(nil, x.Content.Items))
	b = pbuf.AppendBool(b, first+partialField, x.Content.Partial)
	return pbuf.AppendBytes(b, first+requestedField, AppendHashes(nil, x.Requested))
}

// DecodeField reads one field, given the number of the first one. Fields that are
// not of an Exchange are skipped, as those of a later version. Its error is
// pbuf.ErrMalformed. Once all fields are read, the caller checks Content.Valid.
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
	default: // not of an Exchange
	}
	return err
}

// AppendSums writes the digests of a range's children.
func AppendSums(b []byte, sums []uint32) []byte {
	for _, sum := range sums {
		b = binary.BigEndian.AppendUint32(b, sum)
	}
	return b
}

// AppendItems writes hashes of keys with their digests.
func AppendItems(b []byte, items []Item) []byte {
	for _, item := range items {
		b = binary.BigEndian.AppendUint64(b, item.Hash)
		b = binary.BigEndian.AppendUint32(b, item.Sum)
	}
	return b
}

// AppendHashes writes hashes of keys.
func AppendHashes(b []byte, hashes []uint64) []byte {
	for _, hash := range hashes {
		b = binary.BigEndian.AppendUint64(b, hash)
	}
	return b
}

// DecodeSums reads what AppendSums wrote of one range. It returns
// pbuf.ErrMalformed unless there are exactly Fanout digests.
func DecodeSums(b []byte) ([]uint32, error) {
	if len(b) != Fanout*sumBytes {
		return nil, pbuf.ErrMalformed
	}
	return pbuf.DecodeList(b, sumBytes, binary.BigEndian.Uint32)
}

// DecodeItems reads what AppendItems wrote. It returns pbuf.ErrMalformed if the
// last item is cut short.
func DecodeItems(b []byte) ([]Item, error) { return pbuf.DecodeList(b, itemBytes, decodeItem) }

func decodeItem(b []byte) Item {
	return Item{Hash: binary.BigEndian.Uint64(b), Sum: binary.BigEndian.Uint32(b[hashBytes:])}
}

// DecodeHashes reads what AppendHashes wrote. It returns pbuf.ErrMalformed if the
// last hash is cut short.
func DecodeHashes(b []byte) ([]uint64, error) {
	return pbuf.DecodeList(b, hashBytes, binary.BigEndian.Uint64)
}

// Pack joins encoded entries, in their order, into as few bodies of at most a number
// of bytes as that allows. An entry that is larger has a body of its own.
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
