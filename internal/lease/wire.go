package lease

import (
	"google.golang.org/protobuf/encoding/protowire"

	"dewhill/internal/antientropy"
	"dewhill/internal/pbuf"
)

// verb is the type of a message.
type verb uint8

// The verbs. Their numbers are part of the wire form.
const (
	verbPrepare       verb = 1 + iota // starts a round
	verbPromise                       // reply to verbPrepare: the accepted value, or a rejection
	verbAccept                        // proposes a value
	verbAccepted                      // reply to verbAccept
	verbOutcome                       // announces an outcome
	verbOutcomeAck                    // reply to verbOutcome
	verbProbe                         // sends the digest of all records
	verbMatch                         // reply to verbProbe: the digests are equal
	verbRangeRequest                  // requests the digests of a range's children
	verbRangeSums                     // sends these digests; also replies to verbProbe if copies differ
	verbRangeItems                    // lists the items in a range
	verbRecordRequest                 // requests records by the hashes of their keys
	verbRecords                       // sends records
)

// hasKey reports whether messages with the verb have a key.
func (v verb) hasKey() bool { return v <= verbOutcomeAck }

// hasBallot reports whether messages with the verb belong to a round.
func (v verb) hasBallot() bool { return v <= verbAccepted }

// isComparison reports whether messages with the verb compare copies or repair them.
func (v verb) isComparison() bool { return v >= verbProbe }

// message is the content of one datagram. In protobuf terms:
//
//	message Message {
//	  uint32 verb = 1; uint32 nonce = 2; bool can_vote = 3; fixed64 sender_id = 4;
//	  bytes key = 5; Ballot ballot = 6, 7;
//	  bool rejected = 8;        // a later round, promised, has begun
//	  Ballot promised = 9, 10; Ballot accepted = 11, 12; Value value = 13;
//	  antientropy.Exchange exchange = 14 to 19;
//	  fixed64 digest = 20; repeated Record records = 21;
//	}
//	message Value {
//	  uint32 generation = 1; uint32 state = 2; fixed64 owner = 3;
//	  fixed64 fingerprint = 4; bytes outcome = 5;
//	}
//	message Record {
//	  bytes key = 1; Ballot accepted = 2, 3; Value value = 4;
//	  uint32 age_seconds = 5; Ballot promised = 6, 7;
//	}
//
// A Ballot has two fields: uint32 number; fixed64 proposer_id.
type message struct {
	verb     verb
	nonce    uint32
	canVote  bool
	senderID uint64
	key      Key
	ballot   Ballot
	rejected bool
	promised Ballot
	accepted Ballot
	value    Value
	exchange antientropy.Exchange
	digest   uint64
	records  []recordCopy
}

// recordCopy is a record in a message or on disk.
type recordCopy struct {
	key        Key
	accepted   Ballot
	promised   Ballot
	value      Value
	ageSeconds uint32
}

// copyOf returns a copy of a record for a message or the disk, with its current age.
func (m *Manager) copyOf(r *record) *recordCopy {
	return &recordCopy{
		key:        r.key,
		accepted:   r.accepted,
		promised:   r.promised,
		value:      r.value,
		ageSeconds: uint32((m.nowMS - r.createdAtMS) / 1000),
	}
}

const (
	// MaxOutcomeBytes bounds the outcome of a load. Longer outcomes are truncated.
	MaxOutcomeBytes = 96
	// maxBallotNumber and maxGeneration bound the numbers in a message, so that
	// higher numbers always remain available.
	maxBallotNumber = 1 << 30
	maxGeneration   = 1 << 30
	maxAgeSeconds   = 1 << 31
)

// The field numbers of a Message.
const (
	fieldVerb             protowire.Number = 1
	fieldNonce            protowire.Number = 2
	fieldCanVote          protowire.Number = 3
	fieldSenderID         protowire.Number = 4
	fieldKey              protowire.Number = 5
	fieldBallot           protowire.Number = 6
	fieldBallotProposer   protowire.Number = 7
	fieldRejected         protowire.Number = 8
	fieldPromised         protowire.Number = 9
	fieldPromisedProposer protowire.Number = 10
	fieldAccepted         protowire.Number = 11
	fieldAcceptedProposer protowire.Number = 12
	fieldValue            protowire.Number = 13
	fieldExchange         protowire.Number = 14
	fieldDigest           protowire.Number = 20
	fieldRecord           protowire.Number = 21
)

// append appends all fields except the records.
func (m *message) append(b []byte) []byte {
	b = pbuf.AppendUint(b, fieldVerb, uint64(m.verb))
	b = pbuf.AppendUint(b, fieldNonce, uint64(m.nonce))
	b = pbuf.AppendBool(b, fieldCanVote, m.canVote)
	b = pbuf.AppendFixed64(b, fieldSenderID, m.senderID)
	if m.verb.hasKey() {
		b = pbuf.AppendBytes(b, fieldKey, m.key[:])
	}
	b = m.ballot.append(b, fieldBallot)
	b = pbuf.AppendBool(b, fieldRejected, m.rejected)
	b = m.promised.append(b, fieldPromised)
	b = m.accepted.append(b, fieldAccepted)
	b = m.value.append(b, fieldValue)
	b = m.exchange.Append(b, fieldExchange)
	if m.verb == verbProbe || m.verb == verbMatch {
		b = pbuf.AppendFixed64(b, fieldDigest, m.digest)
	}
	return b
}

// decode decodes a message. Its error is pbuf.ErrMalformed.
func decode(b []byte) (m message, err error) {
	err = pbuf.Decode(b, m.decodeField, m.validate)
	return m, err
}

func (m *message) decodeField(field protowire.Number, value uint64, body []byte) (err error) {
	switch field {
	case fieldVerb:
		m.verb = verb(pbuf.ClampUint8(value))
	case fieldNonce:
		m.nonce, err = pbuf.Uint32(value)
	case fieldCanVote:
		m.canVote = value != 0
	case fieldSenderID:
		m.senderID = value
	case fieldKey:
		err = m.key.decode(body)
	case fieldBallot:
		err = m.ballot.decodeNumber(value)
	case fieldBallotProposer:
		m.ballot.ProposerID = value
	case fieldRejected:
		m.rejected = value != 0
	case fieldPromised:
		err = m.promised.decodeNumber(value)
	case fieldPromisedProposer:
		m.promised.ProposerID = value
	case fieldAccepted:
		err = m.accepted.decodeNumber(value)
	case fieldAcceptedProposer:
		m.accepted.ProposerID = value
	case fieldValue:
		m.value, err = decodeValue(body)
	case fieldDigest:
		m.digest = value
	case fieldRecord:
		var c recordCopy
		c, err = decodeRecord(body)
		m.records = append(m.records, c)
	default: // a field of the exchange, or of a later version
		err = m.exchange.DecodeField(fieldExchange, field, value, body)
	}
	return err
}

// validate checks that all fields that the verb requires are present and consistent.
func (m *message) validate() error {
	content := &m.exchange.Content
	switch {
	case m.verb < verbPrepare || m.verb > verbRecords,
		m.senderID == 0,
		m.verb.hasKey() && m.key == Key{},
		m.verb.hasBallot() && m.ballot.Number == 0,
		!content.Valid(),
		m.verb == verbRangeRequest && !content.HasChildren(),
		m.verb == verbRangeSums && !content.HasSums():
		return pbuf.ErrMalformed
	default:
		return nil
	}
}

// append appends a ballot as two fields. The first field has the given number.
func (b Ballot) append(encoded []byte, first protowire.Number) []byte {
	if b.Number == 0 {
		return encoded
	}
	encoded = pbuf.AppendUint(encoded, first, uint64(b.Number))
	return pbuf.AppendFixed64(encoded, first+1, b.ProposerID)
}

func (b *Ballot) decodeNumber(value uint64) (err error) {
	b.Number, err = pbuf.AtMost[uint32](value, maxBallotNumber)
	return err
}

func (k *Key) decode(body []byte) error {
	if len(body) != len(k) {
		return pbuf.ErrMalformed
	}
	copy(k[:], body)
	return nil
}

// The field numbers of a Value.
const (
	valueGeneration  protowire.Number = 1
	valueState       protowire.Number = 2
	valueOwner       protowire.Number = 3
	valueFingerprint protowire.Number = 4
	valueOutcome     protowire.Number = 5
)

func (v *Value) append(b []byte, field protowire.Number) []byte {
	body := pbuf.AppendUint(nil, valueGeneration, uint64(v.Generation))
	body = pbuf.AppendUint(body, valueState, uint64(v.State))
	if v.Owner != 0 {
		body = pbuf.AppendFixed64(body, valueOwner, v.Owner)
	}
	if v.Fingerprint != 0 {
		body = pbuf.AppendFixed64(body, valueFingerprint, v.Fingerprint)
	}
	return pbuf.AppendBytes(b, field, pbuf.AppendBytes(body, valueOutcome, v.Outcome))
}

func decodeValue(b []byte) (v Value, err error) {
	err = pbuf.ForEachField(b, func(field protowire.Number, value uint64, body []byte) (err error) {
		switch field {
		case valueGeneration:
			v.Generation = uint32(min(value, maxGeneration))
		case valueState:
			v.State, err = pbuf.AtMost(value, Ended)
		case valueOwner:
			v.Owner = value
		case valueFingerprint:
			v.Fingerprint = value
		case valueOutcome:
			if len(body) > MaxOutcomeBytes {
				return pbuf.ErrMalformed
			}
			v.Outcome = append([]byte(nil), body...)
		default: // a field of a later version
		}
		return err
	})
	return v, err
}

// The field numbers of a Record.
const (
	recordKey              protowire.Number = 1
	recordAccepted         protowire.Number = 2
	recordAcceptedProposer protowire.Number = 3
	recordValue            protowire.Number = 4
	recordAgeSeconds       protowire.Number = 5
	recordPromised         protowire.Number = 6
	recordPromisedProposer protowire.Number = 7
)

// append appends a record as a field of a message.
func (c *recordCopy) append(b []byte) []byte {
	body := pbuf.AppendBytes(nil, recordKey, c.key[:])
	body = c.accepted.append(body, recordAccepted)
	body = c.value.append(body, recordValue)
	body = pbuf.AppendUint(body, recordAgeSeconds, uint64(c.ageSeconds))
	body = c.promised.append(body, recordPromised)
	return pbuf.AppendBytes(b, fieldRecord, body)
}

func decodeRecord(b []byte) (c recordCopy, err error) {
	err = pbuf.ForEachField(b, func(field protowire.Number, value uint64, body []byte) (err error) {
		switch field {
		case recordKey:
			err = c.key.decode(body)
		case recordAccepted:
			err = c.accepted.decodeNumber(value)
		case recordAcceptedProposer:
			c.accepted.ProposerID = value
		case recordValue:
			c.value, err = decodeValue(body)
		case recordAgeSeconds:
			c.ageSeconds = uint32(min(value, maxAgeSeconds))
		case recordPromised:
			err = c.promised.decodeNumber(value)
		case recordPromisedProposer:
			c.promised.ProposerID = value
		default: // a field of a later version
		}
		return err
	})
	if err == nil && c.key == (Key{}) {
		err = pbuf.ErrMalformed
	}
	return c, err
}
