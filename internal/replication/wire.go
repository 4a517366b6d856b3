package replication

import (
	"encoding/binary"

	"google.golang.org/protobuf/encoding/protowire"

	"dewhill/internal/antientropy"
	"dewhill/internal/pbuf"
)

// verb identifies the type of a message.
type verb uint8

// The verbs. Their numbers are part of the wire format.
const (
	verbWrite      verb = 1 + iota // a write of the sender, to be acknowledged
	verbAck                        // reply to verbWrite: the write, or a write that supersedes it, is stored
	verbEntries                    // writes that are not acknowledged
	verbProbe                      // digest of all writes, to be compared
	verbMatch                      // reply to verbProbe: the digests are equal
	verbRangeSums                  // digests of a range's children; also the reply to verbProbe if the digests differ
	verbRangeItems                 // entries in a range
	verbRequest                    // request for registers, by the hashes of their keys
)

// message is the content of one datagram. Its definition in protobuf is:
//
//	message Message {
//	  uint32 verb = 1; uint32 sequence = 2;
//	  bool ready = 3;       // the sender has caught up
//	  fixed64 digest = 4;   // of all writes
//	  antientropy.Exchange exchange = 5 to 10;
//	  repeated Entry entries = 11;
//	}
//	message Entry {
//	  uint32 kind = 1; string id = 2; fixed64 process_id = 3; fixed64 timestamp = 4; bool disabled = 5;
//	  string origin = 6; bytes context = 7; // (process_id 8 bytes, timestamp 8 bytes)...
//	}
type message struct {
	verb     verb
	sequence uint32
	ready    bool
	digest   uint64
	exchange antientropy.Exchange
	entries  []entry
}

// entry is a write in a message or in a persisted register.
type entry struct {
	key   Key
	write *Override
}

// These limits are chosen so that a write with the longest ID, the longest origin and a
// full context fits into a datagram of 256 bytes.
const (
	// MaxIDBytes is the maximum length of the ID of a Key.
	MaxIDBytes = 48
	// MaxOriginBytes is the maximum length of the origin of an Override.
	MaxOriginBytes = 32
)

const (
	// timestampLimit bounds the timestamps that are accepted in messages, so that later
	// timestamps always remain for new writes.
	timestampLimit = 1 << 63
	uint64Bytes    = 8
	dotBytes       = 2 * uint64Bytes
)

// The field numbers of a Message.
const (
	fieldVerb     protowire.Number = 1
	fieldSequence protowire.Number = 2
	fieldReady    protowire.Number = 3
	fieldDigest   protowire.Number = 4
	fieldExchange protowire.Number = 5
	fieldEntry    protowire.Number = 11
)

// append appends the encoding of all fields except the entries.
func (m *message) append(b []byte) []byte {
	b = pbuf.AppendUint(b, fieldVerb, uint64(m.verb))
	b = pbuf.AppendUint(b, fieldSequence, uint64(m.sequence))
	b = pbuf.AppendBool(b, fieldReady, m.ready)
	if m.verb == verbProbe || m.verb == verbMatch {
		b = pbuf.AppendFixed64(b, fieldDigest, m.digest)
	}
	return m.exchange.Append(b, fieldExchange)
}

// decode decodes a message. The only error that it returns is pbuf.ErrMalformed.
func decode(b []byte) (m message, err error) {
	err = pbuf.Decode(b, m.decodeField, m.validate)
	return m, err
}

func (m *message) decodeField(field protowire.Number, value uint64, body []byte) (err error) {
	switch field {
	case fieldVerb:
		m.verb = verb(pbuf.ClampUint8(value))
	case fieldSequence:
		m.sequence, err = pbuf.Uint32(value)
	case fieldReady:
		m.ready = value != 0
	case fieldDigest:
		m.digest = value
	case fieldEntry:
		var e entry
		e, err = decodeEntry(body)
		m.entries = append(m.entries, e)
	default: // a field of the exchange, or of a later version
		err = m.exchange.DecodeField(fieldExchange, field, value, body)
	}
	return err
}

// validate checks that the required fields are present and consistent with each other.
func (m *message) validate() error {
	content := &m.exchange.Content
	switch {
	case m.verb < verbWrite || m.verb > verbRequest,
		!content.Valid(),
		m.verb == verbRangeSums && !content.HasSums():
		return pbuf.ErrMalformed
	default:
		return nil
	}
}

// The field numbers of an Entry.
const (
	entryKind      protowire.Number = 1
	entryID        protowire.Number = 2
	entryProcessID protowire.Number = 3
	entryTimestamp protowire.Number = 4
	entryDisabled  protowire.Number = 5
	entryOrigin    protowire.Number = 6
	entryContext   protowire.Number = 7
)

// appendEntry appends the encoding of a write as a field of a message.
func appendEntry(b []byte, key Key, w *Override) []byte {
	body := pbuf.AppendUint(nil, entryKind, uint64(key.Kind))
	body = pbuf.AppendBytes(body, entryID, []byte(key.ID))
	body = pbuf.AppendFixed64(body, entryProcessID, w.ProcessID)
	body = pbuf.AppendFixed64(body, entryTimestamp, w.Timestamp)
	body = pbuf.AppendBool(body, entryDisabled, w.Disabled)
	body = pbuf.AppendBytes(body, entryOrigin, []byte(w.Origin))
	body = pbuf.AppendBytes(body, entryContext, appendDots(nil, w.Context))
	return pbuf.AppendBytes(b, fieldEntry, body)
}

func appendDots(b []byte, dots []Dot) []byte {
	for _, d := range dots {
		b = binary.BigEndian.AppendUint64(b, d.ProcessID)
		b = binary.BigEndian.AppendUint64(b, d.Timestamp)
	}
	return b
}

func decodeEntry(b []byte) (e entry, err error) {
	e.write = &Override{}
	err = pbuf.Decode(b, e.decodeField, e.validate)
	return e, err
}

func (e *entry) decodeField(field protowire.Number, value uint64, body []byte) (err error) {
	switch field {
	case entryKind:
		e.key.Kind = Kind(pbuf.ClampUint8(value))
	case entryID:
		e.key.ID = string(body)
	case entryProcessID:
		e.write.ProcessID = value
	case entryTimestamp:
		e.write.Timestamp = value
	case entryDisabled:
		e.write.Disabled = value != 0
	case entryOrigin:
		e.write.Origin = string(body)
	case entryContext:
		var dots []Dot
		dots, err = decodeDots(body)
		e.write.Context = append(e.write.Context, dots...)
	default: // a field of a later version
	}
	return err
}

func decodeDots(b []byte) ([]Dot, error) {
	if len(b) > dotBytes*maxContextProcesses {
		return nil, pbuf.ErrMalformed
	}
	return pbuf.DecodeList(b, dotBytes, decodeDot)
}

func decodeDot(b []byte) Dot {
	return Dot{ProcessID: binary.BigEndian.Uint64(b), Timestamp: binary.BigEndian.Uint64(b[uint64Bytes:])}
}

// validate checks that the required fields are present and that all fields are within
// their bounds.
func (e *entry) validate() error {
	switch {
	case e.key.Kind != Engine && e.key.Kind != FrontEnd,
		e.key.ID == "",
		len(e.key.ID) > MaxIDBytes,
		len(e.write.Origin) > MaxOriginBytes,
		e.write.ProcessID == 0,
		e.write.Timestamp == 0,
		e.write.Timestamp >= timestampLimit:
		return pbuf.ErrMalformed
	default:
		return nil
	}
}

// encodeRegister encodes all writes of a register, to be persisted.
func encodeRegister(r *register) (b []byte) {
	for _, w := range r.writes {
		b = appendEntry(b, r.key, w)
	}
	return b
}

// decodeRegister decodes the encoding that encodeRegister returns.
func decodeRegister(b []byte) (entries []entry, err error) {
	err = pbuf.ForEachField(b, func(field protowire.Number, _ uint64, body []byte) error {
		e, err := decodeEntry(body)
		if err != nil {
			return err
		}
		if field == fieldEntry {
			entries = append(entries, e)
		}
		return nil
	})
	return entries, err
}
