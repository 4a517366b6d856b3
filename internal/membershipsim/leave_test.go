package membershipsim

import (
	"testing"

	"dewhill/internal/membership"
)

// departureTimes terminates processes of a fleet, one after another, and returns the times until
// the watchers of each, and until all others, know that it has left.
func departureTimes(seed uint64, size, victims int) (watchersMS, allMS []float64) {
	const intervalMS = 15_000
	s := New(Options{Seed: seed, Size: size})
	s.Run(minuteMS)
	for range victims {
		victim := s.RNG.IntN(size)
		if s.Views[victim] == nil {
			continue
		}
		startMS := s.NowMS
		knowing, watchers := 0, 0
		s.Options.OnChange = func(s *Simulation, observer int, c membership.Change) {
			if c.Number != victim || c.State != membership.Left {
				return
			}
			knowing++
			if before := (victim - observer + size) % size; before >= 1 && before <= 2 {
				watchers++
				watchersMS = append(watchersMS, s.NowMS-startMS)
			}
			if knowing == s.liveCount() {
				allMS = append(allMS, s.NowMS-startMS)
			}
		}
		s.apply(victim, membership.ShutdownStarted{})
		s.KillProcess(victim)
		s.Run(s.NowMS + intervalMS)
	}
	return watchersMS, allMS
}

func (s *Simulation) liveCount() (count int) {
	for _, v := range s.Views {
		if v != nil {
			count++
		}
	}
	return count
}

// TestWatchersKnowWhoLeft guards against a front end that announces its shutdown to the members
// that it watches, and not to those that watch it: these would find it unresponsive, and suspect
// it, until gossip reaches them.
func TestWatchersKnowWhoLeft(t *testing.T) {
	const size, victims, seeds = 300, 6, 2
	var watchersMS, allMS []float64
	for seed := range uint64(seeds) {
		watchers, all := departureTimes(seed, size, victims)
		watchersMS, allMS = append(watchersMS, watchers...), append(allMS, all...)
	}
	t.Logf("%d watchers knew after %.0f to %.0f ms, all of %d after %.0f ms (median)",
		len(watchersMS), Quantile(watchersMS, 0), Quantile(watchersMS, 1), size, Quantile(allMS, 0.5))
	if len(watchersMS) < victims*seeds {
		t.Errorf("%d watchers noticed that one of %d processes left, want one for each at least",
			len(watchersMS), victims*seeds)
	}
	if slowest := Quantile(watchersMS, 1); slowest > defaultMaxDelayMS {
		t.Errorf("a watcher knew after %.0f ms, want the delay of one datagram, %d ms at most",
			slowest, defaultMaxDelayMS)
	}
}
