package mysql_test

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dewhill/internal/faulttest"
	"dewhill/internal/testprocess"
)

// sendLoadsAtOnce sends all loads once, as fast as the clients can, through the front ends
// in turn, and returns the number of loads that succeeded.
func (f *loadFleet) sendLoadsAtOnce() (successful int) {
	var succeededLoads atomic.Int64
	var clients sync.WaitGroup
	for client := range loadFleetClients {
		clients.Go(func() {
			for load := client; load < f.options.loads; load += loadFleetClients {
				_, err := f.databases[load%len(f.databases)].Exec(loadStatement(load))
				if finalAnswer(err) == succeeded {
					succeededLoads.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return int(succeededLoads.Load())
}

// allKnow reports whether all front ends know the outcomes of so many loads.
func (f *loadFleet) allKnow(loads int) bool {
	return !slices.ContainsFunc(f.Fronts, func(front *faulttest.FrontEnd) bool {
		state, ok := leaseState(front)
		return !ok || state.Ended != loads
	})
}

// runsTwice returns the number of loads that engines ran more than once.
func (f *loadFleet) runsTwice() (twice int) {
	runs := map[string]int{}
	for _, engine := range f.engines {
		for statement, times := range engine.RunCounts() {
			runs[statement] += times
		}
	}
	for load := range f.options.loads {
		if runs[loadStatement(load)] > 1 {
			twice++
		}
	}
	return twice
}

// TestReadyMeansNextMayRestart guards against loads that run twice after a rolling restart
// in which each front end is restarted as soon as the one before it says that it is ready.
func TestReadyMeansNextMayRestart(t *testing.T) {
	const maxReadyTime = 10 * time.Second
	f := startLoadFleet(t, loadFleetOptions{seed: *fleetSeed, size: 3, loads: 2000, maxRunMS: 2, noDisks: true})
	if successful := f.sendLoadsAtOnce(); successful < f.options.loads {
		t.Fatalf("%d of %d loads succeeded", successful, f.options.loads)
	}
	testprocess.Until(t, "all front ends to know the loads", func() bool { return f.allKnow(f.options.loads) })
	for _, front := range f.Fronts {
		f.restart(front)
		startedAt := time.Now()
		testprocess.Until(t, front.Name+" to be ready", front.IsReady)
		if took := time.Since(startedAt); took > maxReadyTime {
			t.Errorf("%s was ready %v after its start, want at most %v", front.Name, took, maxReadyTime)
		}
	}
	if successful := f.sendLoadsAtOnce(); successful < f.options.loads {
		t.Errorf("%d of %d repeated loads got the outcome of their run", successful, f.options.loads)
	}
	if twice := f.runsTwice(); twice > 0 {
		t.Errorf("%d of %d loads ran twice", twice, f.options.loads)
	}
}
