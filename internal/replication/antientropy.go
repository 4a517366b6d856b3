package replication

import (
	"slices"

	"dewhill/internal/antientropy"
)

// recompareDelayMS is the delay after which copies that differed are compared again.
const recompareDelayMS = 250.0

// compareCopies starts comparisons with members that have become alive again or whose
// copy differed. If there are none, it starts them with random live members.
func (r *Replica) compareCopies() {
	r.nextCompareMS = r.nowMS + r.options.Times.CompareIntervalMS*(0.9+0.2*r.rng.Float64())
	comparisons := 1
	if !r.catchUp.ready {
		r.nextCompareMS = r.nowMS + catchUpCompareIntervalMS
		comparisons = readyPeersNeeded
	}
	for range comparisons {
		peer, ok := r.nextToCompare()
		if !ok {
			return
		}
		r.Counters.Comparisons++
		r.send(peer, &message{verb: verbProbe, digest: r.Digest()})
	}
	if len(r.compareFirst) > 0 {
		r.nextCompareMS = min(r.nextCompareMS, r.nowMS+catchUpCompareIntervalMS)
	}
}

// nextToCompare returns the next member to compare with, or false if there is none.
func (r *Replica) nextToCompare() (peer Peer, ok bool) {
	if len(r.compareFirst) > 0 {
		peer = r.compareFirst[0]
		r.compareFirst = r.compareFirst[1:]
		return peer, true
	}
	if len(r.alive) > 0 {
		return r.alive[r.rng.IntN(len(r.alive))], true
	}
	return Peer{}, false
}

// receiveProbe replies to a member that compares its digest with this copy.
func (r *Replica) receiveProbe(from Peer, msg *message) {
	if msg.digest == r.Digest() {
		r.catchUp.equalPeers[from] = msg.ready
		r.send(from, &message{verb: verbMatch, digest: msg.digest})
		return
	}
	r.recordDifference(from)
	r.sendContent(from, r.tree.Summary(antientropy.Range{}))
}

// sendContent sends a description of the local content of a range.
func (r *Replica) sendContent(to Peer, content antientropy.RangeContent) {
	kind := verbRangeItems
	if content.HasSums() {
		kind = verbRangeSums
	}
	r.send(to, &message{verb: kind, exchange: antientropy.Exchange{Content: content}})
}

// receiveMatch records that a member's copy is equal to this copy.
func (r *Replica) receiveMatch(from Peer, msg *message) {
	if msg.digest == r.Digest() {
		r.Counters.ComparisonsEqual++
		r.catchUp.equalPeers[from] = msg.ready
	}
}

// receiveRangeSums descends into the child ranges in which a member's copy differs.
func (r *Replica) receiveRangeSums(from Peer, msg *message) {
	r.recordDifference(from)
	hasBudget := func() bool { return r.budget.Allows(r.options.MaxMessageBytes) }
	content := &msg.exchange.Content
	r.tree.Descend(content.Range, content.Sums, r.rng, hasBudget, func(child antientropy.RangeContent) {
		r.sendContent(from, child)
	})
}

// receiveRangeItems sends the registers that a member lacks or has with different
// content, and requests the registers that this copy lacks or has with different content.
func (r *Replica) receiveRangeItems(from Peer, msg *message) {
	toSend, toRequest := r.tree.Compare(msg.exchange.Content)
	r.sendRegisters(from, toSend)
	if len(toRequest) > 0 {
		r.send(from, &message{verb: verbRequest, exchange: antientropy.Exchange{Requested: toRequest}})
	}
}

// receiveRequest sends the registers that a member requests.
func (r *Replica) receiveRequest(from Peer, msg *message) {
	r.sendRegisters(from, r.tree.FindAll(msg.exchange.Requested))
}

// recordDifference records that a member's copy differs, and schedules another comparison
// with the member. By then, both copies should have received the registers that they lack.
func (r *Replica) recordDifference(peer Peer) {
	r.Counters.ComparisonsDiffer++
	delete(r.catchUp.equalPeers, peer)
	if !slices.Contains(r.compareFirst, peer) {
		r.compareFirst = append(r.compareFirst, peer)
	}
	r.nextCompareMS = min(r.nextCompareMS, r.nowMS+recompareDelayMS)
}
