package mysql_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/faulttest"
)

var soakSeeds = flag.Int("soakseeds", 1, "number of seeds that TestSoakOfLoads runs, from the seed of -seed on")

// killAfterTerm is the time after SIGTERM at which the platform may kill a process: the longest
// deadline, which counts as 3 s at most, and 0.7 s.
const killAfterTerm = 3700 * time.Millisecond

// TestSoakOfLoads checks that no load runs twice, and that none is reported as successful that
// did not run, while clients go on using open connections until SIGKILL follows SIGTERM at the
// earliest time, signals come in series, and engines answer with errors.
func TestSoakOfLoads(t *testing.T) {
	for i := range *soakSeeds {
		seed := *fleetSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			options := loadFleetOptions{seed: seed, size: 3, loads: *loadCount, maxRunMS: 150, errorRate: 0.1}
			f := startLoadFleet(t, options)
			rng := rand.New(rand.NewPCG(seed, 5))
			results := f.sendLoadsDuring(func() { f.sendSignals(rng, time.Now().Add(*faultsDuration)) })
			t.Logf("%d loads got a response, %d of them %q", results.answered, results.mayHaveRun, mayHaveRun)
			for _, violation := range results.violations {
				t.Error(violation)
			}
		})
	}
}

// sendSignals sends series of signals to the front ends until end.
func (f *loadFleet) sendSignals(rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
		front := f.Fronts[rng.IntN(len(f.Fronts))]
		switch rng.IntN(6) {
		case 0:
			f.Signal(front, syscall.SIGHUP)
			f.Signal(front, syscall.SIGHUP)
		case 1:
			f.restart(front, syscall.SIGTERM)
		case 2:
			f.restart(front, syscall.SIGHUP)
		case 3:
			f.Signal(front, syscall.SIGKILL)
			f.StartProcess(front)
		case 4:
			var all sync.WaitGroup
			for _, one := range f.Fronts {
				all.Go(func() { f.restart(one) })
			}
			all.Wait()
		default:
			f.restart(front)
		}
	}
}

// restart restarts a front end as a platform does.
func (f *loadFleet) restart(front *faulttest.FrontEnd, further ...syscall.Signal) {
	f.Terminate(front, killAfterTerm, further...)
	f.StartProcess(front)
}
