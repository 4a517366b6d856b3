// Package virtualclock provides a virtual clock for simulations. Functions run in the
// order of their times and in one goroutine, so that a simulation is deterministic.
package virtualclock

import "dewhill/internal/timerheap"

// Clock runs functions at virtual times. The zero value is a clock at 0.
type Clock struct {
	NowMS   float64 // current virtual time
	pending timerheap.Queue[func()]
}

// After schedules a function to run after a delay in milliseconds. Functions that are
// due at the same time run in the order of the calls of After.
func (c *Clock) After(delayMS float64, run func()) { c.pending.Add(c.NowMS+delayMS, run) }

// Run advances the clock by a duration in milliseconds. It runs every function that
// becomes due meanwhile, including functions that are scheduled by such functions.
func (c *Clock) Run(durationMS float64) {
	endMS := c.NowMS + durationMS
	for {
		dueMS := c.pending.NextDueMS()
		run, ok := c.pending.PopDue(endMS)
		if !ok {
			break
		}
		c.NowMS = dueMS
		run()
	}
	c.NowMS = endMS
}

// Timer calls a function at the time that a state machine requests.
type Timer struct {
	clock     *Clock
	nextMS    func() float64
	fire      func()
	firesAtMS float64 // 0: the timer is not set
}

// NewTimer returns a timer that is not set. nextMS returns the time at which the state
// machine needs its next call, or infinity if it needs none. fire makes that call, and
// must call Reset.
func NewTimer(c *Clock, nextMS func() float64, fire func()) *Timer {
	return &Timer{clock: c, nextMS: nextMS, fire: fire}
}

// Reset sets the timer to the time that nextMS returns now. It must be called after
// each event of the state machine.
func (t *Timer) Reset() {
	nextMS := t.nextMS()
	if t.firesAtMS > t.clock.NowMS && nextMS >= t.firesAtMS {
		return // the timer fires earlier and is set again then
	}
	t.firesAtMS = nextMS
	t.clock.After(nextMS-t.clock.NowMS, func() { t.onDue(nextMS) })
}

// onDue is called at each time for which the timer was set. It fires the timer, unless
// the timer was set to an earlier time or the state machine's time is later by now.
func (t *Timer) onDue(setForMS float64) {
	if t.firesAtMS != setForMS {
		return // the timer was set to another time since
	}
	t.firesAtMS = 0
	if t.nextMS() <= t.clock.NowMS {
		t.fire()
	} else {
		t.Reset()
	}
}
