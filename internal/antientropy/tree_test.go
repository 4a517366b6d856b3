package antientropy

import (
	"math/rand/v2"
	"testing"
)

// testEntry is an entry whose key and content are one number.
type testEntry uint64

func (e testEntry) Hash() uint64 { return Mix(uint64(e)) }
func (e testEntry) Sum() uint64  { return Mix(uint64(e) + 1<<32) }

// TestComparisonFindsDifferences checks that the steps of a comparison find all entries
// that only one of two copies has, and no other entries.
func TestComparisonFindsDifferences(t *testing.T) {
	const (
		common    = 600
		different = 20
	)
	local, remote := New[testEntry](), New[testEntry]()
	onlyLocal, onlyRemote := map[testEntry]bool{}, map[uint64]bool{}
	for i := range common {
		local.Insert(testEntry(i))
		remote.Insert(testEntry(i))
	}
	for i := range different {
		onlyHere, onlyThere := testEntry(common+2*i), testEntry(common+2*i+1)
		local.Insert(onlyHere)
		remote.Insert(onlyThere)
		onlyLocal[onlyHere] = true
		onlyRemote[onlyThere.Hash()] = true
	}
	rng := rand.New(rand.NewPCG(1, 2))
	unlimited := func() bool { return true }
	var compare func(from, to *Tree[testEntry], content RangeContent)
	compare = func(from, to *Tree[testEntry], content RangeContent) {
		if content.Sums != nil {
			to.Descend(content.Range, content.Sums, rng, unlimited, func(child RangeContent) { compare(to, from, child) })
			return
		}
		toSend, toRequest := to.Compare(content)
		for _, e := range toSend {
			checkFound(t, to == local, onlyLocal, onlyRemote, e.Hash(), e)
		}
		for _, hash := range toRequest {
			for _, e := range from.Find(hash) {
				checkFound(t, from == local, onlyLocal, onlyRemote, hash, e)
			}
		}
	}
	compare(local, remote, RangeContent{Sums: local.Sums(Range{})})
	if len(onlyLocal) > 0 || len(onlyRemote) > 0 {
		t.Errorf("not found: %d local and %d remote entries", len(onlyLocal), len(onlyRemote))
	}
}

// checkFound checks that an entry found by a comparison is in only one of the copies,
// and removes it from the entries that the comparison must still find.
func checkFound(t *testing.T, isLocal bool, onlyLocal map[testEntry]bool, onlyRemote map[uint64]bool, hash uint64, e testEntry) {
	t.Helper()
	if isLocal != onlyLocal[e] || !isLocal != onlyRemote[hash] {
		t.Errorf("entry %d found (only in the local copy: %v), which is in both copies or found before", e, isLocal)
	}
	delete(onlyLocal, e)
	delete(onlyRemote, hash)
}

// TestRemove checks that the tree is the same after an entry was inserted and removed,
// and that removing an absent entry changes nothing.
func TestRemove(t *testing.T) {
	tree := New[testEntry]()
	tree.Insert(1)
	digest := tree.Digest()
	tree.Insert(2)
	tree.Remove(2)
	tree.Remove(3)
	if tree.Digest() != digest || len(tree.Find(testEntry(2).Hash())) != 0 || len(tree.Find(testEntry(1).Hash())) != 1 {
		t.Errorf("after removal: digest %x, want %x, and only entry 1 found", tree.Digest(), digest)
	}
}

// TestRangeValid checks the bounds of a range's level and index.
func TestRangeValid(t *testing.T) {
	cases := []struct {
		name string
		r    Range
		want bool
	}{
		{"whole set", Range{}, true},
		{"beyond the whole set", Range{Level: 0, Index: 1}, false},
		{"last range", Range{Level: 3, Index: 4095}, true},
		{"beyond the last range", Range{Level: 3, Index: 4096}, false},
		{"below the lowest level", Range{Level: 4, Index: 0}, false},
		{"negative level", Range{Level: -1, Index: 0}, false},
		{"negative index", Range{Level: 1, Index: -1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.r.Valid(); got != c.want {
				t.Errorf("%+v.Valid() = %v, want %v", c.r, got, c.want)
			}
		})
	}
}
