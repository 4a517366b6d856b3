package faultplan

import (
	"math/rand/v2"
	"slices"
)

// rngStream separates the random numbers of timelines from others of the same seed.
const rngStream = 0x6661756c

// uniform draws a number from low up to, but not including, low + width.
func uniform(rng *rand.Rand, low, width float64) float64 { return low + width*rng.Float64() }

// Generate draws faults for a fleet of size processes. All faults end within
// durationMS. A process has at most one process fault, so that the end of each fault
// does not depend on another; a process fault without a remaining target is dropped.
func Generate(seed uint64, size, faults int, durationMS float64) Timeline {
	rng := rand.New(rand.NewPCG(seed, rngStream))
	t := Timeline{Seed: seed, Size: size}
	hasFault := make([]bool, size)
	for range faults {
		f := drawFault(rng, size, durationMS)
		if f.Kind.IsProcessFault() {
			f.Targets = slices.DeleteFunc(f.Targets, func(i int) bool { return hasFault[i] })
			for _, i := range f.Targets {
				hasFault[i] = true
			}
		}
		slices.Sort(f.Targets)
		if len(f.Targets) > 0 || !f.Kind.hasTargets() {
			t.Faults = append(t.Faults, f)
		}
	}
	slices.SortFunc(t.Faults, func(a, b Fault) int { return int(a.StartMS - b.StartMS) })
	return t
}

// drawFault draws a fault that ends within durationMS.
func drawFault(rng *rand.Rand, size int, durationMS float64) Fault {
	f := Fault{Kind: Kind(rng.IntN(kindCount))}
	f.DurationMS = durationMS * uniform(rng, 0.1, 0.2)
	f.StartMS = (durationMS - f.DurationMS) * rng.Float64()
	shuffled := rng.Perm(size)
	// upTo returns at least one random process, and at most size/divisor of them.
	upTo := func(divisor int) []int { return shuffled[:1+rng.IntN(max(1, size/divisor))] }
	switch f.Kind {
	case PacketLoss:
		f.Rate = uniform(rng, 0.05, 0.25)
	case PacketDelay:
		f.DelayMS = uniform(rng, 20, 180)
	case PacketDuplication, PacketCorruption:
		f.Rate = uniform(rng, 0.05, 0.3)
	case PacketReordering:
		f.Rate = uniform(rng, 0.05, 0.3)
		f.DelayMS = uniform(rng, 20, 180)
	case OneWayPartition:
		f.Targets = upTo(4)
	case Partition:
		f.Targets = upTo(2)
	case PairPartition:
		f.Targets = shuffled[:2]
	case MassKill:
		f.Targets = shuffled[:max(1, size*7/10)]
	case ProcessKill, ProcessPause, ProcessTerminate:
		f.Targets = upTo(8)
	}
	return f
}
