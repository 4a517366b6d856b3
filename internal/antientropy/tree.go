package antientropy

import "hash/fnv"

const (
	// Levels is how many levels of ranges there are below the whole set.
	Levels = 3
	// Fanout is into how many ranges the set, or a range, is divided.
	Fanout = 16

	leafCount = Fanout * Fanout * Fanout
	// bitsPerLevel is how many bits of a hash select a range within its parent.
	bitsPerLevel = 4
	hashBits     = 64
)

// Entry is a member of a set. Its hash must not change while it is in a Tree; when
// its sum changes, Tree.Update must be called.
type Entry interface {
	comparable
	Hash() uint64 // of its key
	Sum() uint64  // digest of its content; 0: it has none, and does not count
}

// Tree is a set of entries with the digests of its ranges. It is not safe for
// concurrent use.
type Tree[E Entry] struct {
	sums   [Levels + 1][]uint64 // digests by level and range; level 0 is the whole set
	counts [Levels + 1][]int    // numbers of entries, likewise
	leaves [][]E                // entries by range of the lowest level
}

// New returns an empty tree.
func New[E Entry]() *Tree[E] {
	t := &Tree[E]{leaves: make([][]E, leafCount)}
	size := 1
	for level := range t.sums {
		t.sums[level] = make([]uint64, size)
		t.counts[level] = make([]int, size)
		size *= Fanout
	}
	return t
}

// Mix spreads the bits of a number: it is the finalizer of SplitMix64. Digests
// depend on it, so it must stay as it is.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// HashString hashes a string by FNV-1a, mixed so that similar strings fall into
// different ranges. Digests depend on it too.
func HashString(s string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s)) // a hash never fails to write
	return Mix(hash.Sum64())
}

// shortDigest returns a digest in the 4 bytes in which it is sent.
func shortDigest(sum uint64) uint32 { return uint32(Mix(sum)) }

// rangeIndex returns the range of a level that a hash falls into.
func rangeIndex(level int, hash uint64) int { return int(hash >> (hashBits - bitsPerLevel*level)) }

// Find returns the entries with a hash.
func (t *Tree[E]) Find(hash uint64) (found []E) {
	for _, e := range t.leaves[rangeIndex(Levels, hash)] {
		if e.Hash() == hash {
			found = append(found, e)
		}
	}
	return found
}

// FindAll returns the entries with any of some hashes, in their order.
func (t *Tree[E]) FindAll(hashes []uint64) (found []E) {
	for _, hash := range hashes {
		found = append(found, t.Find(hash)...)
	}
	return found
}

// Insert adds an entry that is not in the set.
func (t *Tree[E]) Insert(e E) {
	leaf := rangeIndex(Levels, e.Hash())
	t.leaves[leaf] = append(t.leaves[leaf], e)
	for level := range t.counts {
		t.counts[level][rangeIndex(level, e.Hash())]++
	}
	t.Update(e, 0)
}

// Update brings the digests up to date after an entry's sum has changed from
// oldSum.
func (t *Tree[E]) Update(e E, oldSum uint64) {
	change := oldSum ^ e.Sum()
	for level := range t.sums {
		t.sums[level][rangeIndex(level, e.Hash())] ^= change
	}
}

// Remove removes an entry. It does nothing if the entry is not in the set.
func (t *Tree[E]) Remove(e E) {
	leaf := rangeIndex(Levels, e.Hash())
	for i, other := range t.leaves[leaf] {
		if other != e {
			continue
		}
		t.leaves[leaf] = append(t.leaves[leaf][:i:i], t.leaves[leaf][i+1:]...)
		for level := range t.counts {
			index := rangeIndex(level, e.Hash())
			t.counts[level][index]--
			t.sums[level][index] ^= e.Sum()
		}
		return
	}
}

// Digest returns the digest of the whole set. Sets with equal entries have equal
// digests.
func (t *Tree[E]) Digest() uint64 { return t.sums[0][0] }
