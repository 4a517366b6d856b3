package subset

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// testEngines returns engines that have 8 and 16 cores alternately.
func testEngines(count int) []Engine {
	list := make([]Engine, count)
	for i := range list {
		list[i] = Engine{ID: fmt.Sprintf("s-%08x", i*2654435761), Usable: true, Cores: float64(8 + i%2*8)}
	}
	return list
}

// fleetSubsets holds the subsets of all gateways of a fleet.
type fleetSubsets struct {
	byGateway [][]string     // IDs of the engines in each gateway's subset
	users     map[string]int // number of gateways that use an engine, by its ID
}

func selectForFleet(p Plan, list []Engine) fleetSubsets {
	subsets := fleetSubsets{users: map[string]int{}}
	for p.GatewayIndex = range p.GatewayCount {
		var ids []string
		for _, member := range p.Select(list) {
			if member.Selected {
				ids = append(ids, member.EngineID)
				subsets.users[member.EngineID]++
			}
		}
		subsets.byGateway = append(subsets.byGateway, ids)
	}
	return subsets
}

// pair is a gateway and the ID of an engine in its subset.
type pair struct {
	gateway int
	engine  string
}

func (s *fleetSubsets) pairs() map[pair]bool {
	pairs := map[pair]bool{}
	for gateway, ids := range s.byGateway {
		for _, id := range ids {
			pairs[pair{gateway, id}] = true
		}
	}
	return pairs
}

// At supported fleet sizes, no gateway gets too few engines, the number of gateways of an
// engine is in proportion to its cores, and all gateways agree on that number and on the
// indices of the gateways.
func TestFleetIsSpreadByCores(t *testing.T) {
	for _, c := range []struct{ gateways, engines, maxThreads, size int }{
		{80, 30, 3, 3}, {80, 60, 2, 4}, {300, 80, 3, 3}, {80, 60, 0, 9},
	} {
		t.Run(fmt.Sprintf("%dx%d", c.gateways, c.engines), func(t *testing.T) {
			plan := Plan{GatewayCount: c.gateways, Size: AutoSize, MaxThreads: c.maxThreads}
			list := testEngines(c.engines)
			subsets := selectForFleet(plan, list)
			for gateway, ids := range subsets.byGateway {
				if len(ids) < c.size-1 || len(ids) > c.size {
					t.Errorf("gateway %d uses %d engines, want %d or %d", gateway, len(ids), c.size-1, c.size)
				}
			}
			checkMembers(t, plan, list, subsets.users)
		})
	}
}

// checkMembers checks that all gateways agree on the gateways that share an engine: users
// is the actual number of gateways by engine, and their indices must be distinct.
func checkMembers(t *testing.T, plan Plan, list []Engine, users map[string]int) {
	t.Helper()
	indexSums := map[string]int{}
	for plan.GatewayIndex = range plan.GatewayCount {
		for i, member := range plan.Select(list) {
			if member.GatewayCount != users[member.EngineID] {
				t.Fatalf("gateway %d computes %d gateways for engine %s, want %d",
					plan.GatewayIndex, member.GatewayCount, member.EngineID, users[member.EngineID])
			}
			// Each gateway reserves at least one thread: the sum must not exceed the cores.
			if float64(member.GatewayCount) > list[i].Cores {
				t.Errorf("%d gateways share an engine of %.0f cores", member.GatewayCount, list[i].Cores)
			}
			if member.Selected {
				indexSums[member.EngineID] += member.GatewayIndex
			}
		}
	}
	for id, sum := range indexSums {
		if n := users[id]; sum != n*(n-1)/2 {
			t.Errorf("indices of the %d gateways of engine %s sum to %d, want %d", n, id, sum, n*(n-1)/2)
		}
	}
}

// In a small fleet every gateway uses every engine: a smaller subset would only reduce the
// choice of engines.
func TestSmallFleetUsesEveryEngine(t *testing.T) {
	for gateway := range 3 {
		plan := Plan{GatewayIndex: gateway, GatewayCount: 3, Size: AutoSize}
		for i, member := range plan.Select(testEngines(8)) {
			if !member.Selected || member.GatewayCount != 3 || member.GatewayIndex != gateway {
				t.Errorf("gateway %d of 3, engine %d: %+v, want it selected and shared by 3",
					gateway, i, member)
			}
		}
	}
}

// After the removal of an engine, no subset has the engine, no subset is empty, and few
// other pairs of gateway and engine change. A gateway that restarts and has only the list
// selects the same subset as before.
func TestRemovedEngineMovesFewOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := Plan{
			GatewayCount: rapid.IntRange(2, 120).Draw(t, "gateways"),
			Size:         rapid.IntRange(1, 8).Draw(t, "size"),
		}
		list := testEngines(rapid.IntRange(10, 60).Draw(t, "engines"))
		removed := rapid.IntRange(0, len(list)-1).Draw(t, "removed")
		removedID := list[removed].ID
		before := selectForFleet(plan, list).byGateway
		changed := slices.Clone(list)
		changed[removed].Usable = false
		after := selectForFleet(plan, changed).byGateway
		moves := 0 // remaining engines that gateways no longer use
		for gateway := range plan.GatewayCount {
			if slices.Contains(after[gateway], removedID) || len(after[gateway]) == 0 {
				t.Fatalf("gateway %d uses %v after the removal of %s", gateway, after[gateway], removedID)
			}
			for _, id := range before[gateway] {
				if id != removedID && !slices.Contains(after[gateway], id) {
					moves++
				}
			}
		}
		if total := plan.GatewayCount * plan.Size; moves > total/3 {
			t.Fatalf("removal of one engine of %d moved %d of %d pairs, at most a third allowed",
				len(list), moves, total)
		}
		again := selectForFleet(plan, changed).byGateway
		if !slices.EqualFunc(again, after, slices.Equal) {
			t.Fatal("gateways select different engines after a restart")
		}
	})
}

// Six in ten engines are replaced in two halves; the new engines of each half are listed
// before the old ones drain. Most gateways keep the engines that are not replaced, and
// there are few new pairs of gateway and engine, each of which costs a handshake. An
// independent selection at each change would keep one in ten of those pairs and make three
// times as many new ones.
func TestMassReplacementMovesLittle(t *testing.T) {
	const (
		initial  = 30 // engines in use at first
		total    = 48
		replaced = 18 // in two equal steps
	)
	plan := Plan{GatewayCount: 80, Size: AutoSize, MaxThreads: 3}
	list := testEngines(total)
	setUsable := func(from, to int, usable bool) {
		for i := from; i < to; i++ {
			list[i].Usable = usable
		}
	}
	currentPairs := func() map[pair]bool {
		subsets := selectForFleet(plan, list)
		return subsets.pairs()
	}
	setUsable(initial, total, false)
	first := currentPairs()
	last := first
	newPairs := 0
	replace := func(from, to int, usable bool) {
		setUsable(from, to, usable)
		current := currentPairs()
		for p := range current {
			if !last[p] {
				newPairs++
			}
		}
		last = current
	}
	for from := 0; from < replaced; from += replaced / 2 {
		replace(initial+from, initial+from+replaced/2, true)
		replace(from, from+replaced/2, false)
	}
	unmoved, stayed := 0, 0
	for gateway := range plan.GatewayCount {
		for _, engine := range list[replaced:initial] {
			if !first[pair{gateway, engine.ID}] {
				continue
			}
			stayed++
			if last[pair{gateway, engine.ID}] {
				unmoved++
			}
		}
	}
	if unmoved < stayed/2 || newPairs > len(first)*3/2 {
		t.Errorf("%d of %d pairs with remaining engines are unchanged; %d new pairs, %d initial pairs",
			unmoved, stayed, newPairs, len(first))
	}
}
