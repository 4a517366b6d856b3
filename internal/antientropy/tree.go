package antientropy

import "hash/fnv"

const (
	// Levels is the number of levels of ranges below the whole set.
	Levels = 3
	// Fanout is the number of ranges into which the set, or a range, is divided.
	Fanout = 16

	leafCount = Fanout * Fanout * Fanout
	// bitsPerLevel is the number of bits of a hash that select a range within its
	// parent.
	bitsPerLevel = 4
	hashBits     = 64
)

// Entry is a member of a set. Its hash must not change while the entry is in a Tree.
// When its sum changes, Tree.Update must be called.
type Entry interface {
	comparable
	Hash() uint64 // of its key
	Sum() uint64  // digest of its content; 0: no content, compared as if it were absent
}

// Tree is a set of entries with the digests of its ranges. It is not safe for
// concurrent use.
type Tree[E Entry] struct {
	sums   [Levels + 1][]uint64 // digests by level and range; level 0 is the whole set
	counts [Levels + 1][]int    // numbers of entries by level and range
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

// Mix is the finalizer of SplitMix64, which spreads the bits of a number. It must not
// change, because digests depend on it.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// HashString hashes a string with FNV-1a and then Mix, so that similar strings fall
// into different ranges. It must not change, because digests depend on it.
func HashString(s string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s)) // Write of a hash never returns an error
	return Mix(hash.Sum64())
}

// shortDigest returns the 4-byte form of a digest in messages.
func shortDigest(sum uint64) uint32 { return uint32(Mix(sum)) }

// rangeIndex returns the index of the range of a level that contains a hash.
func rangeIndex(level int, hash uint64) int { return int(hash >> (hashBits - bitsPerLevel*level)) }

// Find returns the entries with the given hash.
func (t *Tree[E]) Find(hash uint64) (found []E) {
	for _, e := range t.leaves[rangeIndex(Levels, hash)] {
		if e.Hash() == hash {
			found = append(found, e)
		}
	}
	return found
}

// FindAll returns the entries with the given hashes, in the order of the hashes.
func (t *Tree[E]) FindAll(hashes []uint64) (found []E) {
	for _, hash := range hashes {
		found = append(found, t.Find(hash)...)
	}
	return found
}

// Insert adds an entry. The entry must not be in the set yet.
func (t *Tree[E]) Insert(e E) {
	leaf := rangeIndex(Levels, e.Hash())
	t.leaves[leaf] = append(t.leaves[leaf], e)
	for level := range t.counts {
		t.counts[level][rangeIndex(level, e.Hash())]++
	}
	t.Update(e, 0)
}

// Update updates the digests after an entry's sum has changed from oldSum.
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
