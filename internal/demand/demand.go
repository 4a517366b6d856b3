// Package demand tracks the offered load of a fleet: how much work and how many
// requests each gateway receives, and which loads each gateway has in flight on which
// engine. Gateways exchange this state by gossip. Package control uses it to compute
// this gateway's quota of the fleet's work and to find the loads that peers run.
//
// The package does no I/O and has no clock. Messages may be lost, late or duplicated:
// each message holds the complete state of its sender, the last one received replaces
// the earlier ones, and a sender that has missed three broadcasts no longer counts. The
// values are hints: no message can make a request run twice or be rejected.
//
// All times are in milliseconds on the caller's clock; work is in milliseconds of
// one core.
//
// demand.go has the sums and the quotas, gossip.go the exchange with peers, message.go
// the encoding of messages.
package demand

import "math"

const (
	// WarmUpMS is the time after a gateway's start during which the sample of its own
	// demand is too short to compute its quota from.
	WarmUpMS = 1000.0

	// demandHalfLifeMS is the half-life of the sums of demand.
	demandHalfLifeMS = 5000.0

	msPerSecond = 1000
)

// Indices into a demand vector.
const (
	workIndex        = 0 // work of secondary requests
	firstTenantIndex = 1 // requests of tenant 0; the other tenants follow
)

// Tracker holds the demand of one gateway and the state that its peers have broadcast.
// It is not safe for concurrent use.
type Tracker struct {
	gatewayCount int // configured gateways
	aliveCount   int // configured gateways that are alive
	startedAtMS  float64

	ownDemand  []float64         // demand vector of exponentially decaying sums
	peerDemand []float64         // sum of the demand vectors of peers
	peers      map[int]peerState // by index of the gateway

	canBroadcast      bool
	nextBroadcastAtMS float64
	loadsChanged      bool // a load started or ended since the last broadcast
}

// New returns the tracker of one of gatewayCount gateways that serve tenantCount
// tenants. Without canBroadcast, no broadcast is ever due.
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

// Start sets the time of this gateway's start. phase, from 0 to 1, is the fraction of
// the broadcast interval after which the first broadcast is due. It differs between
// gateways, so that gateways that start together do not broadcast together.
func (t *Tracker) Start(nowMS, phase float64) {
	t.startedAtMS = nowMS
	t.nextBroadcastAtMS = nowMS + t.broadcastIntervalMS()*phase
}

// SetAliveGateways sets the number of gateways that are alive by the settled view of
// the membership. Before the first call, all configured gateways count as alive.
func (t *Tracker) SetAliveGateways(alive int) { t.aliveCount = min(max(1, alive), t.gatewayCount) }

// AliveGateways returns the number of gateways that are alive, at least 1.
func (t *Tracker) AliveGateways() float64 { return float64(t.aliveCount) }

// RecordDemand adds the work of a request that this gateway received, and counts the
// request for its tenant. A tenant out of range, such as -1, is not counted.
func (t *Tracker) RecordDemand(workMS float64, tenant int) {
	t.ownDemand[workIndex] += workMS
	if i := firstTenantIndex + tenant; tenant >= 0 && i < len(t.ownDemand) {
		t.ownDemand[i]++
	}
}

// Decay decays this gateway's sums by the time that has passed since the last call.
func (t *Tracker) Decay(elapsedMS float64) {
	for i := range t.ownDemand {
		t.ownDemand[i] *= math.Exp2(-elapsedMS / demandHalfLifeMS)
	}
}

// steadyDemand returns an entry of this gateway's demand vector, extrapolated to its
// steady state: a decaying sum starts at zero and takes several half-lives to converge.
// Without this correction, a gateway that has restarted would get too small a quota.
func (t *Tracker) steadyDemand(nowMS float64, index int) float64 {
	return t.ownDemand[index] / (1 - math.Exp2(-max(nowMS-t.startedAtMS, WarmUpMS)/demandHalfLifeMS))
}

// fleetDemand returns an entry of the demand vector of the fleet. Gateways from which
// nothing was received yet count with the mean of the others.
func (t *Tracker) fleetDemand(nowMS float64, index int) float64 {
	if len(t.peers) == 0 {
		return t.steadyDemand(nowMS, index) * float64(t.aliveCount)
	}
	received := t.steadyDemand(nowMS, index) + t.peerDemand[index]
	if nowMS < t.startedAtMS+t.broadcastIntervalMS() { // not every peer has been due to broadcast
		received *= float64(t.aliveCount) / float64(min(t.aliveCount, 1+len(t.peers)))
	}
	return received
}

// QuotasAreEven reports whether there is too little data to compute quotas, so that all
// gateways use even ones.
func (t *Tracker) QuotasAreEven(nowMS float64) bool {
	return len(t.peers) == 0 || t.ownDemand[workIndex] == 0 || nowMS < t.startedAtMS+WarmUpMS
}

// Quota scales an even quota by the ratio of this gateway's secondary work to the mean
// over the gateways.
func (t *Tracker) Quota(nowMS, evenQuota float64) float64 {
	fleetMS := t.fleetDemand(nowMS, workIndex)
	return evenQuota * float64(t.aliveCount) * t.steadyDemand(nowMS, workIndex) / fleetMS
}

// RequestsPerSecond returns the request rate of a tenant at all gateways together.
func (t *Tracker) RequestsPerSecond(nowMS float64, tenant int) float64 {
	return t.fleetDemand(nowMS, firstTenantIndex+tenant) * math.Ln2 / demandHalfLifeMS * msPerSecond
}
