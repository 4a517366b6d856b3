package acceptance

import (
	"fmt"
	"testing"
	"time"

	"dewhill/internal/fakes"
)

// TestSlowStartWithWrongClock checks that slow start of a newly listed engine does not
// depend on the wall clock by which the endpoint list states the engine's start. With a
// clock that is an hour off, the engine must receive about as many attempts as with a
// correct clock, both during slow start and after it.
func TestSlowStartWithWrongClock(t *testing.T) {
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
	correct := sent[0]
	for i, stepped := range sent {
		t.Logf("clock off by %v: %d attempts in the first half of slow start, %d after slow start", steps[i], stepped.duringSlowStart, stepped.afterSlowStart)
		if stepped.duringSlowStart > 2*correct.duringSlowStart {
			t.Errorf("clock off by %v: %d attempts in the first half of slow start, %d with a correct clock",
				steps[i], stepped.duringSlowStart, correct.duringSlowStart)
		}
		if 2*stepped.afterSlowStart < correct.afterSlowStart {
			t.Errorf("clock off by %v: %d attempts after slow start, %d with a correct clock",
				steps[i], stepped.afterSlowStart, correct.afterSlowStart)
		}
	}
}

// coldAttempts counts the attempts that an engine received in the first half of its slow
// start, and for the duration of a slow start after it.
type coldAttempts struct{ duringSlowStart, afterSlowStart int }

// callWithColdEngine sends requests while a cold engine is added to a list that has only a
// warm one. The list states the cold engine's start by a clock that is off by step.
func callWithColdEngine(t *testing.T, step time.Duration) coldAttempts {
	t.Helper()
	const slowStart = 3 * time.Second
	respond := func(a fakes.Attempt) fakes.Behavior {
		return fakes.Behavior{Duration: 100 * time.Millisecond, Pages: pagesOf(a.ID)}
	}
	engines := []*fakes.Engine{fakes.NewEngine(t, "s-warm", respond), fakes.NewEngine(t, "s-cold", respond)}
	configure := func(_ *fakes.ProgramConfig, settings map[string]any) {
		settingsSection(settings, "contract")["warmWithinMs"] = slowStart.Milliseconds()
	}
	f := startOn(t, deployment{fronts: 1, cores: 8, configure: configure}, engines,
		[]fakes.Endpoint{endpoint(engines[0], fakes.Active)})
	stop := make(chan bool)
	done := make(chan bool)
	go func() {
		defer close(done)
		f.callUntil(stop, 12)
	}()
	time.Sleep(2 * time.Second) // several polls, so that the front end has a list without the cold engine
	cold := endpoint(engines[1], fakes.Active)
	cold.StartedAtMS = float64(time.Now().Add(step).UnixMilli())
	listedAt := time.Now()
	f.discovery.Publish(cold)
	time.Sleep(2 * slowStart)
	close(stop)
	<-done
	f.checkRules()
	return coldAttempts{
		duringSlowStart: attemptsWithin(engines[1], listedAt, listedAt.Add(slowStart/2)),
		afterSlowStart:  attemptsWithin(engines[1], listedAt.Add(slowStart), listedAt.Add(2*slowStart)),
	}
}

// callUntil has clients send requests to the first front end, one after another, until stop
// is closed.
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

// attemptsWithin counts the attempts that an engine received between two times.
func attemptsWithin(e *fakes.Engine, from, until time.Time) int {
	count := 0
	for _, a := range e.Attempts() {
		if a.ReceivedAt.After(from) && a.ReceivedAt.Before(until) {
			count++
		}
	}
	return count
}
