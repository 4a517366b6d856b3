// Package virtualclock is a virtual clock for simulations. Functions run at their
// time, in its order, in one goroutine, so that a simulation is the same each time.
package virtualclock

import "dewhill/internal/timerheap"

// Clock runs functions at virtual times. The zero value is a clock at 0.
type Clock struct {
	NowMS   float64 // milliseconds
	pending timerheap.Queue[func()]
}

// After has a function run once so many milliseconds have passed. Functions that are
// due at one time run in the order of the calls of After.
func (c *Clock) After(delayMS float64, run func()) { c.pending.Add(c.NowMS+delayMS, run) }

// Run lets so many milliseconds pass. It runs every function that becomes due
// meanwhile, those included that are added by such functions.
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

// Timer fires when a state machine asks for it.
type Timer struct {
	clock     *Clock
	nextMS    func() float64
	fire      func()
	firesAtMS float64 // 0: it is not set
}

// NewTimer returns a timer that is not set. nextMS returns when the state machine
// must be woken, infinity if never; fire wakes it, and must call Reset.
func NewTimer(c *Clock, nextMS func() float64, fire func()) *Timer {
	return &Timer{clock: c, nextMS: nextMS, fire: fire}
}

// Reset sets the timer to the time that nextMS returns now. It must be called after
// each event of the state machine.
func (t *Timer) Reset() {
	nextMS := t.nextMS()
	if t.firesAtMS > t.clock.NowMS && nextMS >= t.firesAtMS {
		return // it fires before, and is set again then
	}
	t.firesAtMS = nextMS
	t.clock.After(nextMS-t.clock.NowMS, func() { t.onDue(nextMS) })
}

// due is called at a time for which the timer was set.
func (t *Timer) onDue(setForMS float64) {
	if t.firesAtMS != setForMS {
		return // it was set to an earlier time since
	}
	t.firesAtMS = 0
	if t.nextMS() <= t.clock.NowMS {
		t.fire()
	} else {
		t.Reset()
	}
}
