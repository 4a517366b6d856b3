package membership

import (
	"math"
	"math/bits"
	"slices"
)

const (
	maxBurstDatagrams  = 80.0 // sent at once on top of the rate
	maxDebtDatagrams   = 4.0  // by which probes and acks may overdraw the budget
	probeReserve       = 4.0  // datagrams kept for probes and acks
	gossipReserve      = 10.0 // datagrams below which updates only travel with probes
	refillFraction     = 0.98 // of the rate, so that bursts are compensated within an hour
	gossipFanout       = 3    // datagrams that spread new updates at once
	gossipBatchMS      = 30.0 // for which a new update waits for others
	recentPeriods      = 3    // for which a member counts as received from recently
	bulkUpdateCount    = 40   // queued updates above which ranges are sent as a whole
	bulkPingsPerPeriod = 4    // pings a period that spread many updates
)

// sendBudget is a token bucket of datagrams.
type sendBudget struct {
	tokens       float64
	refilledAtMS float64
}

func (b *sendBudget) refill(nowMS, datagramsPerSecond float64) {
	b.tokens = min(maxBurstDatagrams, b.tokens+(nowMS-b.refilledAtMS)*refillFraction*datagramsPerSecond/1000)
	b.refilledAtMS = nowMS
}

// spend takes a datagram from the budget.
func (b *sendBudget) spend() { b.tokens = max(-maxDebtDatagrams, b.tokens-1) }

// hasProbeReserve reports whether more can be sent than probes and acks need.
func (b *sendBudget) hasProbeReserve() bool { return b.tokens >= probeReserve }

// hasGossipReserve reports whether datagrams can be sent for gossip alone.
func (b *sendBudget) hasGossipReserve() bool { return b.tokens >= gossipReserve }

// gossipQueue holds what is to be sent with the next datagrams.
type gossipQueue struct {
	updates   []*entry // members whose state is to be sent
	names     []*entry // members whose name is to be sent
	flushAtMS float64  // when new updates are sent without waiting for other datagrams
}

// recentSenders is a ring buffer of the members that messages came from last.
type recentSenders struct {
	members [16]*entry
	added   int
}

// add notes a sender, unless it is among the recent ones.
func (r *recentSenders) add(e *entry) {
	if slices.Contains(r.members[:], e) {
		return
	}
	r.members[r.added%len(r.members)] = e
	r.added++
}

// enqueueUpdate has the next datagrams carry a member's state: about log2 of the
// fleet's size of them, which reach all members with high probability.
func (v *View) enqueueUpdate(e *entry) {
	if e.updateTransmits == 0 {
		v.queue.updates = append(v.queue.updates, e)
	}
	e.updateTransmits = bits.Len(uint(len(v.ring))) + 1
	v.queue.flushAtMS = min(v.queue.flushAtMS, v.nowMS+gossipBatchMS)
}

// flushGossip sends new updates to a few members at once, within the budget.
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

// gossipInPeriod pings a member, or several where there are many updates, to
// spread queued updates and to compare views.
func (v *View) gossipInPeriod() {
	for range bulkPingsPerPeriod {
		target := v.gossipTarget()
		hasWork := len(v.queue.updates) > 0 || !v.Converged()
		maySend := v.budget.hasGossipReserve() || v.usesBulkGossip() && v.budget.hasProbeReserve()
		if target != nil && hasWork && maySend {
			v.sendTo(target, message{kind: ping})
		}
		// Suspicions alone leave the budget to the deaths that may follow.
		onlySuspects := !slices.ContainsFunc(v.queue.updates, func(e *entry) bool { return e.State != Suspect })
		if !v.usesBulkGossip() || onlySuspects {
			return
		}
	}
}

// gossipTarget draws a member to send updates to; nil: there is none. With many
// updates it is a recent sender, whatever the view holds of it: in a mass failure
// most members held alive are not, and after a partition all may be held dead.
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

// isRecent reports whether a message of the member came in the last periods.
func (v *View) isRecent(e *entry) bool {
	return e != nil && e.lastReceivedMS > v.nowMS-recentPeriods*v.options.Times.ProbeIntervalMS
}

// usesBulkGossip reports whether there are so many updates that they are sent by
// whole ranges.
func (v *View) usesBulkGossip() bool {
	return len(v.queue.updates) > bulkUpdateCount || v.inMassFailure()
}

// leave announces to a few members, the watchers among them, that this front end
// shuts down.
func (v *View) leave() {
	if v.leaving || !v.started {
		return
	}
	v.leaving = true
	v.setState(v.self, v.self.Incarnation, Left, 0)
	targets := v.probeCandidates(watchersPerMember)
	for range min(2*gossipFanout, len(v.live)) {
		targets = append(targets, v.live[v.rng.IntN(len(v.live))])
	}
	for _, e := range targets {
		v.sendTo(e, message{kind: gossip})
	}
}
