package antientropy

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"dewhill/internal/goldentest"
)

// TestCompatRangeContents checks that the encoding of a range's content has not
// changed, as front ends of the previous version decode it.
func TestCompatRangeContents(t *testing.T) {
	cases := []goldentest.Case[RangeContent]{
		{Name: "sums", Value: RangeContent{Sums: []uint32{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 0xfffffffe, 0xffffffff}}},
		{Name: "items", Value: RangeContent{Items: []Item{{Hash: 0x0102030405060708, Sum: 9}, {Hash: 1, Sum: 0xffffffff}}}},
	}
	encode := func(content RangeContent) []byte {
		return AppendItems(AppendSums(nil, content.Sums), content.Items)
	}
	decode := func(b []byte) (content RangeContent, err error) {
		content.Sums, err = DecodeSums(b)
		if err == nil {
			return content, nil
		}
		content.Items, err = DecodeItems(b)
		return content, err
	}
	goldentest.Check(t, "parts.txt", cases, encode, decode)
}

// TestCompatHashes checks that the encoding of requested hashes has not changed, as
// front ends of the previous version decode it.
func TestCompatHashes(t *testing.T) {
	cases := []goldentest.Case[[]uint64]{{Name: "hashes", Value: []uint64{0x0102030405060708, 0, 1<<64 - 1}}}
	encode := func(list []uint64) []byte { return AppendHashes(nil, list) }
	goldentest.Check(t, "hashes.txt", cases, encode, DecodeHashes)
}

// TestCompatDigests checks that all versions compute the same digests for a whole set and
// for its ranges, and descend into the same ranges.
func TestCompatDigests(t *testing.T) {
	golden := goldentest.Read(t, "digests.txt")
	check := func(name string, got []byte) {
		t.Helper()
		if !bytes.Equal(got, golden[name]) {
			t.Errorf("%s encoded %x, golden %x", name, got, golden[name])
		}
	}
	tree := New[testEntry]()
	for i := range 600 {
		tree.Insert(testEntry(i + 1))
	}
	check("whole", AppendHashes(nil, []uint64{tree.Digest()}))
	check("sums-of-whole", AppendSums(nil, tree.Sums(Range{})))
	check("sums-of-1-15", AppendSums(nil, tree.Sums(Range{Level: 1, Index: 15})))
	check("sums-of-2-0", AppendSums(nil, tree.Sums(Range{Level: 2, Index: 0})))
	check("mix", AppendHashes(nil, []uint64{Mix(0), Mix(1), Mix(1<<64 - 1)}))
	differing := Range{Level: 1, Index: 15}
	remote := tree.Sums(differing)
	remote[3]++
	var contents []RangeContent
	unlimited := func() bool { return true }
	visit := func(content RangeContent) { contents = append(contents, content) }
	tree.Descend(differing, remote, rand.New(rand.NewPCG(1, 2)), unlimited, visit)
	if len(contents) != 1 || contents[0].Range != (Range{Level: 2, Index: 243}) || contents[0].Partial {
		t.Fatalf("content of the ranges that differ: %+v, want all items of range 243 of level 2", contents)
	}
	check("items-of-2-243", AppendItems(nil, contents[0].Items))
}
