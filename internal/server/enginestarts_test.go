package server

import (
	"fmt"
	"testing"
	"time"

	"dewhill/internal/discovery"
)

const hourMS = 3600_000.0

// Start times are converted to the loop's clock, so that after a step of a wall clock an
// engine that was just listed is treated neither as started long ago nor as starting in the
// future.
func TestEngineStartTimesWithSteppedClocks(t *testing.T) {
	const now = 1e12
	cases := []struct {
		name          string
		sincePrevious time.Duration // 0: this is the first list
		statedMS      float64
		wantMS        float64
	}{
		{"long ago", time.Second, 0, 0},
		{"just now", time.Second, now - 300, now - 300},
		{"maximum listing delay", time.Second, now - 7900, now - 7900},
		{"2 s back", time.Second, now - 2300, now - 2300},
		{"beyond the maximum listing delay", time.Second, now - 8100, now},
		{"an hour back", time.Second, now - hourMS, now},
		{"an hour back, after an outage of a minute", time.Minute, now - hourMS, now},
		{"within an outage", time.Minute, now - 50000, now - 50000},
		{"2 s ahead", time.Second, now + 2000, now},
		{"an hour ahead", time.Second, now + hourMS, now},
		{"in the first list", 0, now - hourMS, now - hourMS},
		{"an hour ahead in the first list", 0, now + hourMS, now},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var starts engineStarts
			starts.listUpdated(&discovery.Updates{SincePrevious: c.sincePrevious}, now)
			if got := starts.startedAtMS("s-1", c.statedMS); got != c.wantMS {
				t.Errorf("started %.0f ms ago, want %.0f", now-got, now-c.wantMS)
			}
			// Listed again with the same start, the engine keeps its converted start time.
			starts.listUpdated(&discovery.Updates{SincePrevious: time.Second}, now+hourMS)
			if got := starts.startedAtMS("s-1", c.statedMS); got != c.wantMS {
				t.Errorf("listed again: started at %.0f, want %.0f", got, c.wantMS)
			}
		})
	}
}

// An engine restarts after the wall clock was stepped back by an hour: its new start time
// is the time of the list that first contains it.
func TestRestartTimeWithSteppedClock(t *testing.T) {
	var starts engineStarts
	starts.listUpdated(&discovery.Updates{}, 5*hourMS)
	first := starts.startedAtMS("s-1", 5*hourMS)
	starts.listUpdated(&discovery.Updates{SincePrevious: time.Second}, 6*hourMS)
	second := starts.startedAtMS("s-1", 5*hourMS+1)
	if second <= first || second != 6*hourMS {
		t.Errorf("started at %.0f, then at %.0f, want the restart at %.0f", first, second, 6*hourMS)
	}
}

// The number of remembered start times is bounded.
func TestEngineStartsAreBounded(t *testing.T) {
	var starts engineStarts
	for i := range 3 * maxEngineStarts {
		starts.startedAtMS(fmt.Sprint(i), 1)
	}
	if len(starts.byID) > maxEngineStarts {
		t.Errorf("%d start times are remembered, want at most %d", len(starts.byID), maxEngineStarts)
	}
}
