// Package slowstart divides the budget of an engine in slow start among the gateways
// that send to it. Too much work within any overload window makes an engine that has
// just started fail, and no gateway knows how much work the others send. Each gateway
// therefore has a quota, and the sum of all quotas is bounded:
//
//   - Once an even quota of the budget is enough for a large request, each gateway may
//     send an even quota in any window. These quotas take effect one window after the
//     engine has warmed up that far, and no slot is used in that window.
//   - Before that, each gateway may send, in any window, an even quota of a quarter of
//     the budget, which is meant for small requests. In addition, time is divided into
//     slots of half a window, and in each slot a few gateways, in rotation, may
//     together send a third of the budget. A window overlaps at most three slots, so
//     the slots sum to at most one budget.
//
// All quotas together sum to at most maxBudgetsPerWindow budgets, which budgetFraction
// allows for.
//
// The rotation, the quotas and the choice between the two rules depend only on the
// engine's ID and start time, the settings and the configured number of gateways. They
// never depend on what a gateway has observed or received, so the quotas of gateways
// with different information are still consistent. A gateway that has restarted does
// not know what it sent before, so it sends nothing for the length of a window.
//
// The package does no I/O and has no clock or state. All times are in milliseconds;
// work is in milliseconds of one core.
//
// slowstart.go has the budget and the admission rule, rotation.go the slots.
package slowstart

const (
	// maxBudgetsPerWindow is the maximum sum of all quotas in a window, as a multiple of
	// the budget.
	maxBudgetsPerWindow = 1 + evenQuotaFraction

	// evenQuotaFraction is the fraction of the budget that is divided evenly while
	// slots are in use.
	evenQuotaFraction = 0.25

	// budgetFraction is the budget as a fraction of an engine's overload threshold. It is
	// below 1 because work estimates are inexact and a core does less than its nominal
	// work.
	budgetFraction = 0.68

	// minEvenQuotaRequests is the size of an even quota, in large requests, from which
	// slots are no longer used.
	minEvenQuotaRequests = 1.25
)

// Engine describes an engine in slow start, by its endpoint entry and the settings.
type Engine struct {
	// ID identifies the engine. ID and StartedAtMS determine the gateway with which the
	// rotation begins.
	ID string
	// StartedAtMS is the time of the engine's last start.
	StartedAtMS float64
	// Cores is the number of its cores.
	Cores float64
	// InitialFraction is the fraction of its capacity that it has at its start.
	InitialFraction float64
	// WindowMS is the age at which it has its full capacity.
	WindowMS float64
	// OverloadMultiple is the load, as a multiple of its capacity, above which it
	// fails within OverloadWindowMS.
	OverloadMultiple float64
	// OverloadWindowMS is the length of the windows over which load is summed.
	OverloadWindowMS float64
	// LargestWorkMS is the work of a large request.
	LargestWorkMS float64
	// GatewayCount is the number of gateways that may send to the engine.
	GatewayCount int
	// GatewayIndex is the index of this gateway among them, from 0. If it is negative,
	// this gateway may send nothing.
	GatewayIndex int
}

// CapacityFraction returns a lower bound of the fraction of its capacity that the
// engine has at an age.
func (e *Engine) CapacityFraction(ageMS float64) float64 {
	progress := min(1, max(0, ageMS)/e.WindowMS)
	return e.InitialFraction + (1-e.InitialFraction)*progress*progress
}

// Admits reports whether this gateway's quota allows it to send a request at an age of
// the engine. gatewayStartAgeMS is the age of the engine at which this gateway started,
// negative if the gateway started first. sentSince returns the work that this gateway
// has sent to the engine since an age.
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

// mayHaveUnrecordedSends reports whether this gateway started less than a window ago, so
// that its previous process may have sent work within the window.
func (e *Engine) mayHaveUnrecordedSends(ageMS, gatewayStartAgeMS float64) bool {
	return gatewayStartAgeMS >= 0 && ageMS < gatewayStartAgeMS+e.OverloadWindowMS
}

// budgetMS returns the budget of a window that ends at an age of the engine: the work
// that all gateways together may send. It never decreases with age.
func (e *Engine) budgetMS(ageMS float64) float64 {
	return budgetFraction * e.OverloadMultiple * e.Cores * e.CapacityFraction(ageMS) * e.OverloadWindowMS
}

// hasEvenQuotas reports whether, at an age, an even quota of the budget is enough for a
// large request, so that no slots are needed.
func (e *Engine) hasEvenQuotas(ageMS float64) bool {
	evenQuotaMS := maxBudgetsPerWindow * e.budgetMS(ageMS) / float64(max(1, e.GatewayCount))
	return evenQuotaMS >= minEvenQuotaRequests*e.LargestWorkMS
}
