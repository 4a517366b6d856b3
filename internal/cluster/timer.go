package cluster

import "math"

// timer fires when a state machine has work to do. Calls that are scheduled in the loop
// cannot be cancelled: a call that comes before dueMS is ignored.
type timer struct{ dueMS float64 } // 0: not set

// schedule sets the timer, unless it is already set for the same or an earlier time. A timer
// with an infinite time never fires.
func (t *timer) schedule(c *Cluster, dueMS float64, fire func()) {
	if c.closed || math.IsInf(dueMS, 1) || t.dueMS != 0 && dueMS >= t.dueMS {
		return
	}
	t.dueMS = dueMS
	c.host.After(dueMS-c.host.Now(), func() {
		if c.closed || t.dueMS == 0 || c.host.Now() < t.dueMS {
			return
		}
		t.dueMS = 0
		fire()
	})
}
