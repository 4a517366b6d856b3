// Package subset selects the engines that each gateway of a large fleet uses
// (deterministic subsetting). Subsets keep the number of handshakes and health checks
// in the fleet low, and give each gateway enough samples of the engines that it uses.
// The package does no I/O and has no clock: the same plan and endpoint list always give
// the same subset.
//
// With dozens or hundreds of gateways, each gateway has little traffic. If it spread
// this traffic over every engine, connections would reach their idle timeout between
// two requests (nearly every request would need a handshake), its controller would
// never have enough samples of an engine, and it would have to health-check every
// engine. So each gateway uses a few engines: all gateways use the same number of
// engines, each engine has a number of gateways in proportion to its cores, and a
// change of the list moves as few gateways as possible. See docs/design-subsets.md.
//
// subset.go has the plan and the size of subsets, selector.go the selection, weight.go
// the weights that it goes by, options.go the operators' configuration file.
package subset

// Engine is an entry of the endpoint list.
type Engine struct {
	ID     string
	Usable bool    // it may get new work: neither draining nor removed
	Cores  float64 // less than 1 counts as 1
}

// Plan is the configuration of the selection. All gateways of a fleet must have the same
// plan, except for GatewayIndex.
type Plan struct {
	// GatewayIndex is the index of this gateway in the fleet, from 0.
	GatewayIndex int
	// GatewayCount is the number of gateways, at least 1.
	GatewayCount int
	// Size is the number of usable engines that a gateway uses. 0 means all of them;
	// AutoSize means that the number follows from the cores of the list.
	Size int
	// MaxThreads is the maximum number of threads of a request, which AutoSize uses. Less
	// than 1 counts as 1.
	MaxThreads int
	// Alive tells, by gateway index, which gateways participate in the selection; nil: all
	// of them. The others get no subset. When a gateway starts or stops participating, the
	// subsets of the others change little.
	Alive []bool
}

// AutoSize sizes subsets by the endpoint list. A gateway reserves at least one thread at
// each of its engines (the minimum of its controller), and a request that has started
// runs on all its threads. If there are more gateways than the mean engine has cores,
// the size is therefore chosen such that a gateway's quota of each of its engines is
// enough for a request of MaxThreads threads.
const AutoSize = -1

// MinAutoSize is the smallest subset that AutoSize gives: with two engines, a gateway
// would be left with none when one has failed and the other is full.
const MinAutoSize = 3

// Member is a usable engine and the gateways that share it.
type Member struct {
	EngineID     string
	GatewayCount int  // gateways that have the engine in their subset
	Selected     bool // this gateway has the engine in its subset
	GatewayIndex int  // index of this gateway among those gateways, from 0; 0 if not Selected
}

// Select returns the usable engines in the order of the list, each with the gateways
// that share it. If there are usable engines, this gateway has at least one of them.
//
// Every pair of a gateway and an engine has a weight, which is a hash of both
// (rendezvous hashing). Pairs are accepted in order of descending weight, unless the
// gateway's subset or the engine's set of gateways is already full. So no gateway gets
// too few engines and no engine too many gateways; when gateways or engines are added,
// removed or restarted, few other pairs change; and gateways with the same list agree on
// the gateways that share an engine.
//
// If the list changes often, a Selector computes the same at a fraction of the cost.
func (p Plan) Select(list []Engine) []Member { return new(Selector).Select(p, list) }

// participates reports whether a gateway participates in the selection. This gateway
// always does.
func (p Plan) participates(gateway int) bool {
	return p.Alive == nil || gateway == p.GatewayIndex || p.Alive[gateway]
}

// participants returns the number of participating gateways, and the index of this gateway
// among them.
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

// size returns the number of engines in the subset of each of gatewayCount gateways, where
// engineCount engines are usable and have cores cores in total.
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
