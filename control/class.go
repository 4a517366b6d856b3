package control

import (
	"math"
	"slices"
)

const (
	dashboardObjectiveRatio = 2.0 // largest ratio of a dashboard class's objective to the shortest objective
	averageThreadsWindowMS  = 3000.0
)

// class is a Class with the state that the gateway keeps for it.
type class struct {
	Class
	isDashboard   bool
	averageWorkMS runningMean
	estimateBias  runningMean // mean ratio of reported work to estimated work

	threadsInFlight   int     // of this gateway's attempts
	averageThreads    float64 // moving average of threadsInFlight
	remainingThreadMS float64 // thread time that its running attempts still need, as of the last sweep
	runningAttempts   float64 // as of the last sweep
}

// newClasses returns the state of the classes. Dashboards are the classes with the fewest
// threads and an objective close to the shortest one, other than loads.
func newClasses(settings []Class) (classes []class) {
	objectiveMS, threads := math.Inf(1), math.MaxInt
	for _, c := range settings {
		if !c.IsLoad {
			objectiveMS = min(objectiveMS, c.LatencyObjectiveMS)
			threads = min(threads, max(1, c.Threads))
		}
	}
	for _, c := range settings {
		c.Threads = max(1, c.Threads)
		isDashboard := !c.IsLoad && c.Threads <= threads &&
			c.LatencyObjectiveMS <= dashboardObjectiveRatio*objectiveMS
		classes = append(classes, class{Class: c, isDashboard: isDashboard, estimateBias: runningMean{1, 0}})
	}
	return classes
}

// startSweep updates the moving average and clears the sums that each sweep computes.
func (c *class) startSweep() {
	c.remainingThreadMS = 0
	c.runningAttempts = 0
	deviation := float64(c.threadsInFlight) - c.averageThreads
	c.averageThreads += deviation * sweepIntervalMS / averageThreadsWindowMS
}

// allows reports whether the class may use the engine at all.
func (c *class) allows(e *EngineInfo) bool {
	return (len(c.Zones) == 0 || slices.Contains(c.Zones, e.Zone)) &&
		(len(c.EngineKinds) == 0 || slices.Contains(c.EngineKinds, e.Kind))
}

// isRestricted reports whether the class is restricted to some of the engines.
func (c *class) isRestricted() bool { return len(c.Zones) > 0 || len(c.EngineKinds) > 0 }
