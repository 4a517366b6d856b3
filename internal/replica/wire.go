package replica

import (
	"encoding/binary"
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// verb is what a message is for.
type verb uint8

// The verbs.
const (
	put   verb = 1 + iota // a word that wants an ack with its number
	ack                   // answers a put: the word, or one that knew it, is held
	tell                  // words, without an answer
	root                  // the digest of all; wants same or sums
	same                  // answers a root: it is the same here
	sums                  // digests of the 16 ranges of a range
	items                 // what is held in a range
	want                  // keys, by hash, whose words the sender lacks
)

// message is one datagram's worth. In protobuf terms:
//
//	message Message {
//	  uint32 verb = 1; uint32 seq = 2;
//	  bool ready = 3;       // the sender has caught up
//	  fixed64 sum = 4;      // its digest of all
//	  uint32 level = 5; uint32 index = 6; // a range
//	  bytes sums = 7;       // 16 of 4 bytes
//	  bytes items = 8;      // (hash of the key 8, digest 4)...
//	  bool part = 9;        // not all that is held there
//	  bytes want = 10;      // hashes of 8 bytes
//	  repeated Entry entries = 11;
//	}
//	message Entry {
//	  uint32 kind = 1; string id = 2; fixed64 author = 3; fixed64 at = 4; bool out = 5;
//	  string by = 6; bytes knows = 7; // (author 8, at 8)...
//	}
type message struct {
	verb   verb
	seq    uint32
	ready  bool
	sum    uint64
	level  int
	index  int
	sums   []uint32
	items  []item
	part   bool
	want   []uint64
	spoken []entry
}

type item struct {
	hash uint64
	sum  uint32
}

type entry struct {
	key  Key
	word *Word
}

const (
	// MostID and MostBy are the bytes of the longest names of a machine and an
	// author: with all the words it knew, a word fits into a datagram of 256.
	MostID, MostBy = 48, 32
	// mostAt bounds the numbers of words: none can use them up.
	mostAt = 1 << 63
)

func appendNum(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func flag(yes bool) uint64 {
	if yes {
		return 1
	}
	return 0
}

func appendFixed(b []byte, field protowire.Number, v uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), v)
}

func appendBytes(b []byte, field protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), v)
}

// append writes all but entries.
func (m *message) append(b []byte) []byte {
	b = appendNum(b, 1, uint64(m.verb))
	b = appendNum(b, 2, uint64(m.seq))
	b = appendNum(b, 3, flag(m.ready))
	if m.verb == root || m.verb == same {
		b = appendFixed(b, 4, m.sum)
	}
	b = appendNum(b, 5, uint64(m.level))
	b = appendNum(b, 6, uint64(m.index))
	var body []byte
	for _, s := range m.sums {
		body = binary.BigEndian.AppendUint32(body, s)
	}
	b = appendBytes(b, 7, body)
	body = nil
	for _, i := range m.items {
		body = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(body, i.hash), i.sum)
	}
	b = appendBytes(b, 8, body)
	b = appendNum(b, 9, flag(m.part))
	body = nil
	for _, h := range m.want {
		body = binary.BigEndian.AppendUint64(body, h)
	}
	return appendBytes(b, 10, body)
}

// appendEntry writes a word.
func appendEntry(b []byte, k Key, w *Word) []byte {
	body := appendNum(nil, 1, uint64(k.Kind))
	body = appendBytes(body, 2, []byte(k.ID))
	body = appendFixed(body, 3, w.Author)
	body = appendFixed(body, 4, w.At)
	body = appendNum(body, 5, flag(w.Out))
	body = appendBytes(body, 6, []byte(w.By))
	var knows []byte
	for _, d := range w.Knows {
		knows = binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(knows, d.Author), d.At)
	}
	return appendBytes(b, 11, appendBytes(body, 7, knows))
}

var errSpoilt = errors.New("spoilt message")

// fields calls f with each field. Those it does not know are the next version's.
func fields(b []byte, f func(n protowire.Number, v uint64, body []byte) error) error {
	for len(b) > 0 {
		n, typ, k := protowire.ConsumeTag(b)
		if k < 0 {
			return errSpoilt
		}
		b = b[k:]
		var v uint64
		var body []byte
		switch typ {
		case protowire.VarintType:
			v, k = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v, k = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			body, k = protowire.ConsumeBytes(b)
		default:
			k = protowire.ConsumeFieldValue(n, typ, b)
		}
		if k < 0 {
			return errSpoilt
		}
		b = b[k:]
		if err := f(n, v, body); err != nil {
			return err
		}
	}
	return nil
}

// decode reads a message.
func decode(b []byte) (m message, err error) {
	err = fields(b, func(n protowire.Number, v uint64, body []byte) error {
		switch n {
		case 1:
			m.verb = verb(min(v, 255))
		case 2:
			if m.seq = uint32(v); uint64(m.seq) != v {
				return errSpoilt
			}
		case 3:
			m.ready = v != 0
		case 4:
			m.sum = v
		case 5:
			m.level = int(min(v, levels+1))
		case 6:
			m.index = int(min(v, leaves))
		case 7:
			if len(body) != 4*fan {
				return errSpoilt
			}
			for ; len(body) > 0; body = body[4:] {
				m.sums = append(m.sums, binary.BigEndian.Uint32(body))
			}
		case 8:
			if len(body)%12 != 0 {
				return errSpoilt
			}
			for ; len(body) > 0; body = body[12:] {
				m.items = append(m.items, item{binary.BigEndian.Uint64(body), binary.BigEndian.Uint32(body[8:])})
			}
		case 9:
			m.part = v != 0
		case 10:
			if len(body)%8 != 0 {
				return errSpoilt
			}
			for ; len(body) > 0; body = body[8:] {
				m.want = append(m.want, binary.BigEndian.Uint64(body))
			}
		case 11:
			e, err := decodeEntry(body)
			if err != nil {
				return err
			}
			m.spoken = append(m.spoken, e)
		}
		return nil
	})
	size := 1
	for range min(m.level, levels) {
		size *= fan
	}
	if err == nil && (m.verb < put || m.verb > want || m.level > levels || m.index >= size || m.verb == sums && (len(m.sums) != fan || m.level == levels)) {
		err = errSpoilt
	}
	return m, err
}

func decodeEntry(b []byte) (e entry, err error) {
	e.word = &Word{}
	err = fields(b, func(n protowire.Number, v uint64, body []byte) error {
		switch n {
		case 1:
			e.key.Kind = byte(min(v, 255))
		case 2:
			e.key.ID = string(body)
		case 3:
			e.word.Author = v
		case 4:
			e.word.At = v
		case 5:
			e.word.Out = v != 0
		case 6:
			e.word.By = string(body)
		case 7:
			if len(body)%16 != 0 || len(body) > 16*mostKnown {
				return errSpoilt
			}
			for ; len(body) > 0; body = body[16:] {
				e.word.Knows = append(e.word.Knows, Dot{binary.BigEndian.Uint64(body), binary.BigEndian.Uint64(body[8:])})
			}
		}
		return nil
	})
	if err == nil && (e.key.Kind != Engine && e.key.Kind != FrontEnd || e.key.ID == "" || len(e.key.ID) > MostID || len(e.word.By) > MostBy ||
		e.word.Author == 0 || e.word.At == 0 || e.word.At >= mostAt) {
		err = errSpoilt
	}
	return e, err
}

// encodeRegister writes all words of a machine, to be kept.
func encodeRegister(r *register) (b []byte) {
	for _, w := range r.words {
		b = appendEntry(b, r.key, w)
	}
	return b
}

// decodeWords reads what encodeRegister wrote.
func decodeWords(b []byte) (list []entry, err error) {
	err = fields(b, func(n protowire.Number, _ uint64, body []byte) error {
		e, err := decodeEntry(body)
		if n == 11 && err == nil {
			list = append(list, e)
		}
		return err
	})
	return list, err
}
