package antientropy

import "math/rand/v2"

const (
	// maxListedEntries bounds the entries of a range that is listed. Ranges with more
	// entries are divided further.
	maxListedEntries = 10
	// maxItems bounds the items in a message. A range of the lowest level, which
	// cannot be divided, may have more entries.
	maxItems = 18
	// maxRequested bounds the entries that one message requests.
	maxRequested = 26
)

// Range identifies a range of hashes by its level and its index within that level.
// Range{} is the whole set.
type Range struct {
	Level int
	Index int
}

// Valid reports whether the level and the index are within their bounds.
func (r Range) Valid() bool {
	if r.Level < 0 || r.Level > Levels || r.Index < 0 {
		return false
	}
	size := 1
	for range r.Level {
		size *= Fanout
	}
	return r.Index < size
}

// HasChildren reports whether a valid range is divided into smaller ranges.
func (r Range) HasChildren() bool { return r.Level < Levels }

// child returns the i-th of the Fanout ranges into which a range is divided.
func (r Range) child(i int) Range { return Range{Level: r.Level + 1, Index: r.Index*Fanout + i} }

// Item is the hash of an entry's key and the digest of its content.
type Item struct {
	Hash uint64
	Sum  uint32
}

// RangeContent describes the entries that a copy has in a range, either by the
// digests of the range's children or by a list of the entries.
type RangeContent struct {
	Range
	Sums    []uint32 // digests of the children; nil: Items lists the entries
	Items   []Item
	Partial bool // Items omits some entries of the range
}

// HasSums reports whether a valid content has the digests of a range's children.
func (c *RangeContent) HasSums() bool { return c.Sums != nil && c.HasChildren() }

// entries returns the entries in a range.
func (t *Tree[E]) entries(r Range) (list []E) {
	width := 1 // number of leaves in the range
	for range Levels - r.Level {
		width *= Fanout
	}
	for _, leaf := range t.leaves[r.Index*width : (r.Index+1)*width] {
		list = append(list, leaf...)
	}
	return list
}

// Sums returns the digests of a range's children. The range must be valid and have
// children.
func (t *Tree[E]) Sums(r Range) []uint32 {
	sums := make([]uint32, 0, Fanout)
	for _, sum := range t.sums[r.Level+1][r.Index*Fanout : (r.Index+1)*Fanout] {
		sums = append(sums, shortDigest(sum))
	}
	return sums
}

// Summary describes a range by the digests of its children. The range must be valid
// and have children.
func (t *Tree[E]) Summary(r Range) RangeContent { return RangeContent{Range: r, Sums: t.Sums(r)} }

// Descend compares the digests of a range's children with those of a remote copy. It
// calls visit with the local content of each child that differs, until hasBudget
// reports false. It starts at a random child, so that a small budget is not always
// spent on the same children.
func (t *Tree[E]) Descend(r Range, remote []uint32, rng *rand.Rand, hasBudget func() bool, visit func(RangeContent)) {
	local := t.Sums(r)
	first := rng.IntN(Fanout)
	for k := range Fanout {
		i := (first + k) % Fanout
		if local[i] == remote[i] {
			continue
		}
		if !hasBudget() {
			return
		}
		visit(t.Content(r.child(i), rng))
	}
}

// Content describes a valid range. A range with more than maxListedEntries entries is
// described by the digests of its children, if it has any. Every other range is
// described by its entries, or by a random sample of maxItems of them.
func (t *Tree[E]) Content(r Range, rng *rand.Rand) RangeContent {
	if r.HasChildren() && t.counts[r.Level][r.Index] > maxListedEntries {
		return t.Summary(r)
	}
	content := RangeContent{Range: r}
	for _, e := range t.entries(r) {
		if sum := e.Sum(); sum != 0 {
			content.Items = append(content.Items, Item{Hash: e.Hash(), Sum: shortDigest(sum)})
		}
	}
	if len(content.Items) > maxItems {
		content.Partial = true
		rng.Shuffle(len(content.Items), func(a, b int) {
			content.Items[a], content.Items[b] = content.Items[b], content.Items[a]
		})
		content.Items = content.Items[:maxItems]
	}
	return content
}

// Compare compares a range with the entries that a remote copy lists. It returns the
// local entries that the remote copy lacks or has with different content, and the
// hashes of remote entries that the local copy lacks or has with different content.
func (t *Tree[E]) Compare(remote RangeContent) (toSend []E, toRequest []uint64) {
	unmatched := map[uint64]uint32{} // remote digests by hash
	for _, item := range remote.Items {
		unmatched[item.Hash] = item.Sum
	}
	for _, e := range t.entries(remote.Range) {
		remoteSum, isListed := unmatched[e.Hash()]
		localSum := e.Sum()
		isEqual := isListed && remoteSum == shortDigest(localSum)
		isMissing := !isListed && !remote.Partial
		if localSum != 0 && (isListed && !isEqual || isMissing) {
			toSend = append(toSend, e)
		}
		if isEqual {
			delete(unmatched, e.Hash())
		}
	}
	for _, item := range remote.Items {
		if _, isUnmatched := unmatched[item.Hash]; isUnmatched && len(toRequest) < maxRequested {
			toRequest = append(toRequest, item.Hash)
		}
	}
	return toSend, toRequest
}
