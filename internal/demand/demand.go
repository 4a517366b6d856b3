// Package demand keeps a ledger of the offered load of a fleet: how much work and
// how many requests each gateway was asked for, and which loads each has in flight
// at which engine. Gateways gossip this to one another. Package control asks the
// ledger for this gateway's quota of the fleet's work and for the loads that
// peers run; what it does with the answers is its own.
//
// The package does no I/O and has no clock. A message may be lost, late or
// duplicated: each holds all of its sender's state, the last one received stands,
// and a sender that has missed three broadcasts no longer counts. No message can
// make a request run twice or be rejected: the figures are hints.
//
// All times are in milliseconds on the caller's clock; work is in milliseconds of
// one core.
//
// demand.go has the ledger and the quotas, gossip.go the exchange with peers,
// message.go the form of messages.
package demand

import "math"

const (
	// WarmUpMS is how long after its start a gateway's own demand is too short a
	// sample to set its quota by.
	WarmUpMS = 1000.0

	// demandHalfLifeMS is the half-life of the sums of demand.
	demandHalfLifeMS = 5000.0

	msPerSecond = 1000
)

// Indices into a vector of demand.
const (
	workIndex        = 0 // work of secondary requests
	firstTenantIndex = 1 // requests of tenant 0; those of the others follow
)

// Tracker holds what one gateway was asked for and what its peers have broadcast.
// It is not safe for concurrent use.
type Tracker struct {
	gatewayCount int // gateways of the configuration
	aliveCount   int // those of them that count now
	startedAtMS  float64

	ownDemand  []float64 // vector of decaying sums
	peerDemand []float64 // vector summed over peers
	peers      map[int]peerState

	canBroadcast      bool
	nextBroadcastAtMS float64
	loadsChanged      bool // a load started or ended since the last broadcast
}

// New returns the ledger of one of gatewayCount gateways that serve tenantCount
// tenants. If it cannot broadcast, no broadcast is ever due.
func New(gatewayCount, tenantCount int, canBroadcast bool) *Tracker {
	gatewayCount = max(1, gatewayCount)
	return &Tracker{
		gatewayCount: gatewayCount,
		aliveCount:   gatewayCount,
		ownDemand:    make([]float64, firstTenantIndex+tenantCount),
		peerDemand:   make([]float64, firstTenantIndex+tenantCount),
		peers:        map[int]peerState{},
		canBroadcast: canBroadcast,
	}
}

// Start sets the time of this gateway's start. The first broadcast is due after
// phase, from 0 to 1, of the broadcast interval, so that gateways started at once
// do not broadcast at once.
func (t *Tracker) Start(nowMS, phase float64) {
	t.startedAtMS = nowMS
	t.nextBroadcastAtMS = nowMS + t.broadcastIntervalMS()*phase
}

// SetAliveGateways sets how many gateways are alive by the settled view of the
// fleet. Before the first call, all gateways of the configuration count.
func (t *Tracker) SetAliveGateways(alive int) { t.aliveCount = min(max(1, alive), t.gatewayCount) }

// AliveGateways returns how many gateways count, at least 1.
func (t *Tracker) AliveGateways() float64 { return float64(t.aliveCount) }

// RecordDemand adds work that this gateway was asked for, and a request of a
// tenant. A tenant out of range, such as -1, adds no request.
func (t *Tracker) RecordDemand(workMS float64, tenant int) {
	t.ownDemand[workIndex] += workMS
	if i := firstTenantIndex + tenant; tenant >= 0 && i < len(t.ownDemand) {
		t.ownDemand[i]++
	}
}

// Decay ages this gateway's sums by a span of time.
func (t *Tracker) Decay(elapsedMS float64) {
	for i := range t.ownDemand {
		t.ownDemand[i] *= math.Exp2(-elapsedMS / demandHalfLifeMS)
	}
}

// steadyDemand returns an entry of this gateway's demand as it would be if the
// gateway had been up for long: a decaying sum grows from nothing after a start.
// Without this, a gateway that has restarted would get less than its quota.
func (t *Tracker) steadyDemand(nowMS float64, index int) float64 {
	return t.ownDemand[index] / (1 - math.Exp2(-max(nowMS-t.startedAtMS, WarmUpMS)/demandHalfLifeMS))
}

// fleetDemand returns an entry of the demand of all gateways. Gateways of which
// nothing was received yet count like the others.
func (t *Tracker) fleetDemand(nowMS float64, index int) float64 {
	if len(t.peers) == 0 {
		return t.steadyDemand(nowMS, index) * float64(t.aliveCount)
	}
	known := t.steadyDemand(nowMS, index) + t.peerDemand[index]
	if nowMS < t.startedAtMS+t.broadcastIntervalMS() { // not every peer has had to broadcast yet
		known *= float64(t.aliveCount) / float64(min(t.aliveCount, 1+len(t.peers)))
	}
	return known
}

// QuotasAreEven reports whether nothing is known yet by which quotas would differ.
func (t *Tracker) QuotasAreEven(nowMS float64) bool {
	return len(t.peers) == 0 || t.ownDemand[workIndex] == 0 || nowMS < t.startedAtMS+WarmUpMS
}

// Quota scales an even quota of something to this gateway's part of the fleet's
// secondary work.
func (t *Tracker) Quota(nowMS, evenQuota float64) float64 {
	return evenQuota * float64(t.aliveCount) * t.steadyDemand(nowMS, workIndex) / t.fleetDemand(nowMS, workIndex)
}

// RequestsPerSecond returns the rate of a tenant's requests at all gateways together.
func (t *Tracker) RequestsPerSecond(nowMS float64, tenant int) float64 {
	return t.fleetDemand(nowMS, firstTenantIndex+tenant) * math.Ln2 / demandHalfLifeMS * msPerSecond
}
