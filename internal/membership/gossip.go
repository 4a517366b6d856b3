package membership

import (
	"math"
	"math/bits"
	"slices"
)

const (
	maxBurstDatagrams  = 80.0 // datagrams that a burst may send above the rate
	maxDebtDatagrams   = 4.0  // datagrams by which probes and acks may overdraw the budget
	probeReserve       = 4.0  // datagrams reserved for probes and acks
	gossipReserve      = 10.0 // datagrams below which updates are sent only with probes and acks
	refillFraction     = 0.98 // fraction of the rate, so that bursts are compensated within an hour
	gossipFanout       = 3    // members to which new updates are sent at once
	gossipBatchMS      = 30.0 // time for which a new update waits to be sent together with others
	recentPeriods      = 3    // periods for which a member counts as a recent sender
	bulkUpdateCount    = 40   // queued updates above which updates are sent in blocks of whole ranges
	bulkPingsPerPeriod = 4    // pings per period that spread updates in bulk
)

// sendBudget is a token bucket that limits the rate of sent datagrams.
type sendBudget struct {
	tokens       float64
	refilledAtMS float64
}

func (b *sendBudget) refill(nowMS, datagramsPerSecond float64) {
	b.tokens = min(maxBurstDatagrams, b.tokens+(nowMS-b.refilledAtMS)*refillFraction*datagramsPerSecond/1000)
	b.refilledAtMS = nowMS
}

// spend takes one datagram from the budget.
func (b *sendBudget) spend() { b.tokens = max(-maxDebtDatagrams, b.tokens-1) }

// hasProbeReserve reports whether the budget covers more than the reserve for probes
// and acks.
func (b *sendBudget) hasProbeReserve() bool { return b.tokens >= probeReserve }

// hasGossipReserve reports whether the budget allows datagrams that carry only
// gossip.
func (b *sendBudget) hasGossipReserve() bool { return b.tokens >= gossipReserve }

// gossipQueue holds the states and names to be sent with the next datagrams.
type gossipQueue struct {
	updates   []*entry // members whose state must be sent
	names     []*entry // members whose name must be sent
	flushAtMS float64  // time at which new updates are sent in datagrams of their own
}

// recentSenders is a ring buffer of the members that messages were last received
// from.
type recentSenders struct {
	members [16]*entry
	added   int
}

// add adds a sender, unless the buffer already contains it.
func (r *recentSenders) add(e *entry) {
	if slices.Contains(r.members[:], e) {
		return
	}
	r.members[r.added%len(r.members)] = e
	r.added++
}

// enqueueUpdate queues a member's state to be sent with the next datagrams: about
// log2(fleet size) datagrams, which reach all members with high probability.
func (v *View) enqueueUpdate(e *entry) {
	if e.updateTransmits == 0 {
		v.queue.updates = append(v.queue.updates, e)
	}
	e.updateTransmits = bits.Len(uint(len(v.ring))) + 1
	v.queue.flushAtMS = min(v.queue.flushAtMS, v.nowMS+gossipBatchMS)
}

// flushGossip sends new updates to gossipFanout members at once, as far as the
// budget allows.
func (v *View) flushGossip() {
	v.queue.flushAtMS = math.Inf(1)
	if len(v.queue.updates) == 0 {
		return
	}
	for range min(gossipFanout, len(v.live)) {
		if !v.budget.hasGossipReserve() || v.usesBulkGossip() {
			return
		}
		v.sendTo(v.gossipTarget(), message{kind: gossip})
	}
}

// gossipInPeriod pings one member, or several during bulk gossip, to spread queued
// updates and to compare views.
func (v *View) gossipInPeriod() {
	for range bulkPingsPerPeriod {
		target := v.gossipTarget()
		hasWork := len(v.queue.updates) > 0 || !v.Converged()
		maySend := v.budget.hasGossipReserve() || v.usesBulkGossip() && v.budget.hasProbeReserve()
		if target != nil && hasWork && maySend {
			v.sendTo(target, message{kind: ping})
		}
		// If all queued updates are suspicions, the budget is left to the updates of
		// dead members that may follow.
		onlySuspects := !slices.ContainsFunc(v.queue.updates, func(e *entry) bool { return e.State != Suspect })
		if !v.usesBulkGossip() || onlySuspects {
			return
		}
	}
}

// gossipTarget draws a member to send updates to; nil if there is none. During bulk
// gossip it prefers a recent sender, whose state in the view is ignored: in a mass
// failure most members that the view considers alive have failed, and after a
// partition the view may consider all others dead.
func (v *View) gossipTarget() *entry {
	if v.usesBulkGossip() {
		senders := &v.recentSenders.members
		from := v.rng.IntN(len(senders))
		for k := range senders {
			e := senders[(from+k)%len(senders)]
			if v.isRecent(e) {
				return e
			}
		}
	}
	if len(v.live) == 0 {
		return nil
	}
	const redraws = 3
	target := v.live[v.rng.IntN(len(v.live))]
	for range redraws {
		if target.State == Suspect {
			target = v.live[v.rng.IntN(len(v.live))]
		}
	}
	return target
}

// isRecent reports whether a message of a member was received within the last
// recentPeriods.
func (v *View) isRecent(e *entry) bool {
	return e != nil && e.lastReceivedMS > v.nowMS-recentPeriods*v.options.Times.ProbeIntervalMS
}

// usesBulkGossip reports whether updates are sent in blocks of whole ranges: because
// many are queued, or many are expected in a mass failure.
func (v *View) usesBulkGossip() bool {
	return len(v.queue.updates) > bulkUpdateCount || v.inMassFailure()
}

// leave announces to the watchers of this front end, which would find it unresponsive
// next, and to random others, that it is shutting down.
func (v *View) leave() {
	if v.leaving || !v.started {
		return
	}
	v.leaving = true
	v.setState(v.self, v.self.Incarnation, Left, 0)
	targets := v.watchers()
	for range min(2*gossipFanout, len(v.live)) {
		targets = append(targets, v.live[v.rng.IntN(len(v.live))])
	}
	for _, e := range targets {
		v.sendTo(e, message{kind: gossip})
	}
}
