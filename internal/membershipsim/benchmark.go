package membershipsim

import (
	"fmt"
	"slices"

	"dewhill/internal/faultplan"
	"dewhill/internal/membership"
	"dewhill/internal/peer"
)

const (
	minuteMS            = 60_000
	checkIntervalMS     = 100
	crashCount          = 4
	crashIntervalMS     = 12_000
	slowDelayMS         = 1500   // maximum additional receive delay of slow processes
	slowProcessInterval = 10     // every slowProcessInterval-th process is slow
	warmUpMS            = 20_000 // time after the start before RunSlow counts
)

// Results are the results of one benchmark run. A negative time means that the event
// did not occur within a minute.
type Results struct {
	Size                   int
	Seed                   uint64
	JoinMS                 float64        // time from the start of all processes to convergence
	IdleDatagramsPerSecond float64        // sent by each process while no member changes
	IdleDatagramBytes      float64        // mean size of these datagrams
	CrashDetectionMS       []float64      // time until a running process detected a crash
	MassFailure            RecoveryResult // after seven in ten processes have crashed
	Heal                   RecoveryResult // after a partition into halves has ended
}

// RecoveryResult is the result of one recovery of a fleet.
type RecoveryResult struct {
	ElapsedMS          float64 // time until all views were correct; negative: not within a minute
	DatagramsPerSecond float64 // sent by each running process in this time
}

// String returns the results on one line.
func (r Results) String() string {
	const format = "%5d seed %2d  join %6.0f  idle %.2f/s of %.0f B  crash p50 %.0f p99 %.0f max %.0f" +
		"  mass failure %.0f (%.1f/s)  healed %.0f (%.1f/s)"
	return fmt.Sprintf(format,
		r.Size, r.Seed, r.JoinMS, r.IdleDatagramsPerSecond, r.IdleDatagramBytes,
		Quantile(r.CrashDetectionMS, 0.5), Quantile(r.CrashDetectionMS, 0.99), Quantile(r.CrashDetectionMS, 1),
		r.MassFailure.ElapsedMS, r.MassFailure.DatagramsPerSecond, r.Heal.ElapsedMS, r.Heal.DatagramsPerSecond)
}

// Benchmark measures a join, crashes, a mass failure and a healed partition.
func Benchmark(options Options) Results {
	results := Results{Size: options.Size, Seed: options.Seed}
	s := New(options)
	results.JoinMS = s.elapsedUntil(s.isConsistent)
	s.Run(s.NowMS + minuteMS) // until names are known
	results.measureIdle(s)
	results.CrashDetectionMS = measureCrashes(s)
	results.MassFailure = measureMassFailure(options)
	results.Heal = measureHeal(options)
	return results
}

// isConsistent reports whether all views have converged and are correct.
func (s *Simulation) isConsistent() bool { return s.Converged() && s.ViewMismatch() == "" }

// elapsedUntil runs until a condition holds and returns the elapsed time; negative if
// the condition does not hold within a minute.
func (s *Simulation) elapsedUntil(condition func() bool) float64 {
	startMS := s.NowMS
	atMS, held := s.RunUntil(s.NowMS+minuteMS, checkIntervalMS, condition)
	if !held {
		return -1
	}
	return atMS - startMS
}

// measureIdle measures the datagrams that a fleet sends while no member changes.
func (r *Results) measureIdle(s *Simulation) {
	const idleSeconds = 30
	before := s.TotalCounters()
	s.Run(s.NowMS + 1000*idleSeconds)
	after := s.TotalCounters()
	datagrams := float64(after.DatagramsSent - before.DatagramsSent)
	r.IdleDatagramsPerSecond = datagrams / idleSeconds / float64(s.Options.Size)
	r.IdleDatagramBytes = float64(after.BytesSent-before.BytesSent)/datagrams + peer.Overhead
}

// measureCrashes returns, for each crash and running process, the time until the
// running process considered the crashed process dead.
func measureCrashes(s *Simulation) []float64 {
	var detectionMS []float64
	for range crashCount {
		victim := s.RNG.IntN(s.Options.Size)
		crashedAtMS := s.NowMS
		if s.Views[victim] == nil {
			continue
		}
		s.KillProcess(victim)
		s.Options.OnChange = func(s *Simulation, _ int, c membership.Change) {
			if c.Number == victim && c.State == membership.Dead {
				detectionMS = append(detectionMS, s.NowMS-crashedAtMS)
			}
		}
		s.Run(s.NowMS + crashIntervalMS)
	}
	return detectionMS
}

// measureRecovery measures the time and the datagrams until a condition holds.
func (s *Simulation) measureRecovery(running int, condition func() bool) RecoveryResult {
	before := s.TotalCounters()
	elapsedMS := s.elapsedUntil(condition)
	datagrams := float64(s.TotalCounters().DatagramsSent - before.DatagramsSent)
	return RecoveryResult{
		ElapsedMS:          elapsedMS,
		DatagramsPerSecond: datagrams / (max(elapsedMS, 1) / 1000) / float64(running),
	}
}

// measureMassFailure measures the recovery of a fleet in which seven in ten processes
// crash.
func measureMassFailure(options Options) RecoveryResult {
	s := New(options)
	s.Run(minuteMS)
	crashes := options.Size * 7 / 10
	for _, i := range s.RNG.Perm(options.Size)[:crashes] {
		s.KillProcess(i)
	}
	return s.measureRecovery(options.Size-crashes, s.isConsistent)
}

// measureHeal measures the recovery of a fleet after a partition into halves.
func measureHeal(options Options) RecoveryResult {
	s := New(options)
	s.Run(minuteMS)
	half := s.RNG.Perm(options.Size)[:options.Size/2]
	partition := faultplan.Fault{Kind: faultplan.Partition, StartMS: s.NowMS, DurationMS: minuteMS / 2, Targets: half}
	s.Options.Faults = faultplan.Timeline{Faults: []faultplan.Fault{partition}}
	s.Run(s.NowMS + minuteMS/2)
	s.Options.Faults = faultplan.Timeline{}
	return s.measureRecovery(options.Size, func() bool { return s.DigestCount() == 1 && s.ViewMismatch() == "" })
}

// FalsePositives counts running members that were wrongly considered dead or suspect.
type FalsePositives struct {
	Dead               int     // changes of a running member to dead in a view
	Suspicions         int     // changes of a member to suspect in a view
	DatagramsPerSecond float64 // sent by each process
}

// RunLossy simulates a fleet at Options.LossRate for a time.
func RunLossy(options Options, durationMS float64) FalsePositives {
	var result FalsePositives
	options.OnChange = func(s *Simulation, _ int, c membership.Change) {
		if s.Views[c.Number] != nil && c.State == membership.Dead {
			result.Dead++
		}
	}
	s := New(options)
	s.Run(durationMS)
	total := s.TotalCounters()
	result.Suspicions = total.Suspicions
	result.DatagramsPerSecond = perProcessSecond(options, total, durationMS)
	return result
}

// RunSlow simulates a fleet for a time in which one process in ten lacks processor
// time: it receives each datagram late, while its timers are on time. The dead and
// suspect members that are counted are the other processes, after warmUpMS.
func RunSlow(options Options, durationMS float64) FalsePositives {
	var result FalsePositives
	isSlow := func(process int) bool { return process%slowProcessInterval == 0 }
	options.OnChange = func(s *Simulation, _ int, c membership.Change) {
		if isSlow(c.Number) || s.NowMS < warmUpMS {
			return
		}
		switch c.State {
		case membership.Dead:
			result.Dead++
		case membership.Suspect:
			result.Suspicions++
		default: // the other states are not counted
		}
	}
	options.MaxReceiveDelayMS = func(process int) float64 {
		if isSlow(process) {
			return slowDelayMS
		}
		return 0
	}
	s := New(options)
	s.Run(durationMS)
	result.DatagramsPerSecond = perProcessSecond(options, s.TotalCounters(), durationMS)
	return result
}

// perProcessSecond returns the mean number of datagrams that a process sent per
// second.
func perProcessSecond(options Options, total membership.Counters, durationMS float64) float64 {
	return float64(total.DatagramsSent) / (durationMS / 1000) / float64(options.Size)
}

// Quantile returns a quantile of values, which it sorts in place; -1 if there are no
// values.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return -1
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
