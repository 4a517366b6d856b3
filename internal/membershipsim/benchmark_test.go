package membershipsim

import (
	"flag"
	"runtime"
	"slices"
	"sync"
	"testing"
)

var (
	benchmark      = flag.String("measure", "", "print benchmark results: fleet, loss, busy or all")
	seedCount      = flag.Int("seeds", 20, "number of runs of each fleet size")
	parallelRuns   = flag.Int("cores", runtime.NumCPU(), "number of runs in parallel")
	onlySize       = flag.Int("only", 0, "fleet size; 0: all sizes")
	lossyHours     = flag.Float64("hours", 1, "simulated hours of each run with loss")
	onlyLossRate   = flag.Float64("loss", 0, "loss rate; 0: 10% and 30%")
	fleetSizes     = []int{300, 1000}
	fleetLossRates = []float64{0.1, 0.3}
)

const (
	hourMS                = 3_600_000
	slowFleetSize         = 300
	slowMinutes           = 5
	maxDetectionMS        = 8000
	maxMassFailureMS      = 20_000
	maxHealMS             = 10_000
	maxDatagramsPerSecond = 3.0 // sent by each process
)

// forEachSeed calls f for the seeds 1 to n, -cores of them in parallel, and returns
// the results in the order of the seeds.
func forEachSeed[T any](n int, f func(seed uint64) T) []T {
	results := make([]T, n)
	var running sync.WaitGroup
	slots := make(chan struct{}, *parallelRuns)
	for i := range n {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = f(uint64(i + 1))
		})
	}
	running.Wait()
	return results
}

// benchmarkSelected reports whether -measure selects a group of benchmarks.
func benchmarkSelected(group string) bool { return *benchmark == group || *benchmark == "all" }

// TestMeasuredBounds checks the bounds of detection times, recovery times and datagram
// rates with one seed and size. With -measure it prints the results of all seeds and
// sizes.
func TestMeasuredBounds(t *testing.T) {
	if *benchmark == "" {
		checkBounds(t, Benchmark(Options{Seed: 1, Size: 100}))
		result := RunLossy(Options{Seed: 1, Size: 60, LossRate: 0.1}, 600_000)
		if result.Dead > 0 || result.DatagramsPerSecond > maxDatagramsPerSecond {
			t.Errorf("10%% loss: running members considered dead %d times, want 0; %.2f datagrams per second, want at most %.2f",
				result.Dead, result.DatagramsPerSecond, maxDatagramsPerSecond)
		}
		return
	}
	for _, size := range fleetSizes {
		if *onlySize != 0 && size != *onlySize {
			continue
		}
		if benchmarkSelected("fleet") {
			benchmarkFleet(t, size)
		}
		if benchmarkSelected("loss") {
			benchmarkLoss(t, size)
		}
	}
	if benchmarkSelected("busy") {
		benchmarkSlow(t)
	}
}

func benchmarkFleet(t *testing.T, size int) {
	t.Helper()
	var crash, mass, heal, idle []float64
	for _, r := range forEachSeed(*seedCount, func(seed uint64) Results { return Benchmark(Options{Seed: seed, Size: size}) }) {
		t.Log(r)
		checkBounds(t, r)
		crash = append(crash, r.CrashDetectionMS...)
		mass = append(mass, r.MassFailure.ElapsedMS)
		heal = append(heal, r.Heal.ElapsedMS)
		idle = append(idle, r.IdleDatagramsPerSecond)
	}
	t.Logf("%d: crash p50 %.0f p99 %.0f; mass failure p50 %.0f max %.0f; heal p50 %.0f max %.0f; idle %.2f", size,
		Quantile(crash, 0.5), Quantile(crash, 0.99), Quantile(mass, 0.5), Quantile(mass, 1),
		Quantile(heal, 0.5), Quantile(heal, 1), Quantile(idle, 1))
	baseline := RunHeartbeats(size, 1, 0)
	t.Logf("%d: all-to-all heartbeats: crash p50 %.0f p99 %.0f; %.0f datagrams per second", size,
		Quantile(baseline.CrashDetectionMS, 0.5), Quantile(baseline.CrashDetectionMS, 0.99), baseline.DatagramsPerSecond)
}

func benchmarkLoss(t *testing.T, size int) {
	t.Helper()
	for _, lossRate := range fleetLossRates {
		if *onlyLossRate != 0 && lossRate != *onlyLossRate {
			continue
		}
		sum := sumFalsePositives(forEachSeed(*seedCount, func(seed uint64) FalsePositives {
			return RunLossy(Options{Seed: seed, Size: size, LossRate: lossRate}, *lossyHours*hourMS)
		}))
		t.Logf("%d at %.0f%% loss, %.1f hours: "+
			"running members considered dead %d times, %d suspicions, %.2f datagrams per second", size,
			lossRate*100, *lossyHours*float64(*seedCount), sum.Dead, sum.Suspicions, sum.DatagramsPerSecond)
		if lossRate == 0.1 && sum.Dead > 0 {
			t.Errorf("%d at 10%% loss: running members considered dead %d times, want 0", size, sum.Dead)
		}
	}
}

func benchmarkSlow(t *testing.T) {
	t.Helper()
	for _, fixed := range []bool{false, true} {
		sum := sumFalsePositives(forEachSeed(*seedCount, func(seed uint64) FalsePositives {
			return RunSlow(Options{Seed: seed, Size: slowFleetSize, FixedTimeouts: fixed}, slowMinutes*minuteMS)
		}))
		t.Logf("one in ten of %d receives datagrams late, %d minutes, fixed time-outs %v: "+
			"other members considered dead %d times, suspected %d times, %.2f datagrams per second",
			slowFleetSize, slowMinutes, fixed, sum.Dead, sum.Suspicions, sum.DatagramsPerSecond)
	}
}

// sumFalsePositives returns the sums of the counts, and the highest datagram rate.
func sumFalsePositives(results []FalsePositives) FalsePositives {
	var sum FalsePositives
	for _, r := range results {
		sum.Dead += r.Dead
		sum.Suspicions += r.Suspicions
		sum.DatagramsPerSecond = max(sum.DatagramsPerSecond, r.DatagramsPerSecond)
	}
	return sum
}

func checkBounds(t *testing.T, r Results) {
	t.Helper()
	detection := Quantile(r.CrashDetectionMS, 0.99)
	isWithin := func(value, limit float64) bool { return value >= 0 && value <= limit }
	if !isWithin(detection, maxDetectionMS) || !isWithin(r.MassFailure.ElapsedMS, maxMassFailureMS) ||
		!isWithin(r.Heal.ElapsedMS, maxHealMS) || r.IdleDatagramsPerSecond > maxDatagramsPerSecond {
		t.Errorf("results out of bounds: %v", r)
	}
}

// TestQuantile checks Quantile at the bounds, in the middle, and without values.
func TestQuantile(t *testing.T) {
	values := []float64{3, 1, 2}
	for _, c := range []struct{ q, want float64 }{{0, 1}, {0.5, 2}, {1, 3}} {
		if got := Quantile(values, c.q); got != c.want {
			t.Errorf("quantile %v is %v, want %v", c.q, got, c.want)
		}
	}
	if got := Quantile(slices.Clip(values[:0]), 0.5); got >= 0 {
		t.Errorf("quantile of no values is %v, want a negative value", got)
	}
}
