package lease

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"reflect"
	"testing"

	"dewhill/internal/antientropy"
	"dewhill/internal/goldentest"
)

var (
	compatKey      = Key{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}
	compatOtherKey = Key{0xff, 0xfe, 0xfd, 0xfc, 0xfb, 0xfa, 0xf9, 0xf8, 0xf7, 0xf6, 0xf5, 0xf4, 0xf3, 0xf2, 0xf1, 0xf0}
	compatLease    = Value{Generation: 2, State: Held, Owner: 0x1122334455667788, Fingerprint: 0x8877665544332211}
	compatEnded    = Value{Generation: 3, State: Ended, Owner: 5, Fingerprint: 6, Outcome: []byte("200 done")}
)

// TestCompatMessages checks that the encoding of each message has not changed in any
// field, as front ends of the previous version decode it.
func TestCompatMessages(t *testing.T) {
	const sender = 0x0102030405060708
	ballot, laterBallot := Ballot{7, sender}, Ballot{1 << 30, 9}
	rangeSums := []uint32{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 0xfffffffe, 0xffffffff}
	rangeItems := []antientropy.Item{{Hash: 0x0102030405060708, Sum: 9}, {Hash: 1, Sum: 0xffffffff}}
	records := []recordCopy{
		{key: compatKey, accepted: ballot, promised: laterBallot, value: compatLease, ageSeconds: 599},
		{key: compatOtherKey, accepted: ballot, value: compatEnded},
		{key: compatOtherKey, promised: ballot, value: Value{State: MayHaveRun, Owner: 1}, ageSeconds: 1},
	}
	cases := []goldentest.Case[message]{
		{Name: "prepare", Value: message{
			verb: verbPrepare, canVote: true, senderID: sender, key: compatKey, ballot: ballot,
		}},
		{Name: "promise", Value: message{
			verb: verbPromise, canVote: true, senderID: sender, key: compatKey, ballot: ballot, accepted: laterBallot, value: compatLease,
		}},
		{Name: "promise-no", Value: message{
			verb: verbPromise, canVote: true, senderID: sender, key: compatKey, ballot: ballot, rejected: true, promised: laterBallot,
		}},
		{Name: "accept", Value: message{
			verb: verbAccept, senderID: sender, key: compatKey, ballot: ballot, value: compatLease,
		}},
		{Name: "accept-free", Value: message{
			verb: verbAccept, senderID: sender, key: compatKey, ballot: ballot, value: Value{Generation: 4},
		}},
		{Name: "accepted", Value: message{
			verb: verbAccepted, canVote: true, senderID: sender, key: compatKey, ballot: ballot,
		}},
		{Name: "accepted-ended", Value: message{
			verb: verbAccepted, canVote: true, senderID: sender, key: compatKey, ballot: ballot, accepted: laterBallot, value: compatEnded,
		}},
		{Name: "fact", Value: message{
			verb: verbOutcome, canVote: true, senderID: sender, key: compatOtherKey, accepted: ballot, value: compatEnded,
		}},
		{Name: "known", Value: message{verb: verbOutcomeAck, senderID: sender, key: compatOtherKey}},
		{Name: "root", Value: message{
			verb: verbProbe, nonce: 0xffffffff, senderID: sender, digest: 0x1112131415161718,
		}},
		{Name: "same", Value: message{
			verb: verbMatch, nonce: 1, canVote: true, senderID: sender, digest: 0x1112131415161718,
		}},
		{Name: "ask", Value: message{
			verb: verbRangeRequest, nonce: 3, senderID: sender,
			exchange: antientropy.Exchange{Content: antientropy.RangeContent{Range: antientropy.Range{Level: 1, Index: 15}}},
		}},
		{Name: "sums", Value: message{
			verb: verbRangeSums, nonce: 3, canVote: true, senderID: sender,
			exchange: antientropy.Exchange{Content: antientropy.RangeContent{Range: antientropy.Range{Level: 2, Index: 255}, Sums: rangeSums}},
		}},
		{Name: "items", Value: message{
			verb: verbRangeItems, senderID: sender,
			exchange: antientropy.Exchange{Content: antientropy.RangeContent{Range: antientropy.Range{Level: 3, Index: 4095}, Items: rangeItems, Partial: true}},
		}},
		{Name: "want", Value: message{
			verb: verbRecordRequest, senderID: sender, exchange: antientropy.Exchange{Requested: []uint64{0x0102030405060708, 1}},
		}},
		{Name: "tell", Value: message{verb: verbRecords, canVote: true, senderID: sender, records: records}},
	}
	encode := func(m message) []byte {
		b := m.append(nil)
		for _, record := range m.records {
			b = append(b, record.append(nil)...)
		}
		return b
	}
	goldentest.Check(t, "messages.txt", cases, encode, decode)
}

// TestCompatPersisted checks that a front end restores the votes that the previous
// version has persisted, under their keys, and persists them as the same bytes.
func TestCompatPersisted(t *testing.T) {
	golden := goldentest.Read(t, "kept.txt")
	want := []recordCopy{
		{key: compatKey, accepted: Ballot{7, 8}, promised: Ballot{9, 10}, value: compatLease, ageSeconds: 0},
		{key: compatOtherKey, accepted: Ballot{11, 12}, promised: Ballot{11, 12}, value: compatEnded, ageSeconds: 0},
	}
	if len(golden) != len(want)+1 {
		t.Errorf("%d golden lines, want %d", len(golden), len(want)+1)
	}
	m := New(Options{ProcessID: 1, Durable: true, Persisted: golden}, 1)
	m.Apply(0, Start{})
	if !m.CanVote() {
		t.Error("the voter mark is not restored")
	}
	for _, record := range want {
		key := "claim/" + hex.EncodeToString(record.key[:])
		got, err := decode(golden[key])
		if err != nil || !reflect.DeepEqual(got, message{verb: verbRecords, senderID: 1, records: []recordCopy{record}}) {
			t.Errorf("%s decoded %+v, %v", key, got, err)
		}
		restored := m.records.byKey[record.key]
		if restored == nil {
			t.Fatalf("%s is not restored", key)
		}
		if restored.accepted != record.accepted || restored.promised != record.promised || !reflect.DeepEqual(restored.value, record.value) {
			t.Errorf("%s is restored as %+v, want %+v", key, restored, record)
		}
		m.persist(restored, func() {})
		persisted := m.effects.Persists[len(m.effects.Persists)-1]
		if persisted.Key != key || !bytes.Equal(persisted.Record, golden[key]) {
			t.Errorf("%s encoded %x, golden %x", persisted.Key, persisted.Record, golden[key])
		}
	}
}

// TestCompatVoterMark checks the mark that a recovered member writes to its disk.
func TestCompatVoterMark(t *testing.T) {
	golden := goldentest.Read(t, "kept.txt")
	m := New(Options{ProcessID: 1, Durable: true}, 1)
	m.Apply(0, MembersChanged{Size: 1})
	m.Apply(0, Start{})
	for now := 0.0; !m.CanVote() && now < 60_000; now = m.NextTimerMS() {
		for _, persisted := range m.Apply(now, TimerFired{}).Persists {
			if persisted.Key != "voter" || !bytes.Equal(persisted.Record, golden["voter"]) {
				t.Errorf("%s encoded %x, golden %x", persisted.Key, persisted.Record, golden["voter"])
			}
		}
	}
	if !m.CanVote() || m.persistToken == 0 {
		t.Errorf("can vote: %v, %d records persisted, want true and the voter mark",
			m.CanVote(), m.persistToken)
	}
}

// TestCompatDigests checks that equal copies have equal digests in all versions.
// Otherwise front ends of two versions would send one another all records forever.
func TestCompatDigests(t *testing.T) {
	golden := goldentest.Read(t, "digests.txt")
	m := New(Options{ProcessID: 1}, 1)
	check := func(name string, got uint64) {
		t.Helper()
		if encoded := binary.BigEndian.AppendUint64(nil, got); !bytes.Equal(encoded, golden[name]) {
			t.Errorf("%s encoded %x, golden %x", name, encoded, golden[name])
		}
	}
	held, ended := m.recordOf(compatKey), m.recordOf(compatOtherKey)
	m.learn(held, Ballot{7, 8}, compatLease)
	m.promise(held, Ballot{9, 10})
	m.learn(ended, Ballot{11, 12}, compatEnded)
	check("hash", held.Hash())
	check("sum-claimed", held.Sum())
	check("sum-ended", ended.Sum())
	check("copy", m.Digest())
}
