package control

import (
	"slices"

	"dewhill/internal/slowstart"
)

// sentWork is an amount of work that was sent to an engine.
type sentWork struct {
	atMS   float64
	workMS float64
}

// inSlowStart reports whether the engine may still be warming up.
func (g *Gateway) inSlowStart(e *engine) bool {
	return e.StartedAtMS > 0 && g.nowMS < e.StartedAtMS+g.settings.SlowStartWindowMS
}

// effectiveCores returns the engine's cores, reduced if the engine is slow or warming
// up.
func (g *Gateway) effectiveCores(e *engine) float64 {
	if g.inSlowStart(e) {
		return e.cores * e.health.relativeSpeed * g.slowStart(e).CapacityFraction(g.nowMS-e.StartedAtMS)
	}
	return e.cores * e.health.relativeSpeed
}

// slowStart returns the engine's parameters for slow start. The gateways that share its
// budget are those of the configuration, not those alive: a gateway from which no
// message is received may still be sending requests.
func (g *Gateway) slowStart(e *engine) *slowstart.Engine {
	s := &slowstart.Engine{
		ID:               e.ID,
		StartedAtMS:      e.StartedAtMS,
		Cores:            e.cores,
		InitialFraction:  g.settings.SlowStartInitialFraction,
		WindowMS:         g.settings.SlowStartWindowMS,
		OverloadMultiple: g.settings.OverloadMultiple,
		OverloadWindowMS: g.settings.OverloadWindowMS,
		LargestWorkMS:    g.estimates.largestWorkMS,
		GatewayCount:     g.settings.GatewayCount,
		GatewayIndex:     g.settings.GatewayIndex,
	}
	if e.SlowStartGatewayCount > 0 {
		s.GatewayCount = e.SlowStartGatewayCount
		s.GatewayIndex = e.SlowStartGatewayIndex
	} else if e.GatewayCount > 0 {
		s.GatewayCount = e.GatewayCount
		s.GatewayIndex = e.GatewayIndex
	}
	return s
}

// slowStartAdmits reports whether the request fits this gateway's share of the work that
// an engine in slow start may get within any overload window.
func (g *Gateway) slowStartAdmits(r *request, e *engine) bool {
	sentSince := func(ageMS float64) float64 { return e.sentSince(e.StartedAtMS + ageMS) }
	ageMS := g.nowMS - e.StartedAtMS
	gatewayStartedAtAgeMS := g.startedAtMS - e.StartedAtMS
	return g.slowStart(e).Admits(ageMS, g.slowStartWorkMS(r), gatewayStartedAtAgeMS, sentSince)
}

// slowStartWorkMS returns the work that a request counts for at an engine in slow start.
func (g *Gateway) slowStartWorkMS(r *request) float64 {
	return max(r.averageWorkMS(), g.workMS(r))
}

// recordSlowStartSend records a request that is sent to an engine in slow start.
func (g *Gateway) recordSlowStartSend(r *request, e *engine) {
	expired := func(s sentWork) bool { return s.atMS < g.nowMS-g.settings.OverloadWindowMS }
	e.slowStartSends = slices.DeleteFunc(e.slowStartSends, expired)
	e.slowStartSends = append(e.slowStartSends, sentWork{g.nowMS, g.slowStartWorkMS(r)})
}

// sentSince returns the work that was sent to the engine during its slow start, from a
// time on.
func (e *engine) sentSince(fromMS float64) (workMS float64) {
	for _, s := range e.slowStartSends {
		if s.atMS >= fromMS {
			workMS += s.workMS
		}
	}
	return workMS
}
