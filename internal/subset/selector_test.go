package subset

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "dewhill/internal/testprocess" // fixes rapid's seed
)

// selectGreedily is the reference implementation: it goes through all pairs of a gateway
// and an engine by descending weight, and accepts a pair if neither side is full.
func selectGreedily(plan Plan, list []Engine) []Member {
	cores := 0.0
	var usable []Engine
	for _, engine := range list {
		if engine.Usable {
			engine.Cores = max(1, engine.Cores)
			usable = append(usable, engine)
			cores += engine.Cores
		}
	}
	gatewayCount, index := plan.participants()
	size := plan.size(gatewayCount, len(usable), cores)
	members := make([]Member, len(usable))
	for i, engine := range usable {
		members[i].EngineID = engine.ID
		if size == len(usable) {
			members[i] = Member{engine.ID, max(1, gatewayCount), true, index}
		}
	}
	if size == len(usable) {
		return members
	}
	subsetSizes := make([]int, plan.GatewayCount)
	for _, p := range weightedPairs(plan, usable) {
		capacity := int(math.Ceil(float64(gatewayCount*size) * usable[p.engine].Cores / cores))
		member := &members[p.engine]
		if subsetSizes[p.gateway] == size || member.GatewayCount == min(gatewayCount, capacity) {
			continue
		}
		subsetSizes[p.gateway]++
		if p.gateway == plan.GatewayIndex {
			member.Selected = true
			member.GatewayIndex = member.GatewayCount
		}
		member.GatewayCount++
	}
	return members
}

// weightedPair is a pair of a gateway and an engine, both by index, with its weight.
type weightedPair struct {
	weight          uint64
	engine, gateway int
}

// weightedPairs returns the pairs of all participating gateways and usable engines, by
// descending weight.
func weightedPairs(plan Plan, usable []Engine) []weightedPair {
	var pairs []weightedPair
	for i, engine := range usable {
		for gateway := range plan.GatewayCount {
			if plan.participates(gateway) {
				weight := mix(hashOf(engine.ID) + uint64(gateway)*splitMixGamma)
				pairs = append(pairs, weightedPair{weight, i, gateway})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b weightedPair) int { return cmp.Compare(b.weight, a.weight) })
	return pairs
}

// After any sequence of changes of the list and the set of alive gateways, a Selector
// selects the same as the reference implementation does for the current list.
func TestSelectorMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := Plan{
			GatewayCount: rapid.IntRange(1, 60).Draw(t, "gateways"),
			Size:         rapid.SampledFrom([]int{AutoSize, 0, 1, 3, 7}).Draw(t, "size"),
			MaxThreads:   rapid.IntRange(0, 4).Draw(t, "maxThreads"),
		}
		plan.GatewayIndex = rapid.IntRange(0, plan.GatewayCount-1).Draw(t, "self")
		list := testEngines(rapid.IntRange(0, 300).Draw(t, "engines"))
		var selector Selector
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			for range rapid.IntRange(0, 1+len(list)/3).Draw(t, "changedEngines") {
				i := rapid.IntRange(0, len(list)).Draw(t, "engine")
				if i < len(list) {
					list[i].Usable = !list[i].Usable
				} else {
					list = append(list, Engine{ID: fmt.Sprint("new-", len(list)), Usable: true, Cores: 2})
				}
			}
			if rapid.Bool().Draw(t, "viewChanges") {
				plan.Alive = rapid.SliceOfN(rapid.Bool(), plan.GatewayCount, plan.GatewayCount).Draw(t, "alive")
			}
			got, want := selector.Select(plan, list), selectGreedily(plan, list)
			if !slices.Equal(got, want) {
				t.Fatalf("plan %+v, %d engines: selected\n%v, want\n%v", plan, len(list), got, want)
			}
		}
	})
}

// BenchmarkSelectorChange measures Selector.Select after the change of one engine, up to
// the largest supported fleet.
func BenchmarkSelectorChange(b *testing.B) {
	for _, c := range []struct{ gateways, engines int }{{300, 80}, {300, 1280}, {900, 3200}} {
		b.Run(fmt.Sprintf("%dx%d", c.gateways, c.engines), func(b *testing.B) {
			list := testEngines(c.engines)
			plan := Plan{GatewayIndex: 17, GatewayCount: c.gateways, Size: AutoSize, MaxThreads: 4}
			var selector Selector
			selector.Select(plan, list)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				engine := &list[i%len(list)]
				engine.Usable = !engine.Usable
				selector.Select(plan, list)
			}
		})
	}
}

// BenchmarkSelect measures a selection from scratch.
func BenchmarkSelect(b *testing.B) {
	for _, c := range []struct{ gateways, engines int }{{80, 60}, {300, 80}, {900, 3200}} {
		b.Run(fmt.Sprintf("%dx%d", c.gateways, c.engines), func(b *testing.B) {
			list := testEngines(c.engines)
			plan := Plan{GatewayIndex: 17, GatewayCount: c.gateways, Size: AutoSize}
			b.ReportAllocs()
			for b.Loop() {
				plan.Select(list)
			}
		})
	}
}
