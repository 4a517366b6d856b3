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

// A fleet of twelve front ends in front of twelve engines, of which the first four
// run: each is to use its subset of the engines alone.
const (
	fleetSize    = 12
	engineCount  = 12
	runningCount = 4
)

// selectedEngines are those that a front end is to use, as internal/subset selects
// them.
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

// enginesReached are the engines that were sent requests whose ids have a prefix.
func enginesReached(engines []*fakes.Engine, idPrefix string) []string {
	var reached []string
	for _, e := range engines {
		if slices.ContainsFunc(e.Attempts(), func(a fakes.Attempt) bool { return strings.HasPrefix(a.ID, idPrefix) }) {
			reached = append(reached, e.ID)
		}
	}
	return reached
}

// requestLookups sends lookups whose ids have a prefix, and wants each served.
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

// checkSubset sends requests to a front end and checks that they went to engines of
// its subset alone. No two calls may have the same round and index.
func checkSubset(t *testing.T, f *frontEndProcess, round string, index int, engines []*fakes.Engine) {
	t.Helper()
	idPrefix := fmt.Sprintf("%s%x00", round, index) // ids are 16 hexadecimal digits
	requestLookups(t, f, idPrefix, 40)
	selected, reached := selectedEngines(index, engines), enginesReached(engines, idPrefix)
	if len(selected) >= engineCount {
		t.Fatalf("front end %d of %d is to use all %d engines: the fleet is too small to test", index, fleetSize, engineCount)
	}
	for _, id := range reached {
		if !slices.Contains(selected, id) {
			t.Errorf("%s: front end %d sent to %s, outside its subset %v", round, index, id, selected)
		}
	}
	if len(reached) == 0 {
		t.Errorf("%s: front end %d sent nothing", round, index)
	}
}

// Most front ends are killed at once, and restarted with nothing but the list in their
// configuration while no other can be reached: each still uses its own subset of the
// engines, the same as before, and serves.
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
