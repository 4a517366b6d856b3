package control

import "slices"

const (
	engineErrorsToFail = 2 // errors of attempts after which the request itself counts as the cause

	// The gateway's own retry budget, which applies in addition to that of the settings.
	retriesPerRequest = 0.3
	baseRetries       = 5.0
	retryWindowMS     = 5000.0
)

// retryBudget holds the times of the arrivals and retries that the budgets count.
type retryBudget struct {
	arrivals []float64
	retries  []float64
}

// mayRetry reports whether the rules allow another attempt of a request.
func (g *Gateway) mayRetry(r *request) bool {
	return !r.closed && g.retryBarrier(r) == NoReason
}

// retryBarrier returns the rule that forbids another attempt of an open request,
// NoReason if none does.
func (g *Gateway) retryBarrier(r *request) Reason {
	switch {
	case r.streaming:
		return ResponseStarted
	case g.settings.MaxAttempts > 0 && len(r.attempts) >= g.settings.MaxAttempts:
		return AttemptLimit
	case r.class.Idempotency == NotIdempotent && r.mayHaveRun():
		return MayHaveRun
	case r.errorCount() >= engineErrorsToFail:
		return EngineErrors
	case len(r.attempts) > 0 && !g.retryBudgetAllows():
		return RetryBudgetExhausted
	}
	return NoReason
}

// retryBudgetAllows reports whether both the gateway's own budget and that of the
// settings allow one more retry. The delay until an attempt reaches its engine varies, so
// two attempts may arrive closer together than they were started. The budget of the
// settings is therefore checked over a longer window for retries, and a shorter one for
// arrivals.
func (g *Gateway) retryBudgetAllows() bool {
	b := &g.retryBudget
	fromMS := g.nowMS - retryWindowMS
	if countAfter(b.retries, fromMS)+1 > baseRetries+retriesPerRequest*countAfter(b.arrivals, fromMS) {
		return false
	}
	if g.settings.RetryBudgetWindowMS <= 0 {
		return true
	}
	fromMS = g.nowMS - g.settings.RetryBudgetWindowMS
	retries := countAfter(b.retries, fromMS-g.settings.TickMS-g.settings.SendDelayAllowanceMS)
	arrivals := countAfter(b.arrivals, fromMS+g.settings.TickMS+g.settings.SendDelayAllowanceMS)
	return retries+1 <= g.settings.RetryBudgetBase+g.settings.RetryBudgetPerRequest*arrivals
}

// expireRetryBudget removes the times that are older than the windows of both budgets.
func (g *Gateway) expireRetryBudget() {
	windowMS := max(retryWindowMS, g.settings.RetryBudgetWindowMS+g.settings.SendDelayAllowanceMS)
	beforeMS := g.nowMS - windowMS - sweepIntervalMS
	g.retryBudget.arrivals = dropBefore(g.retryBudget.arrivals, beforeMS)
	g.retryBudget.retries = dropBefore(g.retryBudget.retries, beforeMS)
}

// countAfter returns how many of the sorted times are after from.
func countAfter(times []float64, from float64) float64 {
	i, _ := slices.BinarySearchFunc(times, from, func(t, from float64) int {
		if t > from {
			return 1
		}
		return -1
	})
	return float64(len(times) - i)
}

// dropBefore removes the times that are earlier than before from the sorted times.
func dropBefore(times []float64, before float64) []float64 {
	i, _ := slices.BinarySearch(times, before)
	return slices.Delete(times, 0, i)
}
