package replication

import (
	"bytes"
	"encoding/binary"
	"reflect"
	"strings"
	"testing"

	"dewhill/internal/antientropy"
	"dewhill/internal/goldentest"
)

// compatDisable has every field set, and compatEnable only the required fields.
var (
	compatDisable = entry{
		key: Key{Engine, "engine-1.example:8080"},
		write: &Override{
			Dot:      Dot{0x1122334455667788, 1790000000000<<16 | 3},
			Disabled: true,
			Origin:   "front-0",
			Context:  []Dot{{0x8877665544332211, 1789999999999 << 16}, {5, 6}},
		},
	}
	compatEnable = entry{
		key:   Key{FrontEnd, "front-2"},
		write: &Override{Dot: Dot{9, 1 << 62}, Origin: "front-1"},
	}
)

// TestCompatMessages checks that the encoding of each message has not changed, as front
// ends of the previous version decode it.
func TestCompatMessages(t *testing.T) {
	rangeSums := []uint32{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 0xfffffffe, 0xffffffff}
	rangeItems := []antientropy.Item{{Hash: 0x0102030405060708, Sum: 9}, {Hash: 1, Sum: 0xffffffff}}
	sums := antientropy.RangeContent{Range: antientropy.Range{Level: 2, Index: 255}, Sums: rangeSums}
	items := antientropy.RangeContent{Range: antientropy.Range{Level: 3, Index: 4095}, Items: rangeItems, Partial: true}
	cases := []goldentest.Case[message]{
		{Name: "put", Value: message{verb: verbWrite, sequence: 1<<24 + 1, ready: true, entries: []entry{compatDisable}}},
		{Name: "ack", Value: message{verb: verbAck, sequence: 1<<24 + 1}},
		{Name: "tell", Value: message{verb: verbEntries, ready: true, entries: []entry{compatEnable, compatDisable}}},
		{Name: "root", Value: message{verb: verbProbe, ready: true, digest: 0x0102030405060708}},
		{Name: "root-of-nothing", Value: message{verb: verbProbe}},
		{Name: "same", Value: message{verb: verbMatch, digest: 0x0102030405060708}},
		{Name: "sums", Value: message{verb: verbRangeSums, ready: true, exchange: antientropy.Exchange{Content: sums}}},
		{Name: "items", Value: message{verb: verbRangeItems, exchange: antientropy.Exchange{Content: items}}},
		{Name: "want", Value: message{verb: verbRequest, ready: true, exchange: antientropy.Exchange{
			Requested: []uint64{0x0102030405060708, 1},
		}}},
	}
	encode := func(m message) []byte {
		b := m.append(nil)
		for _, e := range m.entries {
			b = appendEntry(b, e.key, e.write)
		}
		return b
	}
	goldentest.Check(t, "messages.txt", cases, encode, decode)
}

// TestCompatPersisted checks that an upgraded front end restores the registers that the
// previous version has persisted, by their keys, and persists them as the same bytes.
func TestCompatPersisted(t *testing.T) {
	second := entry{compatDisable.key, &Override{Dot: Dot{0x99 << 56, 1790000000001 << 16}, Origin: "front-2"}}
	golden := goldentest.Read(t, "kept.txt")
	want := map[string][]entry{
		"word/e/engine-1.example:8080": {compatDisable, second},
		"word/f/front-2":               {compatEnable},
	}
	if len(golden) != len(want) {
		t.Errorf("the golden file has %d entries, want %d", len(golden), len(want))
	}
	persisted := map[string][]byte{}
	for key, entries := range want {
		got, err := decodeRegister(golden[key])
		if err != nil || !reflect.DeepEqual(got, entries) {
			t.Errorf("%s: decoded %+v, %v, want %+v", key, got, err, entries)
		}
		persisted[strings.TrimPrefix(key, "word/")] = golden[key]
	}
	r := New(Options{Name: "front-0", ProcessID: 1, Durable: true, Persisted: persisted}, 1)
	r.Apply(0, Start{})
	if r.Counters.Malformed > 0 || !r.IsDisabled(compatDisable.key) || r.IsDisabled(compatEnable.key) || len(r.Registers()) != 2 {
		t.Errorf("restored %+v, %d malformed", r.Registers(), r.Counters.Malformed)
	}
	for key, entries := range want {
		checkCompatPersists(t, key, entries, golden[key])
	}
}

// checkCompatPersists checks the record that a replica persists for writes that it receives
// from another replica.
func checkCompatPersists(t *testing.T, key string, entries []entry, golden []byte) {
	t.Helper()
	r := New(Options{Name: "front-0", ProcessID: 1, Durable: true}, 1)
	r.Apply(0, Start{})
	encoded := (&message{verb: verbEntries}).append(nil)
	for _, e := range entries {
		encoded = appendEntry(encoded, e.key, e.write)
	}
	persists := r.Apply(0, MessageReceived{Message: encoded}).Persists
	if len(persists) == 0 {
		t.Fatalf("%s is not persisted", key)
	}
	last := persists[len(persists)-1]
	if last.Key != key || !bytes.Equal(last.Record, golden) {
		t.Errorf("%s encoded %x, golden %x", last.Key, last.Record, golden)
	}
}

// TestCompatDigests checks that all versions compute the same digests for equal copies.
// Otherwise front ends would send all their writes to each other again and again.
func TestCompatDigests(t *testing.T) {
	r := New(Options{Name: "front-0", ProcessID: 1}, 1)
	golden := goldentest.Read(t, "digests.txt")
	check := func(name string, got uint64) {
		t.Helper()
		if encoded := binary.BigEndian.AppendUint64(nil, got); !bytes.Equal(encoded, golden[name]) {
			t.Errorf("%s encoded %x, golden %x", name, encoded, golden[name])
		}
	}
	for _, e := range []entry{compatDisable, compatEnable} {
		reg, _ := r.merge(e.key, e.write)
		check("hash-"+e.key.ID, reg.Hash())
		check("sum-"+e.key.ID, reg.Sum())
	}
	check("copy", r.Digest())
}
