package server_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"dewhill/internal/fakes"
	"dewhill/internal/subset"
	"dewhill/internal/testprocess"
)

// The fleet has twelve front ends and twelve engines. Only the first four front ends run, and
// each must use only the engines of its subset.
const (
	fleetSize    = 12
	engineCount  = 12
	runningCount = 4
)

// selectedEngines returns the ids of the engines in a front end's subset, as
// internal/subset selects them.
func selectedEngines(index int, engines []*fakes.Engine) []string {
	candidates := make([]subset.Engine, len(engines))
	for i, e := range engines {
		candidates[i] = subset.Engine{ID: e.ID, Usable: true, Cores: 8}
	}
	plan := subset.Plan{GatewayIndex: index, GatewayCount: fleetSize, Size: subset.AutoSize, MaxThreads: 2}
	var ids []string
	for _, member := range plan.Select(candidates) {
		if member.Selected {
			ids = append(ids, member.EngineID)
		}
	}
	return ids
}

// enginesReached returns the ids of the engines that received requests whose ids have a
// prefix.
func enginesReached(engines []*fakes.Engine, idPrefix string) []string {
	var reached []string
	for _, e := range engines {
		if slices.ContainsFunc(e.Attempts(), func(a fakes.Attempt) bool { return strings.HasPrefix(a.ID, idPrefix) }) {
			reached = append(reached, e.ID)
		}
	}
	return reached
}

// requestLookups sends lookups whose ids have a prefix, and checks that each is served.
func requestLookups(t *testing.T, f *frontEndProcess, idPrefix string, count int) {
	t.Helper()
	c := f.connect()
	for i := range count {
		id := fmt.Sprintf("%s%012x", idPrefix, i)
		if status, _, body := c.roundTrip(requestMessage("lookup", id, timeoutHeaders, "q")); status != 200 || body.Err != "" {
			t.Fatalf("%s: status %d, %+v", id, status, body)
		}
	}
}

// checkSubset sends requests to a front end and checks that only engines of its subset
// received them. Each call needs a different pair of round and index.
func checkSubset(t *testing.T, f *frontEndProcess, round string, index int, engines []*fakes.Engine) {
	t.Helper()
	idPrefix := fmt.Sprintf("%s%x00", round, index) // ids are 16 hexadecimal digits
	requestLookups(t, f, idPrefix, 40)
	selected, reached := selectedEngines(index, engines), enginesReached(engines, idPrefix)
	if len(selected) >= engineCount {
		t.Fatalf("the subset of front end %d of %d has all %d engines: the fleet is too small for the test",
			index, fleetSize, engineCount)
	}
	for _, id := range reached {
		if !slices.Contains(selected, id) {
			t.Errorf("%s: front end %d sent to %s, outside its subset %v", round, index, id, selected)
		}
	}
	if len(reached) == 0 {
		t.Errorf("%s: front end %d sent no request to an engine", round, index)
	}
}

// Most front ends are killed at once and restarted with only the endpoint list in their
// configuration, as the discovery service can't be reached. Each serves requests, and uses
// the same subset of the engines as before.
func TestSubsetsAfterMassRestart(t *testing.T) {
	engines := make([]*fakes.Engine, engineCount)
	for i := range engines {
		engines[i] = fakes.NewScriptedEngine(t, fmt.Sprintf("s-%02d", i), replyOneRow)
	}
	unreachable := testprocess.FreeAddr(t)
	frontEnds := make([]*frontEndProcess, runningCount)
	for i := range frontEnds {
		frontEnds[i] = startFleetMember(t, i, fleetSize, unreachable, 1024, engines...)
	}
	for i, f := range frontEnds {
		checkSubset(t, f, "a", i, engines)
	}
	for _, f := range frontEnds[1:] {
		f.process.Kill()
	}
	for _, f := range frontEnds[1:] {
		f.process = f.startProcess("")
		f.waitHealthy()
	}
	for i, f := range frontEnds {
		checkSubset(t, f, "b", i, engines)
	}
}
