// Package slowstart divides the slow-start budget of an engine that has just
// started among the gateways that send to it. Too much work within any overload
// window makes such an engine fail, and no gateway knows what the others send.
// So each gateway has a quota of its own, and the quotas of all gateways sum to no
// more than the budget:
//
//   - Where an even quota holds a large request, each gateway may send an
//     even quota of the budget in any window. These quotas begin one window after
//     the engine has warmed up that far, and no slot begins in that window.
//   - Before that, each gateway has an even quota of a quarter of the budget in any
//     window, for small requests. The rest is granted in rotation: time is cut into
//     slots of half a window, and in each slot a few gateways hold a third of the
//     budget. A window overlaps at most three slots, so slots sum to one budget.
//     All quotas sum to at most maxBudgetsPerWindow budgets, which budgetFraction allows for.
//
// The rotation, the quotas and the choice between the two rules follow only from
// the engine's id and start time, the settings and the configured number of
// gateways, never from what a gateway has observed or received: quotas of gateways
// with different knowledge still fit together. A gateway that has restarted does
// not remember what it sent, so it sends nothing until a window has passed.
//
// The package does no I/O and has no clock or state. All times are in
// milliseconds; work is in milliseconds of one core.
//
// slowstart.go has the budget and the admission rule, rotation.go the slots.
package slowstart

const (
	// maxBudgetsPerWindow is the sum of all quotas in a window, in budgets, while slots rotate.
	maxBudgetsPerWindow = 1 + evenQuotaFraction

	// evenQuotaFraction is the part of the budget that is divided evenly while slots rotate.
	evenQuotaFraction = 0.25

	// budgetFraction is the part of an engine's overload threshold that is its budget:
	// work estimates scatter, and a core does less than its nominal work.
	budgetFraction = 0.68

	// minEvenQuotaRequests is how many large requests an even quota must hold for slots to end.
	minEvenQuotaRequests = 1.25
)

// Engine describes an engine that is warming up, by the settings.
type Engine struct {
	// ID names the engine. It decides, with StartedAtMS, where the rotation begins.
	ID string
	// StartedAtMS is the time of the engine's last start.
	StartedAtMS float64
	// Cores is the number of its cores.
	Cores float64
	// InitialFraction is the part of its capacity that it has at its start.
	InitialFraction float64
	// WindowMS is the age at which it has all of its capacity.
	WindowMS float64
	// OverloadMultiple is the load, as a multiple of its capacity, above which it
	// fails within OverloadWindowMS.
	OverloadMultiple float64
	// OverloadWindowMS is the length of the window in which load is summed.
	OverloadWindowMS float64
	// LargestWorkMS is the work of a large request.
	LargestWorkMS float64
	// GatewayCount is the number of gateways that may send to the engine.
	GatewayCount int
	// GatewayIndex is the index of this gateway among them, from 0. A gateway with a
	// negative index may send nothing.
	GatewayIndex int
}

// CapacityFraction returns a lower bound of the part of its capacity that the
// engine has at an age.
func (e *Engine) CapacityFraction(ageMS float64) float64 {
	progress := min(1, max(0, ageMS)/e.WindowMS)
	return e.InitialFraction + (1-e.InitialFraction)*progress*progress
}

// Admits reports whether this gateway's quota has capacity for a request at
// an age of the engine. gatewayStartAgeMS is the age of the engine at which this
// gateway started, negative if the gateway was up before. sentSince returns the
// work that this gateway has sent to the engine from an age on.
func (e *Engine) Admits(ageMS, workMS, gatewayStartAgeMS float64, sentSince func(ageMS float64) float64) bool {
	if e.GatewayIndex < 0 || e.mayHaveUnrecordedSends(ageMS, gatewayStartAgeMS) {
		return false
	}
	windowStartMS := ageMS - e.OverloadWindowMS
	workInWindowMS := workMS + sentSince(windowStartMS)
	gatewayCount := float64(max(1, e.GatewayCount))
	if e.hasEvenQuotas(ageMS) && e.hasEvenQuotas(windowStartMS) {
		return workInWindowMS <= maxBudgetsPerWindow*e.budgetMS(ageMS)/gatewayCount
	}
	slot := e.slotAt(ageMS)
	if slot.holder && !e.hasEvenQuotas(ageMS) && workMS+sentSince(slot.startMS) <= slot.quotaMS {
		return true
	}
	return workInWindowMS <= evenQuotaFraction*e.budgetMS(ageMS)/gatewayCount
}

// mayHaveUnrecordedSends reports whether this gateway started so recently that it
// may have sent work within the window that it does not remember.
func (e *Engine) mayHaveUnrecordedSends(ageMS, gatewayStartAgeMS float64) bool {
	return gatewayStartAgeMS >= 0 && ageMS < gatewayStartAgeMS+e.OverloadWindowMS
}

// budgetMS returns the work that all gateways together may send in a window that
// ends at an age. It never decreases with age.
func (e *Engine) budgetMS(ageMS float64) float64 {
	return budgetFraction * e.OverloadMultiple * e.Cores * e.CapacityFraction(ageMS) * e.OverloadWindowMS
}

// hasEvenQuotas reports whether, at an age, an even quota of the budget holds a
// large request, so that no slots are needed.
func (e *Engine) hasEvenQuotas(ageMS float64) bool {
	return maxBudgetsPerWindow*e.budgetMS(ageMS)/float64(max(1, e.GatewayCount)) >= minEvenQuotaRequests*e.LargestWorkMS
}
