package server

import (
	"fmt"
	"testing"
	"time"

	"dewhill/internal/discovery"
)

const hourMS = 3600_000.0

// A start is counted by the loop's clock, whatever a wall clock says: an engine that has
// just been listed is never taken for an old one, nor for one that starts later.
func TestEngineStartTimesWithSteppedClocks(t *testing.T) {
	const now = 1e12
	cases := []struct {
		name          string
		sincePrevious time.Duration // 0: there was no list before
		statedMS      float64
		wantMS        float64
	}{
		{"long ago", time.Second, 0, 0},
		{"just now", time.Second, now - 300, now - 300},
		{"as late as the service may be", time.Second, now - 7900, now - 7900},
		{"2 s back", time.Second, now - 2300, now - 2300},
		{"later than the service may be", time.Second, now - 8100, now},
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
			// Listed again, with the same start, it's no younger and no older.
			starts.listUpdated(&discovery.Updates{SincePrevious: time.Second}, now+hourMS)
			if got := starts.startedAtMS("s-1", c.statedMS); got != c.wantMS {
				t.Errorf("listed again: started at %.0f, want %.0f", got, c.wantMS)
			}
		})
	}
}

// A restart, which is another start of the same engine, is as young as the list that has it.
func TestRestartTimeWithSteppedClock(t *testing.T) {
	var starts engineStarts
	starts.listUpdated(&discovery.Updates{}, 5*hourMS)
	first := starts.startedAtMS("s-1", 5*hourMS)
	starts.listUpdated(&discovery.Updates{SincePrevious: time.Second}, 6*hourMS)
	second := starts.startedAtMS("s-1", 5*hourMS+1)
	if second <= first || second != 6*hourMS {
		t.Errorf("started at %.0f, then at %.0f", first, second)
	}
}

// What is remembered of engines is bounded.
func TestEngineStartsAreBounded(t *testing.T) {
	var starts engineStarts
	for i := range 3 * maxEngineStarts {
		starts.startedAtMS(fmt.Sprint(i), 1)
	}
	if len(starts.byID) > maxEngineStarts {
		t.Errorf("%d starts are remembered", len(starts.byID))
	}
}
