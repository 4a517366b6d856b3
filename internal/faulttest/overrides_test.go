package faulttest

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/fakes"
	"dewhill/internal/mutanttest"
	"dewhill/internal/testprocess"
)

const replicatedCluster = fastCluster + "[replica]\non = true\n"

// overrideDelay is the time within which an acknowledged override takes effect on all
// front ends that it can reach.
const overrideDelay = 500 * time.Millisecond

var slack = flag.Duration("slack", 2*time.Second, "added to the program's own delays, to allow for a busy host")

// replicatedState is a front end's replicated state, as the operators' API returns it.
type replicatedState struct {
	Digest     string
	Overrides  int  `json:"entries"`
	CaughtUp   bool `json:"caught_up"`
	Conflicts  []struct{ Engine string }
	EnginesOut []struct{ Engine string } `json:"engines_out"`
}

// replicatedState returns the front end's replicated state, and false if the front end did
// not respond.
func (fe *FrontEnd) replicatedState() (replicatedState, bool) {
	var state replicatedState
	status, body := Call(fe.ControlAddr, "GET", "state")
	return state, status == 200 && json.Unmarshal(body, &state) == nil
}

// isOutOfService reports whether an engine is out of service.
func (s *replicatedState) isOutOfService(engine string) bool {
	for _, out := range s.EnginesOut {
		if out.Engine == engine {
			return true
		}
	}
	return false
}

// replicationMismatch describes why the states of the running front ends are not equal and
// caught up. It returns an empty string if they are, and the state of the last front end.
func (f *Fleet) replicationMismatch() (last replicatedState, mismatch string) {
	for i, front := range f.Fronts {
		if !front.Running() {
			continue
		}
		state, answered := front.replicatedState()
		differs := i > 0 && last.Digest != "" && state.Digest != last.Digest
		if !answered || !state.CaughtUp || differs {
			mismatch = fmt.Sprintf("%s: %+v, front end before it: %+v", front.Name, state, last)
		}
		last = state
	}
	return last, mismatch
}

// requireReplicated waits until all running front ends have caught up and have the same
// state, and returns that state.
func (f *Fleet) requireReplicated(t *testing.T, limit time.Duration) replicatedState {
	t.Helper()
	mismatch := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(viewPollInterval) {
		var state replicatedState
		state, mismatch = f.replicationMismatch()
		if mismatch == "" {
			return state
		}
	}
	t.Fatalf("the replicated states still differ after %v: %s", limit, mismatch)
	return replicatedState{}
}

// sentTo describes the attempts that an engine received after a time from the front ends
// that isFrom selects by index.
func (f *Fleet) sentTo(engine *fakes.Engine, after time.Time, isFrom func(front int) bool) []string {
	var sent []string
	for _, attempt := range engine.Attempts() {
		f.mu.Lock()
		request := f.requests[attempt.ID]
		f.mu.Unlock()
		if request != nil && attempt.ReceivedAt.After(after) && isFrom(request.front) {
			elapsedMS := attempt.ReceivedAt.Sub(after).Seconds() * 1000
			sent = append(sent, fmt.Sprintf("n%d %.0f ms later", request.front, elapsedMS))
		}
	}
	return sent
}

// withoutCatchUp is a program that serves requests before it has caught up.
var withoutCatchUp = mutanttest.Mutant{
	Name: "without catch-up",
	File: "internal/replication/replica.go",
	Old:  "r.started = true",
	New:  "r.started = true\n\tr.catchUp.ready = true",
}

// overrideScenario is a fleet in which an engine is taken out of service while one front
// end is down and others are partitioned.
type overrideScenario struct {
	*Fleet
	t           *testing.T
	engine      *fakes.Engine // taken out of service
	down        *FrontEnd
	partitioned map[int]bool

	acknowledgedAt time.Time
	healedAt       time.Time
	restartedAt    time.Time
}

// TestEngineOutOfService takes an engine out of service by a call to one front end. It
// checks that front ends that the override reaches send nothing to the engine later than
// overrideDelay after the acknowledgement, that partitioned front ends send nothing later
// than overrideDelay after the end of the partition, and that the front end that was down
// sends nothing after its restart. A program that serves before it has caught up must fail
// the last check.
func TestEngineOutOfService(t *testing.T) {
	t.Run("program", func(t *testing.T) {
		s := runOverrideScenario(t, *fleetSize, nil)
		s.checkEngineUnused()
		results := s.checkClients(t)
		t.Logf("%d requests answered, %d served", results.Answered, results.Served)
	})
	t.Run(withoutCatchUp.Name, func(t *testing.T) {
		s := runOverrideScenario(t, 5, &withoutCatchUp)
		if len(s.sentByRestarted(s.engine)) == 0 {
			t.Error("the mutant that serves before it has caught up passes the check")
		}
	})
}

// runOverrideScenario takes an engine out of service under faults, restarts the front end
// that was down, and returns when all front ends have replicated the override.
func runOverrideScenario(t *testing.T, size int, mutant *mutanttest.Mutant) *overrideScenario {
	t.Helper()
	f := startConverged(t, Options{
		Seed: *firstSeed, Size: size, Engines: 4, ClusterConfig: replicatedCluster, Mutant: mutant,
	})
	s := &overrideScenario{Fleet: f, t: t, engine: f.Engines[0], down: f.Fronts[1], partitioned: map[int]bool{}}
	f.requireReplicated(t, *convergenceLimit)
	stopClients := f.StartClients(6)
	s.injectFaults(size)
	s.takeEngineOut()
	time.Sleep(2 * time.Second)
	f.Heal()
	s.healedAt = time.Now()
	f.Record("partition healed")
	time.Sleep(2 * time.Second)
	s.restartPartitioned()
	f.requireReplicated(t, *convergenceLimit)
	time.Sleep(overrideDelay)
	stopClients()
	f.KillAll()
	return s
}

// injectFaults kills one front end and partitions as many others as a quarter of the fleet.
func (s *overrideScenario) injectFaults(size int) {
	s.Signal(s.down, syscall.SIGKILL)
	var targets []int
	for i := 2; i < 2+size/4; i++ {
		s.partitioned[i] = true
		targets = append(targets, i)
	}
	s.Partition(targets...)
	time.Sleep(time.Second)
}

// takeEngineOut takes the engine out of service while the views still change. A majority
// of the front ends can be reached, so the call must succeed.
func (s *overrideScenario) takeEngineOut() {
	s.t.Helper()
	status, body := Call(s.Fronts[0].ControlAddr, "POST", "engines/"+s.engine.ID+"/offline")
	s.acknowledgedAt = time.Now()
	s.Record("%s out of service: status %d %s", s.engine.ID, status, body)
	if status != 200 {
		s.t.Fatalf("status %d, %s", status, body)
	}
}

// restartPartitioned restarts the front end that is down, sends requests to it while it is
// partitioned and can't catch up, and heals the partition.
func (s *overrideScenario) restartPartitioned() {
	s.t.Helper()
	s.restartedAt = time.Now()
	s.Partition(s.down.Index)
	s.StartProcess(s.down)
	testprocess.Until(s.t, s.down.Name+" to listen", func() bool {
		conn, err := net.Dial("tcp", s.down.Addr)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
	var requests sync.WaitGroup
	for k := range 40 {
		requests.Go(func() { s.sendRequest(s.down, fmt.Sprintf("ffff%012x", k), lookupClass) })
	}
	time.Sleep(2 * time.Second)
	s.Heal()
	requests.Wait()
}

// sentByRestarted describes the attempts that the restarted front end sent to an engine.
func (s *overrideScenario) sentByRestarted(engine *fakes.Engine) []string {
	return s.sentTo(engine, s.restartedAt, func(front int) bool { return front == s.down.Index })
}

// checkEngineUnused checks that no front end sent attempts to the engine after the time
// by which the override must have taken effect on it.
func (s *overrideScenario) checkEngineUnused() {
	s.t.Helper()
	if sent := s.sentByRestarted(s.engine); len(sent) > 0 {
		s.t.Errorf("the restarted front end sent attempts to the engine: %v", sent)
	}
	isReached := func(front int) bool { return !s.partitioned[front] && front != s.down.Index }
	if sent := s.sentTo(s.engine, s.acknowledgedAt.Add(overrideDelay+*slack), isReached); len(sent) > 0 {
		s.t.Errorf("attempts sent too late after the acknowledgement: %v", sent)
	}
	isPartitioned := func(front int) bool { return s.partitioned[front] }
	if sent := s.sentTo(s.engine, s.healedAt.Add(overrideDelay+*slack), isPartitioned); len(sent) > 0 {
		s.t.Errorf("attempts sent by partitioned front ends too late after the partition: %v", sent)
	}
	if len(s.sentByRestarted(s.Engines[1])) == 0 {
		s.t.Error("the restarted front end sent nothing to another engine: the run is not meaningful")
	}
}

// requireCall sends a POST request to the operators' API and fails the test unless the
// response has the wanted status. It returns the body of the response.
func (f *Fleet) requireCall(t *testing.T, front *FrontEnd, path string, wantStatus int) string {
	t.Helper()
	status, body := Call(front.ControlAddr, "POST", path)
	f.Record("%s at %s: %d %s", path, front.Name, status, body)
	if status != wantStatus {
		t.Errorf("%s at %s: status %d, want %d: %s", path, front.Name, status, wantStatus, body)
	}
	return string(body)
}

// TestConcurrentOverrides writes overrides on both sides of a partition. The majority must
// acknowledge them; a front end of the minority must respond with the number of front ends
// that have them. After the partition, "out of service" must be in effect on all front
// ends, and the conflict must be shown until an operator resolves it.
func TestConcurrentOverrides(t *testing.T) {
	f := startConverged(t, Options{Seed: 6, Size: 5, Engines: 3, ClusterConfig: replicatedCluster, Durable: true})
	f.requireReplicated(t, *convergenceLimit)
	f.requireCall(t, f.Fronts[0], "engines/s-00/offline", 200)
	f.requireCall(t, f.Fronts[0], "engines/s-99/offline", 404)
	checkSecondProcessRefused(t, f, f.Fronts[0])
	if state := f.requireReplicated(t, *convergenceLimit); !state.isOutOfService("s-00") || state.Overrides != 1 {
		t.Errorf("%+v", state)
	}
	writeOnBothSides(t, f)
	f.Heal()
	state := f.requireReplicated(t, 15*time.Second+*slack)
	if !state.isOutOfService("s-00") || !state.isOutOfService("s-01") || len(state.Conflicts) != 1 || state.Conflicts[0].Engine != "s-00" {
		t.Errorf("after the partition: %+v", state)
	}
	f.requireCall(t, f.Fronts[2], "engines/s-00/online", 200)
	if state := f.requireReplicated(t, *convergenceLimit); state.isOutOfService("s-00") || len(state.Conflicts) != 0 {
		t.Errorf("after the conflict was resolved: %+v", state)
	}
	checkOverridesSurviveRestart(t, f)
}

// checkSecondProcessRefused checks that a second process of a front end refuses to start
// while the first one runs, because it would vote with a state of its own.
func checkSecondProcessRefused(t *testing.T, f *Fleet, front *FrontEnd) {
	t.Helper()
	environment := fakes.ProgramEnvironment(front.configPath, testprocess.FreeAddr(t), front.tempDir)
	second := testprocess.Start(t, environment, "-group", front.clusterPath)
	if second.Wait() != 1 || !strings.Contains(second.Log(), "another process of this name?") {
		t.Errorf("a second process of the same name was not refused: %s", second.Log())
	}
	f.Record("a second process of %s has ended", front.Name)
}

// writeOnBothSides writes overrides on both sides of a partition. Only one side has a
// majority.
func writeOnBothSides(t *testing.T, f *Fleet) {
	t.Helper()
	majority := f.Fronts[0]
	minority := f.Fronts[3]
	otherMinority := f.Fronts[4]
	f.Partition(minority.Index, otherMinority.Index)
	f.requireCall(t, majority, "engines/s-00/online", 200)
	if body := f.requireCall(t, minority, "engines/s-00/offline", 503); !strings.Contains(body, `"kept":2,"needed":3`) {
		t.Errorf("the minority's response is %q", body)
	}
	f.requireCall(t, otherMinority, "engines/s-01/offline", 503)
	// Online and offline again: these overrides supersede the minority's first override,
	// but not the override of the majority, which they have not received.
	f.requireCall(t, minority, "engines/s-00/online", 503)
	f.requireCall(t, minority, "engines/s-00/offline", 503)
	if state, _ := f.Fronts[1].replicatedState(); state.isOutOfService("s-00") || state.isOutOfService("s-01") {
		t.Errorf("the majority received overrides of the minority: %+v", state)
	}
}

// checkOverridesSurviveRestart takes a front end out of service and restarts all front
// ends, so that the overrides remain only in the state directories.
func checkOverridesSurviveRestart(t *testing.T, f *Fleet) {
	t.Helper()
	outOfService := f.Fronts[1]
	f.requireCall(t, outOfService, "out-of-service", 200)
	f.KillAll()
	f.StartAll()
	if state := f.requireReplicated(t, *convergenceLimit); !state.isOutOfService("s-01") || state.isOutOfService("s-00") {
		t.Errorf("after all front ends were killed: %+v", state)
	}
	testprocess.Until(t, f.Fronts[0].Name+" to be ready", f.Fronts[0].IsReady)
	if outOfService.IsReady() {
		t.Error("a front end that was taken out of service is ready after its restart")
	}
}
