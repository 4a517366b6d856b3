package server

import "dewhill/internal/discovery"

const (
	// maxListingDelayMS is how long after its start an engine may be listed for the first
	// time: the discovery service tells what it knows within 7 s.
	maxListingDelayMS = 7000.0

	maxEngineStarts = 16384 // that are remembered
)

// engineStarts turns the times at which engines have started, as the endpoint list states
// them, into times of the loop's clock. The list's times are of wall clocks, which may
// have been stepped since, here or where they were read; an engine that is warming up
// must be spared all the same, and no longer than it needs. So each stated time is read
// once, when it is first seen:
//
//   - An engine does not start after it was listed: a later time is that of the list.
//   - An engine, or a start, that the previous list did not have yet is not older than that
//     list and the time that the service may take to tell of it. If it's stated to be, the
//     clocks differ, and it counts as started when it was listed.
//   - Of the first list nothing is known but what it states.
//   - 0 states that the start was long ago.
//
// The same statement about an engine then stands for the same start. The zero value is
// ready.
type engineStarts struct {
	listedAtMS       float64 // when the list's last updates came, by the loop's clock
	previousListAtMS float64 // when the list was without them; 0: unknown
	byID             map[string]engineStart
}

// engineStart is a stated start, and when it was by the loop's clock.
type engineStart struct {
	statedAtMS  float64
	startedAtMS float64
}

// listUpdated notes that updates of the list have come.
func (s *engineStarts) listUpdated(updates *discovery.Updates, nowMS float64) {
	s.listedAtMS = nowMS
	s.previousListAtMS = 0
	if updates.SincePrevious > 0 {
		s.previousListAtMS = nowMS - float64(updates.SincePrevious.Microseconds())/1000
	}
}

// startedAtMS returns when a listed engine has started, by the loop's clock; 0: long ago.
func (s *engineStarts) startedAtMS(id string, statedAtMS float64) float64 {
	if statedAtMS <= 0 {
		return 0
	}
	if start, found := s.byID[id]; found && start.statedAtMS == statedAtMS {
		return start.startedAtMS
	}
	if s.byID == nil || len(s.byID) >= maxEngineStarts {
		s.byID = map[string]engineStart{}
	}
	startedAtMS := statedAtMS
	if statedAtMS > s.listedAtMS || statedAtMS < s.previousListAtMS-maxListingDelayMS {
		startedAtMS = s.listedAtMS
	}
	s.byID[id] = engineStart{statedAtMS, startedAtMS}
	return startedAtMS
}
