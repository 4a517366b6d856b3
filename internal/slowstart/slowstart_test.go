package slowstart

import (
	"testing"

	"pgregory.net/rapid"

	_ "dewhill/internal/testprocess" // fixes the seed
)

// sentWork is work that a gateway sent to the engine.
type sentWork struct{ ageMS, workMS float64 }

// sentSince sums the work sent from an age of the engine on.
func sentSince(sends []sentWork, ageMS float64) (sumMS float64) {
	for _, send := range sends {
		if send.ageMS >= ageMS {
			sumMS += send.workMS
		}
	}
	return sumMS
}

// sentAfter sums the work sent after an age of the engine.
func sentAfter(sends []sentWork, ageMS float64) (sumMS float64) {
	for _, send := range sends {
		if send.ageMS > ageMS {
			sumMS += send.workMS
		}
	}
	return sumMS
}

func drawEngine(t *rapid.T) Engine {
	return Engine{
		ID:               rapid.StringN(1, 8, 8).Draw(t, "id"),
		StartedAtMS:      float64(rapid.IntRange(0, 99).Draw(t, "startedAtMS")),
		Cores:            float64(rapid.IntRange(1, 32).Draw(t, "cores")),
		InitialFraction:  rapid.Float64Range(0.1, 0.6).Draw(t, "initialFraction"),
		WindowMS:         rapid.Float64Range(3000, 9000).Draw(t, "windowMS"),
		OverloadMultiple: rapid.Float64Range(1, 5).Draw(t, "overloadMultiple"),
		OverloadWindowMS: rapid.Float64Range(500, 2000).Draw(t, "overloadWindowMS"),
		LargestWorkMS:    rapid.Float64Range(50, 9000).Draw(t, "largestWorkMS"),
		GatewayCount:     rapid.SampledFrom([]int{1, 2, 3, 7, 20, 30, 300}).Draw(t, "gatewayCount"),
	}
}

// Gateways that each send whatever fits their quota, in requests of any size, at any
// time, whatever each takes as the largest piece, send no more together in any
// window than all quotas sum to; and one that restarts without a memory of its
// sends adds nothing.
func TestSumOfQuotasIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := drawEngine(t)
		remembered := make([][]sentWork, engine.GatewayCount)
		startAgeMS := make([]float64, engine.GatewayCount)
		for i := range startAgeMS {
			startAgeMS[i] = -1
		}
		var sends []sentWork
		sizes := rapid.SliceOfN(rapid.Float64Range(0.01, 3), 8, 8).Draw(t, "sizes")
		stepMS := engine.OverloadWindowMS / rapid.Float64Range(3, 9).Draw(t, "steps")
		n := 0
		for ageMS := 0.0; ageMS < engine.WindowMS; ageMS += stepMS {
			for i := range remembered {
				n++
				if rapid.Bool().Draw(t, "idle") {
					continue
				}
				if restarts := n%13 == 0; restarts {
					remembered[i], startAgeMS[i] = nil, ageMS
				}
				view := engine
				view.GatewayIndex = i
				for range 4 {
					n++
					workMS := sizes[n%len(sizes)] * engine.LargestWorkMS / float64(1+n%3*n%5)
					admitted := view.Admits(ageMS, workMS, startAgeMS[i], func(since float64) float64 {
						return sentSince(remembered[i], since)
					})
					if admitted {
						send := sentWork{ageMS, workMS}
						remembered[i], sends = append(remembered[i], send), append(sends, send)
					}
				}
			}
			sumMS := sentAfter(sends, ageMS-engine.OverloadWindowMS)
			if maxMS := maxBudgetsPerWindow * engine.budgetMS(ageMS); sumMS > maxMS*1.000001 {
				t.Fatalf("%v ms of work in the window up to age %v, at most %v allowed", sumMS, ageMS, maxMS)
			}
		}
	})
}

// When an engine has warmed up so far that even quotas hold a large piece, what was
// sent in slots just before still counts: small requests that fill every quota
// completely sum to no more than all quotas.
func TestSumIsBoundedWhenSlotsEnd(t *testing.T) {
	for gatewayCount := 2; gatewayCount < 24; gatewayCount++ {
		checkSumWhenSlotsEnd(t, gatewayCount)
	}
}

func checkSumWhenSlotsEnd(t *testing.T, gatewayCount int) {
	t.Helper()
	const (
		slotsEndMS = 5000.0
		requestMS  = 40.0
	)
	engine := Engine{
		ID: "e", Cores: 16, InitialFraction: 0.35, WindowMS: 12000,
		OverloadMultiple: 4, OverloadWindowMS: 1500, GatewayCount: gatewayCount,
	}
	engine.LargestWorkMS = maxBudgetsPerWindow * engine.budgetMS(slotsEndMS) / float64(gatewayCount) / minEvenQuotaRequests
	remembered := make([][]sentWork, gatewayCount)
	fullWindows := 0
	for ageMS := 0.0; ageMS < 9000; ageMS += 50 {
		sumMS := 0.0
		for i := range remembered {
			view := engine
			view.GatewayIndex = i
			sentBy := func(since float64) float64 { return sentSince(remembered[i], since) }
			for view.Admits(ageMS, requestMS, -1, sentBy) {
				remembered[i] = append(remembered[i], sentWork{ageMS, requestMS})
			}
			sumMS += sentSince(remembered[i], ageMS-engine.OverloadWindowMS+1)
		}
		maxMS := maxBudgetsPerWindow * engine.budgetMS(ageMS)
		if sumMS > maxMS {
			t.Fatalf("%d gateways: %v ms of work in the window up to age %v, at most %v allowed",
				gatewayCount, sumMS, ageMS, maxMS)
		}
		if ageMS > slotsEndMS+2*engine.OverloadWindowMS && sumMS > 0.8*maxMS {
			fullWindows++
		}
	}
	if fullWindows == 0 {
		t.Errorf("%d gateways: even quotas are never used", gatewayCount)
	}
}

// A gateway without an index may send nothing.
func TestNegativeIndexAdmitsNothing(t *testing.T) {
	engine := Engine{
		ID: "e", Cores: 8, InitialFraction: 0.3, WindowMS: 1000,
		OverloadMultiple: 4, OverloadWindowMS: 100, LargestWorkMS: 10, GatewayCount: 2, GatewayIndex: -1,
	}
	if engine.Admits(500, 1, -1, func(float64) float64 { return 0 }) {
		t.Error("a gateway with a negative index may send")
	}
}

// The fraction is the initial one at the start and never above 1.
func TestCapacityFractionLimits(t *testing.T) {
	engine := Engine{InitialFraction: 0.3, WindowMS: 1000}
	if engine.CapacityFraction(5000) != 1 || engine.CapacityFraction(-3) != engine.InitialFraction {
		t.Errorf("fractions %v and %v", engine.CapacityFraction(5000), engine.CapacityFraction(-3))
	}
}
