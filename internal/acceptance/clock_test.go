package acceptance

import (
	"fmt"
	"testing"
	"time"

	"dewhill/internal/fakes"
)

// TestColdEngineByASteppedClock checks that an engine that has just been listed is in slow
// start, and no longer than it may need, although the list states its start by a wall
// clock that is an hour off: it is sent about as much as with a clock that is right.
func TestColdEngineByASteppedClock(t *testing.T) {
	steps := []time.Duration{0, -time.Hour, time.Hour}
	sent := make([]coldAttempts, len(steps))
	t.Run("clocks", func(t *testing.T) {
		for i, step := range steps {
			t.Run(fmt.Sprint(step), func(t *testing.T) {
				t.Parallel()
				sent[i] = callWithColdEngine(t, step)
			})
		}
	})
	right := sent[0]
	for i, stepped := range sent {
		t.Logf("clock off by %v: %d attempts at first, %d after slow start", steps[i], stepped.early, stepped.late)
		if stepped.early > 2*right.early {
			t.Errorf("clock off by %v: %d attempts at the cold engine, %d with the right clock",
				steps[i], stepped.early, right.early)
		}
		if 2*stepped.late < right.late {
			t.Errorf("clock off by %v: %d attempts after its slow start, %d with the right clock",
				steps[i], stepped.late, right.late)
		}
	}
}

// coldAttempts counts the attempts at an engine in the first half of its slow start, and
// after it.
type coldAttempts struct{ early, late int }

// callWithColdEngine has clients call while a cold engine joins a warm one. The list states
// its start by a clock that is off by a step.
func callWithColdEngine(t *testing.T, step time.Duration) coldAttempts {
	t.Helper()
	const slowStart = 3 * time.Second
	respond := func(a fakes.Attempt) fakes.Behavior {
		return fakes.Behavior{Duration: 100 * time.Millisecond, Pages: pagesOf(a.ID)}
	}
	engines := []*fakes.Engine{fakes.NewEngine(t, "s-warm", respond), fakes.NewEngine(t, "s-cold", respond)}
	configure := func(_ *fakes.ProgramConfig, settings map[string]any) {
		settingsOf(settings, "contract")["warmWithinMs"] = slowStart.Milliseconds()
	}
	f := startOn(t, deployment{fronts: 1, cores: 8, configure: configure}, engines,
		[]fakes.Endpoint{endpoint(engines[0], fakes.Active)})
	stop := make(chan bool)
	done := make(chan bool)
	go func() {
		defer close(done)
		f.callUntil(stop, 12)
	}()
	time.Sleep(2 * time.Second) // polls without news: the list is known to be without the engine
	cold := endpoint(engines[1], fakes.Active)
	cold.StartedAtMS = float64(time.Now().Add(step).UnixMilli())
	listedAt := time.Now()
	f.discovery.Publish(cold)
	time.Sleep(2 * slowStart)
	close(stop)
	<-done
	f.checkRules()
	return coldAttempts{
		early: attemptsWithin(engines[1], listedAt, listedAt.Add(slowStart/2)),
		late:  attemptsWithin(engines[1], listedAt.Add(slowStart), listedAt.Add(2*slowStart)),
	}
}

// callUntil has clients call one front end again and again until stop is closed.
func (f *fleet) callUntil(stop chan bool, clients int) {
	ended := make(chan bool)
	for range clients {
		go func() {
			defer func() { ended <- true }()
			for {
				select {
				case <-stop:
					return
				default:
					f.call(f.fronts[0], fakes.Request{Class: lookup, Timeout: time.Second})
				}
			}
		}()
	}
	for range clients {
		<-ended
	}
}

// attemptsWithin counts the attempts that an engine received within a span of time.
func attemptsWithin(e *fakes.Engine, from, until time.Time) int {
	count := 0
	for _, a := range e.Attempts() {
		if a.ReceivedAt.After(from) && a.ReceivedAt.Before(until) {
			count++
		}
	}
	return count
}
