package membershipsim

import (
	"fmt"
	"testing"

	"dewhill/internal/faultplan"
	"dewhill/internal/membership"
	"dewhill/internal/mutanttest"
)

// checkMonotonic adds a callback to options that fails the test if a view violates a
// guarantee that must hold under all network faults: no incarnation decreases, and a
// dead member stays dead under its incarnation.
func checkMonotonic(t *testing.T, options *Options) {
	type subject struct{ observer, startCount, number int }
	last := map[subject]membership.Member{}
	options.OnChange = func(s *Simulation, observer int, c membership.Change) {
		key := subject{observer, s.processes[observer].startCount, c.Number}
		previous := last[key]
		if c.Incarnation < previous.Incarnation || c.Incarnation == previous.Incarnation && c.State < previous.State {
			t.Errorf("seed %d, %.0f ms: front end %d changes member %d to %v, incarnation %d, from %v, incarnation %d",
				options.Seed, s.NowMS, observer, c.Number, c.State, c.Incarnation, previous.State, previous.Incarnation)
		}
		last[key] = c.Member
	}
}

// convergence is the result of waiting for convergence.
type convergence struct {
	elapsedMS float64
	mismatch  string // empty: all views converged
}

// awaitConvergence runs until all views have converged and are correct and all names
// are known, or until a time has elapsed.
func awaitConvergence(s *Simulation, withinMS float64) convergence {
	startMS := s.NowMS
	complete := func() bool { return s.isConsistent() && s.UnnamedCount() == 0 }
	atMS, held := s.RunUntil(s.NowMS+withinMS, checkIntervalMS, complete)
	if held {
		return convergence{elapsedMS: atMS - startMS}
	}
	mismatch := s.ViewMismatch()
	if mismatch == "" {
		mismatch = fmt.Sprintf("not all views have converged, or names are unknown (%d)", s.UnnamedCount())
	}
	return convergence{elapsedMS: withinMS, mismatch: mismatch}
}

// timeline returns a timeline with the given faults.
func timeline(faults ...faultplan.Fault) faultplan.Timeline {
	return faultplan.Timeline{Faults: faults}
}

// TestViewsConvergeAfterFaults checks that all views converge after timelines of
// faults, which internal/faulttest generates in the same way for real processes.
func TestViewsConvergeAfterFaults(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		faults := faultplan.Generate(seed, 16, 10, 20_000)
		options := Options{Seed: seed, Size: 16, Faults: faults}
		checkMonotonic(t, &options)
		s := New(options)
		s.Run(faults.End())
		if got := awaitConvergence(s, 15_000); got.mismatch != "" {
			t.Errorf("%vnot converged after %.0f ms: %s", faults, got.elapsedMS, got.mismatch)
		}
	}
}

// TestPausedProcessIsAliveAgain checks that all views converge after a process was
// paused until the others declared it dead.
func TestPausedProcessIsAliveAgain(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		s := New(Options{Seed: seed, Size: 8, Faults: timeline(faultplan.Fault{
			Kind: faultplan.ProcessPause, StartMS: 5000, DurationMS: 15_000, Targets: []int{3}})})
		s.Run(20_000)
		if got := awaitConvergence(s, 60_000); got.mismatch != "" {
			t.Errorf("seed %d: not converged after %.0f ms: %s", seed, got.elapsedMS, got.mismatch)
		}
	}
}

// TestSameSeedSameRun checks that two runs with the same options and seed are equal.
func TestSameSeedSameRun(t *testing.T) {
	run := func() string {
		s := New(Options{Seed: 7, Size: 60, LossRate: 0.1, Faults: faultplan.Generate(7, 60, 8, 10_000)})
		s.Run(20_000)
		return fmt.Sprint(s.Events, s.TotalCounters(), s.Views[3].Digest())
	}
	if a, b := run(), run(); a != b {
		t.Errorf("runs with the same seed differ:\n%s\n%s", a, b)
	}
}

// TestSidesThatForgotEachOtherRejoin checks that a fleet without configured lists,
// which joins by seed addresses, converges after a partition that lasted until each
// side had forgotten the other.
func TestSidesThatForgotEachOtherRejoin(t *testing.T) {
	times := membership.DefaultTimes()
	times.ForgetAfterMS = 20_000
	const size = 12
	partition := faultplan.Fault{Kind: faultplan.Partition, StartMS: 40_000, DurationMS: 120_000, Targets: []int{0, 3, 4, 9, 11}}
	s := New(Options{Seed: 5, Size: size, SeedCount: 2, Times: times, Faults: timeline(partition)})
	if got := awaitConvergence(s, 30_000); got.mismatch != "" {
		t.Fatalf("not converged after %.0f ms: %s", got.elapsedMS, got.mismatch)
	}
	s.Run(159_000)
	if n := len(s.Views[1].Members()); n != size-5 {
		t.Errorf("a side of %d has %d members at the end of the partition: the other side was not forgotten", size-5, n)
	}
	if s.Views[0].HasQuorum() || !s.Views[1].HasQuorum() {
		t.Error("the smaller side has a quorum, or the larger side does not")
	}
	s.Run(160_000)
	if got := awaitConvergence(s, 30_000); got.mismatch != "" {
		t.Errorf("not converged %.0f ms after the partition: %s", got.elapsedMS, got.mismatch)
	}
}

// TestForgottenMemberStaysForgotten checks that outdated updates do not add a forgotten
// member again. They come from a process that was paused before the member crashed
// and resumes after all others have forgotten the member.
func TestForgottenMemberStaysForgotten(t *testing.T) {
	times := membership.DefaultTimes()
	times.ForgetAfterMS = 20_000
	const (
		size   = 10
		dead   = 5
		paused = 6
	)
	pause := faultplan.Fault{Kind: faultplan.ProcessPause, StartMS: 29_900, DurationMS: 150_000, Targets: []int{paused}}
	s := New(Options{Seed: 9, Size: size, SeedCount: 2, Times: times, Faults: timeline(pause)})
	s.Run(30_000)
	s.KillProcess(dead)
	s.Run(179_000)
	returned := false
	s.Options.OnChange = func(s *Simulation, observer int, c membership.Change) {
		live := c.State == membership.Alive || c.State == membership.Suspect
		returned = returned || observer != paused && c.Name == name(dead) && live
	}
	s.Run(240_000)
	if returned {
		t.Error("an outdated update added a forgotten member again")
	}
	if s.Views[paused].Counters.Pauses == 0 {
		t.Error("the paused process did not detect its pause")
	}
	for i, v := range s.Views {
		if v != nil && i != paused && len(v.Members()) != size-1 {
			t.Errorf("front end %d has %d members, want %d", i, len(v.Members()), size-1)
		}
	}
}

// TestPacketLossCausesNoFalseDeaths checks that no running member is considered dead
// when one datagram in five is lost.
func TestPacketLossCausesNoFalseDeaths(t *testing.T) {
	dead := 0
	for seed := uint64(1); seed <= 3; seed++ {
		dead += RunLossy(Options{Seed: seed, Size: 60, LossRate: 0.2}, 300_000).Dead
	}
	if dead > 0 {
		t.Errorf("running members were considered dead %d times, want 0", dead)
	}
}

// resumedWhilePartitioned returns the view of a process that was paused and has just
// resumed while it is partitioned from all others. Member 8 crashed during the pause.
func resumedWhilePartitioned() *membership.View {
	s := New(Options{Seed: 2, Size: 12, Faults: timeline(
		faultplan.Fault{Kind: faultplan.ProcessPause, StartMS: 15_000, DurationMS: 7000, Targets: []int{3}},
		faultplan.Fault{Kind: faultplan.ProcessKill, StartMS: 15_100, DurationMS: 60_000, Targets: []int{8}},
		faultplan.Fault{Kind: faultplan.Partition, StartMS: 14_950, DurationMS: 20_000, Targets: []int{3}})})
	s.Run(22_100)
	return s.Views[3]
}

// TestResumedProcessIsNotConverged checks that a process that has just resumed is not
// converged, since its view may be outdated.
func TestResumedProcessIsNotConverged(t *testing.T) {
	if resumedWhilePartitioned().Converged() {
		t.Error("a partitioned process that has just resumed is converged")
	}
}

// TestResumedProcessDeclaresNoMemberDead checks that a process that has just resumed
// does not declare a member dead because of messages that it missed during its pause.
func TestResumedProcessDeclaresNoMemberDead(t *testing.T) {
	if resumedWhilePartitioned().State(8) == membership.Dead {
		t.Error("a partitioned process that has just resumed considers a member dead")
	}
}

// TestMutantsAreKilled checks that the test of each safeguard fails when the safeguard
// is removed from the source.
func TestMutantsAreKilled(t *testing.T) {
	mutanttest.ExpectAllKilled(t, "./internal/membershipsim", []mutanttest.Case{
		{Mutant: mutanttest.Mutant{
			Name: "without refutation",
			File: "internal/membership/suspicion.go",
			Old:  "if v.leaving || !overrides(",
			New:  "if true || v.leaving || !overrides(",
		}, Test: "TestPausedProcessIsAliveAgain"},
		{Mutant: mutanttest.Mutant{
			Name: "without final probe",
			File: "internal/membership/suspicion.go",
			Old:  "case !v.inMassFailure():",
			New:  "case false && !v.inMassFailure():",
		}, Test: "TestPacketLossCausesNoFalseDeaths"},
		{Mutant: mutanttest.Mutant{
			Name: "without pause detection",
			File: "internal/membership/events.go",
			Old:  "if v.started && lateMS > pauseThresholdMS {",
			New:  "if false && v.started && lateMS > pauseThresholdMS {",
		}, Test: "TestResumedProcessIsNotConverged"},
	})
}
