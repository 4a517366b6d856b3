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
	preferredEnginesSharedLimit = 2    // per data set; on a third engine the data would not stay cached
	restrictedEngineWeight      = 0.2  // factor on the weight of an engine that some class is restricted to
	maxDatasets                 = 4096 // with cached values: clients may name any number of data sets
)

// engineAffinity holds the scores that rank an engine for each data set.
type engineAffinity struct {
	weight float64
	scores map[int]float64 // by data set, cached
}

// preferenceKey identifies a list of preferred engines.
type preferenceKey struct {
	dataset int
	class   *class // nil: loads
}

// newAffinity returns the affinity of a new engine, weighted by its cores. An engine that
// some class is restricted to gets fewer loads, which leaves more of it to that class.
func (g *Gateway) newAffinity(info EngineInfo, cores float64) engineAffinity {
	weight := cores
	restricted := func(c class) bool { return c.isRestricted() && c.allows(&info) }
	if slices.ContainsFunc(g.classes, restricted) {
		weight *= restrictedEngineWeight
	}
	return engineAffinity{weight: weight, scores: map[int]float64{}}
}

// affinityScore ranks engines for a data set by weighted rendezvous hashing. All gateways
// compute the same scores.
func (e *engine) affinityScore(dataset int) float64 {
	if score, ok := e.affinity.scores[dataset]; ok {
		return score
	}
	x := rand.New(rand.NewPCG(hash(e.ID, float64(dataset)), 0)).Float64()
	boundCache(e.affinity.scores)
	e.affinity.scores[dataset] = -e.affinity.weight / math.Log(x)
	return e.affinity.scores[dataset]
}

// preferred returns the engines that loads of a data set go to first, or, if c is not
// nil, those that requests of class c prefer when they read the data set.
//
// Requests that a load would block avoid the engines that loads prefer. Readers have
// preferred engines too where engines share a thread limit: an engine caches few data
// sets, and reads spread over all engines would fetch each data set from disk again.
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

// boundCache clears a cache by data set that has reached its largest size.
func boundCache[K comparable, V any](cache map[K]V) {
	if len(cache) >= maxDatasets {
		clear(cache)
	}
}

// hash returns a hash of an engine's ID and a number. It is the same on every gateway.
func hash(id string, x float64) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, x, id) // writes to a hash never fail
	return h.Sum64()
}
