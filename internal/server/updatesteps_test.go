package server

import (
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dewhill/internal/subset"
	"dewhill/internal/testprocess"
)

// maxStepCPU bounds the processor time of one step of the event loop, without the race
// detector, in a fleet of 900 front ends with 3,200 engines.
const maxStepCPU = 5 * time.Millisecond

// threadCPU returns the processor time that f uses. Unlike elapsed time it does not depend
// on other processes.
func threadCPU(t *testing.T, f func()) time.Duration {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	usage := func() time.Duration {
		var used unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
			t.Fatal(err)
		}
		return time.Duration(used.Nano())
	}
	start := usage()
	f()
	return usage() - start
}

// TestStepsOfALargeFleet guards against steps that stop the event loop while clients are
// served: a list sent again whole, one engine that leaves, the first front end that is
// lost, and the next. The first list is applied before clients are served.
func TestStepsOfALargeFleet(t *testing.T) {
	const engineCount, frontEndCount, plays = 3200, 900, 5
	best := map[string]time.Duration{}
	for range plays {
		plan := subset.Plan{GatewayIndex: 5, GatewayCount: frontEndCount, Size: subset.AutoSize, MaxThreads: 4}
		table := newEndpointTable(plan, []int{2})
		engines := makeEngines(engineCount)
		table.merge(true, engines)
		table.visible()
		measure := func(step string, f func()) {
			elapsed := threadCPU(t, f)
			if known, measured := best[step]; !measured || elapsed < known {
				best[step] = elapsed
			}
		}
		measure("list sent again", func() {
			table.merge(true, engines)
			table.visible()
		})
		engines[3].Removed = true
		measure("engine that leaves", func() {
			table.merge(false, engines[3:4])
			table.visible()
		})
		alive := make([]bool, frontEndCount)
		for i := range alive {
			alive[i] = i != 7
		}
		table.plan.Alive = alive
		measure("first front end lost", func() { table.visible() })
		alive[9] = false
		measure("next front end lost", func() { table.visible() })
	}
	for step, cpu := range best {
		t.Logf("%s: %v", step, cpu)
		if cpu > maxStepCPU && !testprocess.RaceEnabled {
			t.Errorf("%s: %v of processor time, want at most %v", step, cpu, maxStepCPU)
		}
	}
}
