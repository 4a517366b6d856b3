package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// The first burst of work to engines that have just started, dashboards included, stays within
// the slow-start budget, although only a new start time shows the restart and all engines are
// warming up.
func TestSlowStartLimitsWork(t *testing.T) {
	for _, gateways := range []int{1, 3, 8} {
		s := oneGateway()
		s.GatewayCount = gateways
		tr := newScenario(t, s, engines("a", "b")...)
		fresh := []EngineInfo{{ID: "a", StartedAtMS: tr.nowMS}, {ID: "b", StartedAtMS: tr.nowMS}}
		tr.handle(Event{Kind: EndpointUpdate, Engines: fresh})
		for i := range 400 {
			tr.arrive(fmt.Sprint(i), 0, 100, 1900)
			tr.advance(5) // the rule checker sums the work sent to each engine
		}
		if len(tr.starts) == 0 || len(tr.starts) > 300 {
			t.Errorf("%d gateways: %d attempts for 400 requests, want 1 to 300", gateways, len(tr.starts))
		}
	}
}

// Many gateways share the slow-start budget of an engine in rotation: the work that all of them
// send stays within the budget in every window, and some work is sent. Each gateway receives the
// list of the starting engines after a random delay, and then requests at random intervals.
func TestSlowStartBudgetIsSharedByGateways(t *testing.T) {
	s := oneGateway()
	s.GatewayCount = 75
	s.OverloadWindowMS = 1500
	s.EngineKinds[0].Cores = 16
	sent := map[string][]sentWork{}
	for i := range s.GatewayCount {
		s.GatewayIndex = i
		sendToStartingEngines(t, s, sent)
	}
	for id, list := range sent {
		slices.SortFunc(list, func(a, b sentWork) int { return cmp.Compare(a.atMS, b.atMS) })
		checkSlowStartBudget(t, s, id, list)
		if len(list) < 40 {
			t.Errorf("%d requests sent to %s, want at least 40", len(list), id)
		}
	}
	if len(sent) < 4 {
		t.Errorf("work went to %d engines, want 4", len(sent))
	}
}

// startedAtMS is the start time of the engines in TestSlowStartBudgetIsSharedByGateways.
const startedAtMS = 1000.0

// sendToStartingEngines gives one gateway four engines that have just started, ends each attempt
// on them at once as served, and adds the work sent to each engine to sent.
func sendToStartingEngines(t *testing.T, s Settings, sent map[string][]sentWork) {
	t.Helper()
	worksMS := []float64{150, 3000} // by class
	tr := newScenario(t, s, engines("w")...)
	tr.settings.SlowStartWindowMS = 0 // the rule checker of one gateway assumes even quotas
	rng := rand.New(rand.NewPCG(uint64(s.GatewayIndex), 3))
	tr.advance(rng.Float64() * 3000)
	var starting []EngineInfo
	for _, id := range []string{"a", "b", "c", "d"} {
		starting = append(starting, EngineInfo{ID: id, StartedAtMS: startedAtMS})
	}
	tr.handle(Event{Kind: EndpointSnapshot, Engines: starting})
	for i := range 150 {
		id := fmt.Sprint(i)
		tr.arrive(id, i%2, worksMS[i%2], 19000)
		if k := len(tr.starts); k > 0 && tr.starts[k-1].RequestID == id {
			tr.endAttempt(id, Served)
		}
		tr.advance(rng.Float64() * 100)
	}
	for _, a := range tr.starts {
		r := tr.requests[a.RequestID]
		sent[a.Engine] = append(sent[a.Engine], sentWork{r.attempts[0].startedAtMS, worksMS[r.class]})
	}
}

// checkSlowStartBudget checks the work sent to an engine, in order of time, within any overload
// window while the engine warms up.
func checkSlowStartBudget(t *testing.T, s Settings, id string, list []sentWork) {
	t.Helper()
	maxWorkMS := func(atMS float64) float64 { // for the least capacity that the engine may have
		progress := (1 - s.SlowStartInitialFraction) * (atMS - startedAtMS) / s.SlowStartWindowMS
		return s.OverloadMultiple * 0.85 * 16 * (s.SlowStartInitialFraction + progress) * s.OverloadWindowMS
	}
	first := 0 // of the window
	totalMS := 0.0
	for _, w := range list {
		if w.atMS >= startedAtMS+s.SlowStartWindowMS {
			return
		}
		totalMS += w.workMS
		for ; list[first].atMS <= w.atMS-s.OverloadWindowMS; first++ {
			totalMS -= list[first].workMS
		}
		if limit := maxWorkMS(w.atMS - s.OverloadWindowMS/2); totalMS > limit {
			t.Errorf("%.0f ms of work sent to %s in slow start by %.0f ms, want at most %.0f ms", totalMS, id,
				w.atMS, limit)
		}
	}
}
