package virtualclock

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

func TestRunInOrder(t *testing.T) {
	var clock Clock
	var got []string
	record := func(name string) func() {
		return func() { got = append(got, fmt.Sprintf("%s at %v", name, clock.NowMS)) }
	}
	clock.After(20, record("second"))
	clock.After(10, func() {
		record("first")()
		clock.After(10, record("fourth"))
		clock.After(100, record("late"))
	})
	clock.After(20, record("third"))
	clock.Run(50)
	want := []string{"first at 10", "second at 20", "third at 20", "fourth at 20"}
	if !slices.Equal(got, want) || clock.NowMS != 50 {
		t.Errorf("at %v: %q, want %q", clock.NowMS, got, want)
	}
	clock.Run(60)
	if len(got) != 5 || got[4] != "late at 110" {
		t.Errorf("%q, want a fifth call \"late at 110\"", got)
	}
}

// TestTimer checks that a timer fires once for each time that the state machine requests,
// also after that time was moved to an earlier or a later one.
func TestTimer(t *testing.T) {
	var clock Clock
	nextMS := math.Inf(1)
	var fired []float64
	var timer *Timer
	timer = NewTimer(&clock, func() float64 { return nextMS }, func() {
		fired = append(fired, clock.NowMS)
		nextMS = math.Inf(1)
		timer.Reset()
	})
	set := func(ms float64) {
		nextMS = ms
		timer.Reset()
	}
	set(100)
	set(40) // earlier
	clock.Run(60)
	if !slices.Equal(fired, []float64{40}) {
		t.Fatalf("fired at %v, want 40", fired)
	}
	set(80)
	set(90) // later
	clock.Run(200)
	if !slices.Equal(fired, []float64{40, 90}) {
		t.Errorf("fired at %v, want 40 and 90", fired)
	}
}
