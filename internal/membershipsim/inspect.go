package membershipsim

import (
	"fmt"

	"dewhill/internal/membership"
)

// addCounters adds counters to a sum.
func addCounters(sum, c *membership.Counters) {
	sum.Probes += c.Probes
	sum.FailedProbes += c.FailedProbes
	sum.Suspicions += c.Suspicions
	sum.Refutations += c.Refutations
	sum.FalseSuspicions += c.FalseSuspicions
	sum.Deaths += c.Deaths
	sum.DatagramsSent += c.DatagramsSent
	sum.BytesSent += c.BytesSent
	sum.DatagramsReceived += c.DatagramsReceived
	sum.Malformed += c.Malformed
}

// TotalCounters returns the sums over all processes there have been.
func (s *Simulation) TotalCounters() membership.Counters {
	total := s.endedCounters
	for _, v := range s.Views {
		if v != nil {
			addCounters(&total, &v.Counters)
		}
	}
	return total
}

// isActive reports whether a process is running and not paused.
func (s *Simulation) isActive(i int) bool { return s.Views[i] != nil && !s.processes[i].paused }

// Converged reports whether all active processes have one digest and report that
// they have converged.
func (s *Simulation) Converged() bool {
	var first *membership.View
	for i, v := range s.Views {
		if !s.isActive(i) {
			continue
		}
		if first == nil {
			first = v
		}
		if v.Digest() != first.Digest() || !v.Converged() {
			return false
		}
	}
	return true
}

// DigestCount counts the different digests of active processes.
func (s *Simulation) DigestCount() int {
	digests := map[uint64]bool{}
	for i, v := range s.Views {
		if s.isActive(i) {
			digests[v.Digest()] = true
		}
	}
	return len(digests)
}

// ViewMismatch describes the first difference of a view from the truth: a running
// process that it does not hold alive, or an ended one that it does; empty: none.
func (s *Simulation) ViewMismatch() string {
	for i, v := range s.Views {
		if v == nil {
			continue
		}
		if mismatch := s.mismatchOf(i, v); mismatch != "" {
			return mismatch
		}
	}
	return ""
}

// mismatchOf describes the first difference of one view from the truth.
func (s *Simulation) mismatchOf(observer int, v *membership.View) string {
	listed := map[string]bool{}
	for i, m := range v.Members() {
		process := i
		if s.Options.SeedCount > 0 {
			process = s.processByAddr[m.Addr]
			listed[m.Name] = true
		}
		heldAlive := m.State == membership.Alive || m.State == membership.Suspect
		running := s.Views[process] != nil
		if heldAlive != running {
			return fmt.Sprintf("front end %d holds %d as %v, incarnation %d; running: %v",
				observer, process, m.State, m.Incarnation, running)
		}
	}
	if s.Options.SeedCount == 0 {
		return ""
	}
	for process, other := range s.Views {
		if other != nil && !listed[name(process)] {
			return fmt.Sprintf("front end %d doesn't know %d", observer, process)
		}
	}
	return ""
}

// UnnamedCount counts, over all views, members that were heard of and whose name
// is not known.
func (s *Simulation) UnnamedCount() int {
	unnamed := 0
	for _, v := range s.Views {
		if v == nil {
			continue
		}
		for _, m := range v.Members() {
			if m.Name == "" && m.State != membership.Unknown {
				unnamed++
			}
		}
	}
	return unnamed
}
