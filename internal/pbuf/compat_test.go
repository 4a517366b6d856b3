package pbuf

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"

	"dewhill/internal/goldentest"
)

// compatFields is a message with one field of each type.
type compatFields struct {
	number uint64
	flag   bool
	fixed  uint64
	body   []byte
}

// TestCompatFields checks that the encoding of each field type has not changed:
// front ends of the previous version run beside new ones during an upgrade.
func TestCompatFields(t *testing.T) {
	cases := []goldentest.Case[compatFields]{
		{Name: "nothing", Value: compatFields{}},
		{Name: "small", Value: compatFields{number: 1, flag: true, fixed: 2, body: []byte("x")}},
		{Name: "large", Value: compatFields{number: 1<<64 - 1, flag: true, fixed: 0x0102030405060708, body: bytes.Repeat([]byte("abc"), 50)}},
	}
	encode := func(f compatFields) []byte {
		b := AppendUint(nil, 1, f.number)
		b = AppendBool(b, 2, f.flag)
		b = AppendFixed64(b, 3, f.fixed)
		return AppendBytes(b, 17, f.body)
	}
	decode := func(b []byte) (f compatFields, err error) {
		err = ForEachField(b, func(field protowire.Number, value uint64, body []byte) error {
			switch field {
			case 1:
				f.number = value
			case 2:
				f.flag = value == 1
			case 3:
				f.fixed = value
			case 17:
				f.body = body
			default:
				return ErrMalformed
			}
			return nil
		})
		return f, err
	}
	goldentest.Check(t, "fields.txt", cases, encode, decode)
}
