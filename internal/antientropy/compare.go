package antientropy

import "math/rand/v2"

const (
	// maxListedEntries is up to how many entries a range is listed, rather than
	// divided further.
	maxListedEntries = 10
	// maxItems bounds the items of a message. A range of the lowest level may have
	// more entries.
	maxItems = 18
	// maxRequested bounds the entries that are requested with one message.
	maxRequested = 26
)

// Range names a range of hashes by its level below the whole set, which is
// Range{}, and its index within the level.
type Range struct {
	Level int
	Index int
}

// Valid reports whether there is such a range.
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

// HasChildren reports whether a valid range is divided into smaller ones.
func (r Range) HasChildren() bool { return r.Level < Levels }

// child returns one of the Fanout ranges into which a range is divided.
func (r Range) child(i int) Range { return Range{Level: r.Level + 1, Index: r.Index*Fanout + i} }

// Item is the hash of an entry's key and the digest of its content.
type Item struct {
	Hash uint64
	Sum  uint32
}

// RangeContent describes what a copy holds in a range: by the digests of the
// range's children, or by the range's entries.
type RangeContent struct {
	Range
	Sums    []uint32 // nil: Items are given instead
	Items   []Item
	Partial bool // Items are not all entries of the range
}

// HasSums reports whether a valid content gives the digests of a range's children.
func (c *RangeContent) HasSums() bool { return c.Sums != nil && c.HasChildren() }

// entries returns the entries in a range.
func (t *Tree[E]) entries(r Range) (list []E) {
	width := 1 // in leaves
	for range Levels - r.Level {
		width *= Fanout
	}
	for _, leaf := range t.leaves[r.Index*width : (r.Index+1)*width] {
		list = append(list, leaf...)
	}
	return list
}

// Sums returns the digests of a range's children. The range must be valid and not
// of the lowest level.
func (t *Tree[E]) Sums(r Range) []uint32 {
	sums := make([]uint32, 0, Fanout)
	for _, sum := range t.sums[r.Level+1][r.Index*Fanout : (r.Index+1)*Fanout] {
		sums = append(sums, shortDigest(sum))
	}
	return sums
}

// Summary describes a range by the digests of its children, which it must have.
func (t *Tree[E]) Summary(r Range) RangeContent { return RangeContent{Range: r, Sums: t.Sums(r)} }

// Descend calls visit with what this copy holds in those children of a range whose
// digests in another copy differ, until hasBudget reports false. It starts at a
// random child, so that a small budget does not always go to the same ones.
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
		visit(t.content(r.child(i), rng))
	}
}

// content describes a range: a large one by the digests of its children, a small
// one by its entries, or a random part of them.
func (t *Tree[E]) content(r Range, rng *rand.Rand) RangeContent {
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

// Compare compares a range with the entries that another copy lists. It returns
// the entries of this copy that the other one lacks or has with another content,
// and the hashes of the entries for which that is so the other way round.
func (t *Tree[E]) Compare(remote RangeContent) (toSend []E, toRequest []uint64) {
	unmatched := map[uint64]uint32{} // sums by hash
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
