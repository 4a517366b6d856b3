package server

import "dewhill/internal/discovery"

const (
	// maxListingDelayMS is the longest time from an engine's start to its first listing:
	// the discovery service reports a change within 7 s.
	maxListingDelayMS = 7000.0

	maxEngineStarts = 16384 // the most starts that are kept
)

// engineStarts converts the start times of engines, as the endpoint list states them, to
// the loop's clock. The stated times come from wall clocks, which may have been stepped
// since, on this host or on the one that read them. An engine that is warming up must
// still get a slow start, and one that lasts no longer than needed. So each stated time is
// converted once, when it is first received:
//
//   - An engine can't start after it was listed: a stated time later than the list is
//     replaced by the time at which the list was received.
//   - A start that was not in the previous list is no older than that list minus the time
//     that the service may take to report it. If the stated time is older, the clocks
//     differ, and the engine counts as started when it was listed.
//   - For the first list there is no earlier one to compare with: its times are used as
//     stated.
//   - 0 means that the engine started long ago.
//
// From then on the same stated time of an engine stands for the same start. The zero value
// is ready to use.
type engineStarts struct {
	listedAtMS       float64 // when the last updates of the list were received, by the loop's clock
	previousListAtMS float64 // when the previous list, without these updates, was received; 0: unknown
	byID             map[string]engineStart
}

// engineStart is a stated start time and the same time by the loop's clock.
type engineStart struct {
	statedAtMS  float64
	startedAtMS float64
}

// listUpdated records when updates of the list were received.
func (s *engineStarts) listUpdated(updates *discovery.Updates, nowMS float64) {
	s.listedAtMS = nowMS
	s.previousListAtMS = 0
	if updates.SincePrevious > 0 {
		s.previousListAtMS = nowMS - float64(updates.SincePrevious.Microseconds())/1000
	}
}

// startedAtMS returns when a listed engine started, by the loop's clock; 0: long ago.
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
