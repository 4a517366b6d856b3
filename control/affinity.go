package control

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	preferredEnginesSharedLimit = 2    // of a data set: a third does not stay warm
	restrictedEngineWeight      = 0.2  // factor on the weight of an engine that some class is restricted to
	maxDatasets                 = 4096 // for which something is cached, as a client may name any number
)

// engineAffinity orders engines by data set.
type engineAffinity struct {
	weight float64
	scores map[int]float64 // by data set, cached
}

// preferenceKey names whose preferred engines are meant.
type preferenceKey struct {
	dataset int
	class   *class // nil: loads
}

// newAffinity returns the affinity of a new engine, by its cores. Engines that some
// class is restricted to get fewer loads, for its sake.
func (g *Gateway) newAffinity(info EngineInfo, cores float64) engineAffinity {
	weight := cores
	restricted := func(c class) bool { return c.isRestricted() && c.allows(&info) }
	if slices.ContainsFunc(g.classes, restricted) {
		weight *= restrictedEngineWeight
	}
	return engineAffinity{weight: weight, scores: map[int]float64{}}
}

// affinityScore orders engines for a data set, alike at every gateway: weighted
// rendezvous hashing.
func (e *engine) affinityScore(dataset int) float64 {
	if score, ok := e.affinity.scores[dataset]; ok {
		return score
	}
	x := rand.New(rand.NewPCG(hash(e.ID, float64(dataset)), 0)).Float64()
	boundCache(e.affinity.scores)
	e.affinity.scores[dataset] = -e.affinity.weight / math.Log(x)
	return e.affinity.scores[dataset]
}

// preferred returns the engines that a data set's loads go to first, or those
// that its readers of a class do.
//
// Readers that a load would block stay away from the preferred engines of loads.
// Readers have preferred engines too, where engines share a thread limit: an engine
// keeps few data sets warm, and spread over all, each is read from disk anew.
func (g *Gateway) preferred(dataset int, c *class) []*engine {
	if c != nil && c.IsLoad {
		c = nil
	}
	key := preferenceKey{dataset, c}
	if list, ok := g.preferredEngines[key]; ok {
		return list
	}
	list := slices.DeleteFunc(slices.Clone(g.engines), func(e *engine) bool { return !e.listing.available })
	size := 1
	if len(list) > 0 && list[0].sharesThreadLimit {
		size = preferredEnginesSharedLimit
	}
	slices.SortFunc(list, func(a, b *engine) int {
		return cmp.Compare(b.affinityScore(dataset), a.affinityScore(dataset))
	})
	if c != nil {
		if c.BlockedByLoads {
			list = list[min(size, len(list)):]
		}
		list = slices.DeleteFunc(list, func(e *engine) bool { return !c.allows(&e.EngineInfo) })
	}
	boundCache(g.preferredEngines)
	g.preferredEngines[key] = list[:min(size, len(list))]
	return g.preferredEngines[key]
}

// boundCache empties what is cached by data set where it has grown too large.
func boundCache[K comparable, V any](cache map[K]V) {
	if len(cache) >= maxDatasets {
		clear(cache)
	}
}

// hash returns a number for an engine's id and one more number, the same at every
// gateway.
func hash(id string, x float64) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, x, id) // a hash takes every write
	return h.Sum64()
}
