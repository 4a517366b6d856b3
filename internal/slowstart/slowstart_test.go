package slowstart

import (
	"testing"

	"pgregory.net/rapid"

	_ "dewhill/internal/testprocess" // fixes rapid's seed
)

// sentWork is work that a gateway sent to the engine.
type sentWork struct{ ageMS, workMS float64 }

// sentSince returns the sum of the work sent at or after an age of the engine.
func sentSince(sends []sentWork, ageMS float64) (sumMS float64) {
	for _, send := range sends {
		if send.ageMS >= ageMS {
			sumMS += send.workMS
		}
	}
	return sumMS
}

// sentAfter returns the sum of the work sent after an age of the engine.
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

// Gateways that use up their quotas, with requests of any size at any time, together
// send at most maxBudgetsPerWindow budgets in any window, also when gateways restart
// without a record of what they sent.
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
				t.Fatalf("%v ms of work in the window that ends at age %v ms, at most %v ms allowed",
					sumMS, ageMS, maxMS)
			}
		}
	})
}

// When an engine has warmed up so far that even quotas replace slots, the work that was
// sent in slots within the last window still counts: small requests that use up every
// quota sum to at most maxBudgetsPerWindow budgets in any window.
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
	quotaMS := maxBudgetsPerWindow * engine.budgetMS(slotsEndMS) / float64(gatewayCount)
	engine.LargestWorkMS = quotaMS / minEvenQuotaRequests
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
			t.Fatalf("%d gateways: %v ms of work in the window that ends at age %v ms, at most %v ms allowed",
				gatewayCount, sumMS, ageMS, maxMS)
		}
		if ageMS > slotsEndMS+2*engine.OverloadWindowMS && sumMS > 0.8*maxMS {
			fullWindows++
		}
	}
	if fullWindows == 0 {
		t.Errorf("%d gateways: no window after the slots uses more than 0.8 of the even quotas", gatewayCount)
	}
}

// A gateway with a negative index may send nothing.
func TestNegativeIndexAdmitsNothing(t *testing.T) {
	engine := Engine{
		ID: "e", Cores: 8, InitialFraction: 0.3, WindowMS: 1000,
		OverloadMultiple: 4, OverloadWindowMS: 100, LargestWorkMS: 10, GatewayCount: 2, GatewayIndex: -1,
	}
	if engine.Admits(500, 1, -1, func(float64) float64 { return 0 }) {
		t.Error("a gateway with a negative index may send")
	}
}

// The capacity fraction is InitialFraction at the start and at most 1.
func TestCapacityFractionLimits(t *testing.T) {
	engine := Engine{InitialFraction: 0.3, WindowMS: 1000}
	if engine.CapacityFraction(5000) != 1 || engine.CapacityFraction(-3) != engine.InitialFraction {
		t.Errorf("fraction %v after the window, want 1; %v before the start, want %v",
			engine.CapacityFraction(5000), engine.CapacityFraction(-3), engine.InitialFraction)
	}
}
