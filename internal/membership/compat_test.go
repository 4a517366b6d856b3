package membership

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dewhill/internal/goldentest"
)

// TestCompatMessages checks that encoded messages are equal to golden messages, so
// that front ends of the previous version can decode each field.
func TestCompatMessages(t *testing.T) {
	v4 := netip.MustParseAddrPort("10.1.2.3:7946")
	v6 := netip.MustParseAddrPort("[fd00::1]:80")
	digests := []uint16{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 0xfffe, 0xffff}
	cases := []goldentest.Case[message]{
		{Name: "least", Value: message{kind: gossip, incarnation: 1}},
		{Name: "ping", Value: message{kind: ping, seq: 7000, incarnation: 3, bootID: 0xdeadbeef, name: "front-0",
			listSize: 5, digest: 0x0102030405060708, rangeDigests: digests, uptime: 11, namesWantedFrom: 2}},
		{Name: "ack", Value: message{kind: ack, seq: 7000, incarnation: 1 << 30, bootID: 1,
			name: strings.Repeat("n", 32), listSize: 1 << 14, digest: 1}},
		{Name: "ask-by-number", Value: message{kind: pingRequest, seq: 1, incarnation: 2, bootID: 9, listSize: 5, digest: 2, target: 5}},
		{Name: "ask-by-name", Value: message{kind: pingRequest, seq: 1, incarnation: 2, bootID: 9, name: "joined", digest: 2,
			targetName: "another"}},
		{Name: "relay", Value: message{kind: indirectAck, seq: 2, incarnation: 2, bootID: 9, listSize: 5, digest: 2, target: 1,
			targetName: "front-0"}},
		{Name: "nack", Value: message{kind: nack, seq: 3, incarnation: 2, bootID: 9, listSize: 5, digest: 2}},
		{Name: "entries", Value: message{kind: gossip, incarnation: 1, bootID: 1, listSize: 300, digest: 3, updates: []update{
			{number: 0, incarnation: 1, state: Unknown},
			{number: 1, incarnation: 2, state: Alive},
			{number: 2, incarnation: 1 << 30, state: Suspect, reporter: 77},
			{number: 150, incarnation: 4, state: Dead},
			{number: 16383, incarnation: 5, state: Left},
		}}},
		{Name: "names", Value: message{kind: gossip, incarnation: 1, bootID: 1, listSize: 300, digest: 3,
			names: []memberName{{0, "front-0"}, {299, "front-299"}}}},
		{Name: "named", Value: message{kind: gossip, incarnation: 1, bootID: 1, digest: 3, unlistedUpdates: []update{
			{number: -1, name: "joined-4", addr: v4, incarnation: 6, state: Alive},
			{number: -1, name: "joined-6", addr: v6, incarnation: 7, state: Suspect, reporter: 8},
		}}},
		{Name: "whole", Value: message{kind: gossip, incarnation: 1, bootID: 1, listSize: 64, digest: 3, rangeBlocks: []rangeBlock{
			{rangeIndex: 0, incarnation: 1, bits: []byte{0x55}},
			{rangeIndex: 15, incarnation: 300, bits: []byte{0x1b, 0xe4}},
		}}},
		{Name: "alike", Value: message{kind: gossip, incarnation: 1, bootID: 1, listSize: 64, digest: 3, rangeBlocks: []rangeBlock{
			{rangeIndex: 3, incarnation: 2, bits: []byte{0x0f}, uniform: true, state: Dead},
			{rangeIndex: 14, incarnation: 300, bits: []byte{0xff, 0x01}, uniform: true, state: Alive},
		}}},
		{Name: "all", Value: message{kind: ping, seq: 1, incarnation: 2, bootID: 3, name: "front-0", listSize: 4, digest: 5,
			rangeDigests: digests, target: 6, uptime: 7, namesWantedFrom: 8, targetName: "front-1",
			updates:         []update{{number: 9, incarnation: 10, state: Dead}},
			names:           []memberName{{11, "front-11"}},
			unlistedUpdates: []update{{number: -1, name: "joined", addr: v4, incarnation: 12, state: Left}},
			rangeBlocks:     []rangeBlock{{rangeIndex: 13, incarnation: 14, bits: []byte{15}}}}},
	}
	goldentest.Check(t, "messages.txt", cases, encodeMessage, decode)
}

// encodeMessage encodes a message with its updates, names and blocks, as View.transmit
// does.
func encodeMessage(m message) []byte {
	const maxBytes = 250
	b := m.append(nil)
	for _, u := range m.unlistedUpdates {
		b, _ = appendUnlistedUpdate(b, u, maxBytes)
	}
	for _, block := range m.rangeBlocks {
		b, _ = appendRangeBlock(b, block, maxBytes)
	}
	b, _ = appendUpdates(b, m.updates, maxBytes)
	b, _ = appendNames(b, m.names, maxBytes)
	return b
}

// TestCompatDigests checks that equal views have equal digests in every version.
// Otherwise front ends of different versions would synchronize forever.
func TestCompatDigests(t *testing.T) {
	addr := netip.MustParseAddrPort("10.1.2.3:7946")
	peers := []netip.AddrPort{addr, netip.MustParseAddrPort("10.1.2.4:7946")}
	v := New(Options{Name: "front-0", Self: 0, Peers: peers}, 1)
	joined := v.insert("joined", netip.MustParseAddrPort("10.9.9.9:7946"))
	v.setState(v.ring[0], 1, Alive, 0)
	v.setState(v.ring[1], 300, Dead, 0)
	v.setState(joined, 4, Suspect, 7)
	golden := goldentest.Read(t, "digests.txt")
	check := func(name string, got uint64) {
		t.Helper()
		b := binary.BigEndian.AppendUint64(nil, got)
		if !bytes.Equal(b, golden[name]) {
			t.Errorf("%s: digest %x, want golden %x", name, b, golden[name])
		}
	}
	check("view", v.Digest())
	check("entry-alive", v.ring[0].digestTerm())
	check("entry-dead", v.ring[1].digestTerm())
	check("entry-suspect", joined.digestTerm())
	check("range-0", v.rangeDigests[0])
	check("range-0-short", uint64(shortDigest(v.rangeDigests[0])))
	check("range-8", v.rangeDigests[8])
	check("range-of-joined", uint64(v.rangeOf(joined)))
}

// TestCompatNumbers checks the numbers of states and message kinds on the wire, and
// their names, which operators see.
func TestCompatNumbers(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "compat", "words.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for s := Unknown; s <= Left; s++ {
		got.WriteString("state " + string('0'+rune(s)) + " " + s.String() + "\n")
	}
	for kind := ping; kind <= gossip; kind++ {
		got.WriteString("word " + string('0'+rune(kind)) + " " + kind.String() + "\n")
	}
	if got.String() != string(golden) {
		t.Errorf("numbers and names are\n%swant golden\n%s", got.String(), golden)
	}
}
