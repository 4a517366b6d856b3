package membership

const (
	// unknownContactsPerPeriod is how many unknown members are contacted a period.
	unknownContactsPerPeriod = 2
	// maxReconnectDraws bounds the draws for a member that is not live; the first
	// unknownFirstDraws of them accept unknown members only, while there are any.
	maxReconnectDraws = 64
	unknownFirstDraws = 16
)

// reconnectIfDue contacts addresses of no live member, at the reconnect interval
// and, within the budget, while members are unknown: a fleet that starts together
// finds itself sooner.
func (v *View) reconnectIfDue() {
	if v.nowMS >= v.nextReconnectMS || len(v.live) == 0 {
		v.nextReconnectMS = v.nowMS + v.options.Times.ReconnectIntervalMS
		v.reconnect()
	}
	for range unknownContactsPerPeriod {
		if v.stateCounts[Unknown] > 0 && v.budget.hasProbeReserve() {
			v.reconnect()
		}
	}
}

// reconnect pings a random address of no live member: of one that is unknown, dead
// or left, of a forgotten one, or a seed. This joins a fleet, and rejoins the sides
// of a partition that have forgotten each other.
func (v *View) reconnect() {
	notLive := len(v.ring) - len(v.live) - 1
	forgotten := v.tombstones.addrs
	seeds := v.options.Seeds
	k := v.rng.IntN(max(1, notLive+len(forgotten)+len(seeds)))
	if k < notLive {
		v.reconnectMember()
		return
	}
	k -= notLive
	if k < len(forgotten) {
		v.transmit(outgoing{number: -1, addr: forgotten[k], message: message{kind: ping}})
		return
	}
	k -= len(forgotten)
	if k < len(seeds) && seeds[k] != v.self.Addr {
		v.transmit(outgoing{number: -1, addr: seeds[k], message: message{kind: ping}})
	}
}

// reconnectMember pings a random member that is not live, an unknown one first.
func (v *View) reconnectMember() {
	for draw := range maxReconnectDraws {
		e := v.ring[v.rng.IntN(len(v.ring))]
		if e == v.self || e.isLive() {
			continue
		}
		if e.State == Unknown || v.stateCounts[Unknown] == 0 || draw >= unknownFirstDraws {
			v.sendTo(e, message{kind: ping})
			return
		}
	}
}
