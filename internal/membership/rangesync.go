package membership

import (
	"slices"

	"dewhill/internal/antientropy"
)

const (
	// rangeCount is the number of ranges of members, each of which has a digest.
	rangeCount = 16
	// minBlockMembers is the minimum number of members of one incarnation that take
	// fewer bytes in a block than in single updates.
	minBlockMembers   = 5
	maxBlocksPerRange = 3
	// minUniformWeight is the minimum weight (updateWeight) of updates in a range for
	// which they are sent as a uniform block.
	minUniformWeight = 4 * minBlockMembers
)

// rangeOf returns the range of a member. A range contains listed members with
// consecutive numbers, so that its states take few bytes.
func (v *View) rangeOf(e *entry) int {
	if e.Number < 0 {
		return int(e.key % rangeCount)
	}
	return e.Number * rangeCount / max(1, len(v.options.Peers))
}

// rangeBounds returns the numbers of a range's listed members: from low up to, but
// not including, high.
func (v *View) rangeBounds(rangeIndex int) (low, high int) {
	listed := len(v.options.Peers)
	low = (rangeIndex*listed + rangeCount - 1) / rangeCount
	high = ((rangeIndex+1)*listed + rangeCount - 1) / rangeCount
	return low, high
}

// shortDigest returns the 16-bit form of a range's digest that messages carry.
func shortDigest(digest uint64) uint16 { return uint16(antientropy.Mix(digest)) }

// addDifferingRanges adds to a datagram the ranges whose digest differs from the
// receiver's. It begins with a random range, since not all may fit.
func (v *View) addDifferingRanges(out *outgoing, receiverDigests []uint16) {
	from := v.rng.IntN(rangeCount)
	for k := range rangeCount {
		rangeIndex := (from + k) % rangeCount
		if shortDigest(v.rangeDigests[rangeIndex]) != receiverDigests[rangeIndex] {
			out.required = v.appendUnlistedOfRange(out.required, rangeIndex)
			out.ranges |= 1 << rangeIndex
		}
	}
}

// appendUnlistedOfRange appends the unlisted members of a range to a list, beginning
// with a random one.
func (v *View) appendUnlistedOfRange(list []*entry, rangeIndex int) []*entry {
	unlisted := v.ring[len(v.options.Peers):]
	from := v.randomOffset(len(unlisted))
	for i := range unlisted {
		e := unlisted[(from+i)%len(unlisted)]
		if v.rangeOf(e) == rangeIndex && e.State != Unknown {
			list = append(list, e)
		}
	}
	return list
}

// appendRanges appends blocks of the ranges in a bit set. It begins with a random
// range, since not all may fit, and returns the members that are in no block and must
// be sent one by one.
func (v *View) appendRanges(d *datagram, ranges uint16) []*entry {
	var rest []*entry
	from := v.rng.IntN(rangeCount)
	for k := range rangeCount {
		rangeIndex := (from + k) % rangeCount
		if ranges&(1<<rangeIndex) == 0 {
			continue
		}
		blocks, others := v.rangeBlocks(rangeIndex)
		complete := true
		for _, block := range blocks {
			var fits bool
			d.bytes, fits = appendRangeBlock(d.bytes, block, d.maxBytes)
			complete = complete && fits
		}
		rest = append(rest, others...)
		if complete {
			v.countRangeTransmit(rangeIndex, others)
		}
	}
	return rest
}

// countRangeTransmit counts a transmit of the state of each member of a range,
// except for given members. Suspects are not counted, since blocks encode them as
// alive.
func (v *View) countRangeTransmit(rangeIndex int, except []*entry) {
	low, high := v.rangeBounds(rangeIndex)
	for _, e := range v.ring[low:high] {
		if e.State != Suspect && !slices.Contains(except, e) {
			e.countTransmit()
		}
	}
}

// stateCodes are the two-bit codes of the states in a block; 0 means that the member
// is not in the block.
var stateCodes = [...]byte{Unknown: 0, Alive: 1, Suspect: 1, Dead: 2, Left: 3}

// rangeBlocks encodes a range in few bytes. It returns blocks of members that share
// an incarnation, and the other members, which must be sent one by one.
func (v *View) rangeBlocks(rangeIndex int) (blocks []rangeBlock, rest []*entry) {
	low, high := v.rangeBounds(rangeIndex)
	isUnknown := func(e *entry) bool { return e.State == Unknown }
	rest = slices.DeleteFunc(slices.Clone(v.ring[low:high]), isUnknown)
	for len(rest) >= minBlockMembers && len(blocks) < maxBlocksPerRange {
		incarnation, members := mostCommonIncarnation(rest)
		if members < minBlockMembers {
			break
		}
		block := rangeBlock{rangeIndex: rangeIndex, incarnation: incarnation, bits: make([]byte, (high-low+3)/4)}
		for _, e := range rest {
			if e.Incarnation == incarnation {
				i := e.Number - low
				block.bits[i/4] |= stateCodes[e.State] << (i % 4 * 2)
			}
		}
		blocks = append(blocks, block)
		rest = slices.DeleteFunc(rest, func(e *entry) bool { return e.Incarnation == incarnation })
	}
	return blocks, rest
}

// mostCommonIncarnation returns the incarnation that most members have, and the
// number of these members. It compares all pairs, since ranges are short.
func mostCommonIncarnation(members []*entry) (incarnation uint32, count int) {
	for i, e := range members {
		if i > 0 && e.Incarnation == members[i-1].Incarnation {
			continue
		}
		n := 0
		for _, other := range members {
			if other.Incarnation == e.Incarnation {
				n++
			}
		}
		if n > count {
			incarnation = e.Incarnation
			count = n
		}
	}
	return incarnation, count
}

// appendUniformBlocks appends many updates in few bytes. For each range it writes the
// members with the incarnation and state whose queued updates have the largest total
// weight, for as many ranges as fit.
func (v *View) appendUniformBlocks(d *datagram) {
	from := v.rng.IntN(rangeCount)
	for k := range rangeCount {
		rangeIndex := (from + k) % rangeCount
		low, high := v.rangeBounds(rangeIndex)
		members := v.ring[low:high]
		common := heaviestState(members)
		if common == nil {
			continue
		}
		block := rangeBlock{rangeIndex: rangeIndex, incarnation: common.Incarnation, state: common.State, uniform: true,
			bits: make([]byte, (len(members)+7)/8)}
		for i, e := range members {
			if e.sameStateAs(common) {
				block.bits[i/8] |= 1 << (i % 8)
			}
		}
		var fits bool
		d.bytes, fits = appendRangeBlock(d.bytes, block, d.maxBytes)
		if !fits {
			return
		}
		for _, e := range members {
			if e.sameStateAs(common) {
				e.countTransmit()
			}
		}
	}
}

// heaviestState returns a member with the incarnation and state whose queued
// updates have the largest total weight; nil if no total reaches minUniformWeight.
func heaviestState(members []*entry) *entry {
	var best *entry
	bestWeight := minUniformWeight - 1
	for i, e := range members {
		if e.updateTransmits == 0 || e.State == Suspect || i > 0 && e.sameStateAs(members[i-1]) {
			continue
		}
		weight := 0
		for _, other := range members {
			if other.updateTransmits > 0 && other.sameStateAs(e) {
				weight += other.updateWeight()
			}
		}
		if weight > bestWeight {
			best = e
			bestWeight = weight
		}
	}
	return best
}

// updateWeight returns the weight of a member's queued update. Updates that were sent
// less often weigh more, and updates of live members weigh twice as much as others:
// after a partition, each side's updates that declare the other side dead spread
// first, and the refutations, which all members must receive, take precedence over
// them.
func (e *entry) updateWeight() int {
	if e.State == Alive {
		return 2 * e.updateTransmits
	}
	return e.updateTransmits
}

// mergeRangeBlock merges the states in a block.
func (v *View) mergeRangeBlock(block rangeBlock) {
	low, high := v.rangeBounds(block.rangeIndex)
	if block.uniform {
		for i := range min(high-low, 8*len(block.bits)) {
			if block.bits[i/8]>>(i%8)&1 == 1 {
				v.mergeUpdate(update{number: low + i, incarnation: block.incarnation, state: block.state})
			}
		}
		return
	}
	states := [...]State{Unknown, Alive, Dead, Left} // indexed by the codes in stateCodes
	for i := range min(high-low, 4*len(block.bits)) {
		code := block.bits[i/4] >> (i % 4 * 2) & 3
		v.mergeUpdate(update{number: low + i, incarnation: block.incarnation, state: states[code]})
	}
}
