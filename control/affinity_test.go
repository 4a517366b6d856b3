package control

import (
	"fmt"
	"testing"
)

// Where engines share a thread limit, requests that read one data set go to few engines.
func TestReadersKeepToPreferredEngines(t *testing.T) {
	tr := newScenario(t, manyGateways(), engines("a", "b", "c", "d", "e", "f", "g", "h", "i")...)
	for i := range 40 {
		tr.handle(Event{Kind: RequestArrived, RequestID: fmt.Sprint(i), DeadlineAtMS: tr.nowMS + 2000,
			WorkMS: 50, Dataset: 3})
		tr.endAttempt(fmt.Sprint(i), Served)
		tr.advance(30)
	}
	used := map[string]bool{}
	for _, a := range tr.starts {
		used[a.Engine] = true
	}
	if len(tr.starts) < 40 || len(used) > preferredEnginesSharedLimit {
		t.Errorf("%d readers of one data set on %d engines, want at least 40 on at most %d",
			len(tr.starts), len(used), preferredEnginesSharedLimit)
	}
}

// Loads go mostly to engines that no class is restricted to.
func TestLoadsAvoidEnginesOfRestrictedClasses(t *testing.T) {
	tr := newScenario(t, twoEngineKinds(), EngineInfo{ID: "s1"}, EngineInfo{ID: "s2"}, EngineInfo{ID: "s3"},
		EngineInfo{ID: "b", Kind: 1})
	unrestricted := 0
	for dataset := range 100 {
		if tr.gateway.preferred(dataset, nil)[0].ID == "b" {
			unrestricted++
		}
	}
	// By cores alone the share would be 16 of 40; with the other engines at a fifth, 16 of 20.8.
	if unrestricted < 60 {
		t.Errorf("%d of 100 data sets prefer the engine that no class is restricted to, want at least 60",
			unrestricted)
	}
}
