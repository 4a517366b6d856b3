// Package subset selects the engines that each gateway of a large fleet uses
// (deterministic subsetting), so that the fleet together makes few handshakes and
// health checks and each gateway learns enough of the engines that it uses. It does
// no I/O and has no clock: the same plan and endpoint list always give the same
// subset.
//
// With dozens or hundreds of gateways each sees little traffic. Spread over every
// engine, a gateway sends to each so seldom that connections idle out between two
// requests (nearly every request needs a handshake), that its controller never has
// enough answers of one engine to judge it, and that its health checks go
// everywhere. So each gateway gets a few engines: every gateway the same number of
// them, every engine a number of gateways in proportion to its cores, with as few
// moves as possible when the list changes. See docs/design-subsets.md.
//
// subset.go has the plan and the size of subsets, selector.go the selection by the
// weights of weight.go, options.go the operators' file.
package subset

// Engine is an entry of the endpoint list.
type Engine struct {
	ID     string
	Usable bool    // it may get new work: neither draining nor removed
	Cores  float64 // less than 1 counts as 1
}

// Plan says how a gateway selects its engines. All gateways of a fleet must have the
// same plan, but for GatewayIndex.
type Plan struct {
	// GatewayIndex is the index of this gateway among all, from 0.
	GatewayIndex int
	// GatewayCount is the number of gateways, at least 1.
	GatewayCount int
	// Size is how many usable engines a gateway uses. 0 means all of them, AutoSize as
	// many as fit the cores of the list.
	Size int
	// MaxThreads is the number of threads of the widest request, for AutoSize. Less
	// than 1 counts as 1.
	MaxThreads int
	// Alive says, by index, which gateways take part; nil: all of them. The others are
	// in no subset, and subsets of those that take part move little when one comes or
	// goes.
	Alive []bool
}

// AutoSize sizes subsets by the list. A gateway reserves at least one thread at each
// of its engines (the floor of its controller), and a request that has begun there
// runs on all its threads. So where there are more gateways than the mean engine has
// cores, each uses as many engines as make its quota of each hold the widest request.
const AutoSize = -1

// MinAutoSize is the smallest subset that AutoSize gives: with fewer engines, one
// that fails and one that is full leave a gateway with none.
const MinAutoSize = 3

// Member is a usable engine and the gateways that share it.
type Member struct {
	EngineID     string
	GatewayCount int  // gateways that have the engine in their subset
	Selected     bool // this gateway is one of them
	GatewayIndex int  // of this gateway among them, from 0; 0 where it is not selected
}

// Select returns the usable engines in the list's order, each with the gateways that
// share it. This gateway is selected for at least one while there are any.
//
// Every pair of a gateway and an engine has a weight, a hash of both (rendezvous
// hashing). Pairs are accepted by falling weight while the gateway's subset and the
// engine's gateways are not full. So no gateway gets too few engines and no engine
// too many gateways; when gateways or engines come, go or restart, few others move;
// and gateways with the same list agree on who shares an engine.
//
// A Selector gives the same at a fraction of the cost where the list changes often.
func (p Plan) Select(list []Engine) []Member { return new(Selector).Select(p, list) }

// participates reports whether a gateway takes part. This one always does.
func (p Plan) participates(gateway int) bool {
	return p.Alive == nil || gateway == p.GatewayIndex || p.Alive[gateway]
}

// participants returns how many gateways take part, and this one's index among them.
func (p Plan) participants() (count, index int) {
	for gateway := range p.GatewayCount {
		if !p.participates(gateway) {
			continue
		}
		count++
		if gateway < p.GatewayIndex {
			index++
		}
	}
	return count, index
}

// size returns how many of engineCount usable engines, with so many cores together,
// each of gatewayCount gateways uses.
func (p Plan) size(gatewayCount, engineCount int, cores float64) int {
	size := p.Size
	if size == AutoSize {
		coresPerGateway := cores / float64(max(1, gatewayCount))
		if coresPerGateway >= float64(engineCount) {
			return engineCount
		}
		size = max(MinAutoSize, int(coresPerGateway/float64(max(1, p.MaxThreads))))
	}
	if size <= 0 || gatewayCount <= 1 {
		return engineCount
	}
	return min(size, engineCount)
}
