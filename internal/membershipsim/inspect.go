package membershipsim

import (
	"fmt"

	"dewhill/internal/membership"
)

// addCounters adds the counters c to sum.
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

// TotalCounters returns the sums over all processes, including those that have ended.
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

// Converged reports whether all active processes have the same digest and report
// convergence.
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

// DigestCount returns the number of different digests among active processes.
func (s *Simulation) DigestCount() int {
	digests := map[uint64]bool{}
	for i, v := range s.Views {
		if s.isActive(i) {
			digests[v.Digest()] = true
		}
	}
	return len(digests)
}

// ViewMismatch describes the first difference between a view and the actual state of
// the processes: a running process that is not alive in the view, or an ended process
// that is. It returns an empty string if there is no difference.
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

// mismatchOf describes the first difference between one view and the actual state of
// the processes.
func (s *Simulation) mismatchOf(observer int, v *membership.View) string {
	listed := map[string]bool{}
	for i, m := range v.Members() {
		process := i
		if s.Options.SeedCount > 0 {
			process = s.processByAddr[m.Addr]
			listed[m.Name] = true
		}
		live := m.State == membership.Alive || m.State == membership.Suspect
		running := s.Views[process] != nil
		if live != running {
			return fmt.Sprintf("front end %d has member %d as %v, incarnation %d; running: %v",
				observer, process, m.State, m.Incarnation, running)
		}
	}
	if s.Options.SeedCount == 0 {
		return ""
	}
	for process, other := range s.Views {
		if other != nil && !listed[name(process)] {
			return fmt.Sprintf("front end %d does not list member %d", observer, process)
		}
	}
	return ""
}

// UnnamedCount returns the number of members, over all views, whose state is known
// but whose name is not.
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
