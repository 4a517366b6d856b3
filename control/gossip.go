package control

import (
	"slices"

	"dewhill/internal/demand"
)

// gatewaysUsing returns the number of gateways that use the engine.
func (g *Gateway) gatewaysUsing(e *engine) float64 {
	if e.GatewayCount > 0 {
		return float64(e.GatewayCount)
	}
	return g.demand.AliveGateways()
}

// broadcastIfDue sends this gateway's demand and loads to its peers if a broadcast is
// due.
func (g *Gateway) broadcastIfDue(inSweep bool) {
	if g.demand.BroadcastDue(g.nowMS, inSweep) {
		g.emit(Action{Kind: Broadcast, Message: g.demand.Encode(g.nowMS, g.runningLoads)})
	}
}

// runningLoads yields the loads of this gateway that are in flight.
func (g *Gateway) runningLoads(yield func(demand.Load) bool) {
	for _, e := range g.engines {
		for _, dataset := range e.load.datasetsLoading {
			if dataset >= 0 && !yield(gossipedLoad(e, dataset)) {
				return
			}
		}
	}
}

// runsLoad reports whether this gateway or a peer has a load of the data set in flight
// on the engine.
func (g *Gateway) runsLoad(e *engine, dataset int) bool {
	return slices.Contains(e.load.datasetsLoading, dataset) ||
		g.demand.RunsAtPeer(g.nowMS, gossipedLoad(e, dataset))
}

func gossipedLoad(e *engine, dataset int) demand.Load {
	return demand.Load{Engine: e.gossipTag, Dataset: uint32(dataset)}
}
