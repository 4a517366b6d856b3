package membership

const (
	// unknownContactsPerPeriod is the number of additional contacts per period while
	// there are unknown members.
	unknownContactsPerPeriod = 2
	// maxReconnectDraws bounds the random draws of a member that is not live. While
	// there are unknown members, the first unknownFirstDraws draws accept only those.
	maxReconnectDraws = 64
	unknownFirstDraws = 16
)

// reconnectIfDue contacts addresses that belong to no live member, once per reconnect
// interval. While there are unknown members, it makes additional contacts within the
// budget, so that the members of a fleet that starts together find each other sooner.
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

// reconnect pings a random address that belongs to no live member: the address of an
// unknown, dead or left member, of a forgotten member, or a seed. This joins a fleet,
// and rejoins the sides of a partition that have forgotten each other.
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

// reconnectMember pings a random member that is not live, preferably an unknown one.
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
