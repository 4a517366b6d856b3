package faulttest

import (
	"flag"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/faultplan"
	"dewhill/internal/mutanttest"
)

var (
	timelineCount    = flag.Int("seeds", 1, "number of timelines to run")
	firstSeed        = flag.Uint64("seed", 1, "seed of the first timeline")
	fleetSize        = flag.Int("size", 16, "number of front ends")
	faultCount       = flag.Int("faults", 10, "number of faults in a timeline")
	timelineDuration = flag.Duration("lasts", 20*time.Second, "duration of a timeline")
	convergenceLimit = flag.Duration("settle", 60*time.Second, "time after the last fault within which all views converge")
)

// minServed is the number of served requests below which a run is not meaningful.
const minServed = 20

// fastCluster is a cluster configuration with short intervals.
const fastCluster = "on = true\nperiod_ms = 200\nretry_ms = 60\nsuspect_min_ms = 400\nsuspect_max_ms = 800\n" +
	"reconnect_ms = 400\ndatagrams_per_second = 15\n"

// requireConvergence fails the test unless all views converge on the processes that are
// running. The words of when follow "views have not converged" in the message.
func (f *Fleet) requireConvergence(t *testing.T, when string) {
	t.Helper()
	if took, ok := f.AwaitConvergence(*convergenceLimit); !ok {
		t.Fatalf("seed %d: views have not converged %s within %v", f.options.Seed, when, took)
	}
}

// startConverged starts a fleet and returns when all views have converged.
func startConverged(t *testing.T, options Options) *Fleet {
	t.Helper()
	f := Start(t, options)
	f.requireConvergence(t, "after the start")
	return f
}

// checkClients fails the test if a rule was violated or too few requests were served.
func (f *Fleet) checkClients(t *testing.T) ClientResults {
	t.Helper()
	results := f.ClientResults()
	if len(results.Violations) > 0 {
		t.Errorf("seed %d: %d violations, the first: %s", f.options.Seed, len(results.Violations), results.Violations[0])
	}
	if results.Served < minServed {
		t.Errorf("seed %d: only %d requests were served: the run is not meaningful", f.options.Seed, results.Served)
	}
	return results
}

// TestViewsConvergeAfterFaults runs timelines of crashes, pauses, partitions and corrupted
// datagrams while clients send requests. It checks that all views converge on the running
// processes afterwards, and that no client's request violated a rule.
func TestViewsConvergeAfterFaults(t *testing.T) {
	for k := range *timelineCount {
		seed := *firstSeed + uint64(k)
		f := startConverged(t, Options{Seed: seed, Size: *fleetSize, Engines: 6, ClusterConfig: "on = true\n"})
		stopClients := f.StartClients(4)
		f.RunTimeline(faultplan.Generate(seed, *fleetSize, *faultCount, float64(*timelineDuration/time.Millisecond)))
		took, converged := f.AwaitConvergence(*convergenceLimit)
		stopClients()
		results := f.checkClients(t)
		t.Logf("seed %d: views converged %.1f s after the last fault; %d requests answered, %d served; %d datagrams, %d lost",
			seed, took.Seconds(), results.Answered, results.Served, f.relays.relayed.Load(), f.relays.lost.Load())
		if !converged {
			t.Errorf("seed %d: views have not converged %v after the last fault", seed, took)
		}
		f.KillAll()
	}
}

// withoutRefutation is a program in which no front end refutes an update that lists it as
// dead.
var withoutRefutation = mutanttest.Mutant{
	Name: "without refutation",
	File: "internal/membership/suspicion.go",
	Old:  "if v.leaving || !overrides(",
	New:  "if true || v.leaving || !overrides(",
}

// pauseUntilDead pauses a front end until the observer lists it as dead, resumes it, and
// reports whether all views converge within the limit.
func (f *Fleet) pauseUntilDead(t *testing.T, paused, observer *FrontEnd, limit time.Duration) (converged bool) {
	t.Helper()
	f.Signal(paused, syscall.SIGSTOP)
	deadline := time.Now().Add(*convergenceLimit)
	for {
		if view, ok := observer.View(); ok && view.state(paused.Name) == "dead" {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s does not list the paused %s as dead within %v", observer.Name, paused.Name, *convergenceLimit)
		}
		time.Sleep(viewPollInterval)
	}
	f.Signal(paused, syscall.SIGCONT)
	_, converged = f.AwaitConvergence(limit)
	return converged
}

// TestPausedFrontEndIsAliveAgain pauses a front end until it is listed as dead, and checks
// that all views list it as alive after it is resumed. A program without refutation must
// fail this check.
func TestPausedFrontEndIsAliveAgain(t *testing.T) {
	cases := []struct {
		name     string
		mutant   *mutanttest.Mutant
		limit    time.Duration
		converge bool
	}{
		{"program", nil, *convergenceLimit, true},
		{withoutRefutation.Name, &withoutRefutation, 5 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startConverged(t, Options{Seed: 3, Size: 4, Engines: 2, ClusterConfig: fastCluster, Mutant: c.mutant})
			if got := f.pauseUntilDead(t, f.Fronts[2], f.Fronts[0], c.limit); got != c.converge {
				t.Errorf("views converged: %v, want %v", got, c.converge)
			}
			f.KillAll()
		})
	}
}

// TestJoinBySeeds checks that all front ends of a fleet with two seeds and no configured
// peers join, also after the seeds were restarted. With a state directory, a restarted
// front end must begin above its last incarnation, even if all front ends were restarted,
// so that no other can report that incarnation to it. A front end must not start with the
// state directory of another.
func TestJoinBySeeds(t *testing.T) {
	const seedCount = 2
	f := startConverged(t, Options{
		Seed: 4, Size: 6, Engines: 2, ClusterConfig: fastCluster, SeedCount: seedCount, Durable: true,
	})
	view, _ := f.Fronts[0].View()
	if !view.Quorum || len(view.Members) != 6 {
		t.Errorf("view %+v, want a quorum and 6 members", view)
	}
	seeds := f.Fronts[:seedCount]
	for _, front := range seeds {
		f.Signal(front, syscall.SIGKILL)
	}
	f.requireConvergence(t, "without the seeds")
	for _, front := range seeds {
		f.StartProcess(front)
	}
	f.requireConvergence(t, "after the restart of the seeds")
	f.KillAll()
	f.StartAll()
	f.requireConvergence(t, "after the restart of all front ends")
	for i, front := range f.Fronts {
		last := uint32(1)
		if i < seedCount {
			last = 2 // restarted once before
		}
		if view, ok := front.View(); !ok || view.Incarnation <= last {
			t.Errorf("%s began at incarnation %d, want more than %d", front.Name, view.Incarnation, last)
		}
	}
	checkOtherStateDirRefused(t, f)
}

// checkOtherStateDirRefused checks that n1 refuses to start with the state directory of n0.
func checkOtherStateDirRefused(t *testing.T, f *Fleet) {
	t.Helper()
	owner, other := f.Fronts[0], f.Fronts[1]
	f.Signal(other, syscall.SIGKILL)
	if err := os.Rename(owner.clusterPath, other.clusterPath); err != nil {
		t.Fatal(err)
	}
	f.StartProcess(other)
	exitCode := other.process.Wait()
	if log := other.Log(); exitCode != 1 || !strings.Contains(log, `belongs to another front end: "n0"`) {
		t.Errorf("with the state directory of another front end: exit code %d, log %s", exitCode, log)
	}
}
