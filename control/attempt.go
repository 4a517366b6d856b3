package control

import "slices"

const (
	lightLoadThreadsPerCore = 0.25 // of this gateway; up to this an engine counts as lightly loaded
	dashboardPriority       = 3    // the highest; other work keeps the engine's default priority of 1
	idempotencyMarginTicks  = 2    // ticks by which idempotency windows are shortened as a safety margin
)

// mayStart reports whether the rules allow an attempt of the request to start on the
// engine now.
func (g *Gateway) mayStart(r *request, e *engine) bool {
	if !e.listing.available || !r.class.allows(&e.EngineInfo) || g.nowMS >= r.deadlineAtMS {
		return false
	}
	if !g.settings.CanHedge && r.inFlight() > 0 {
		return false
	}
	if !g.mayRetry(r) || !g.repeatIsDeduplicated(r, e) || !g.keys.mayRun(r, g.nowMS) {
		return false
	}
	return !g.inSlowStart(e) || g.slowStartAdmits(r, e)
}

// repeatIsDeduplicated reports whether the engine would drop a repeat of every
// earlier attempt that may have run. It is true for classes that do not rely on
// idempotency keys.
func (g *Gateway) repeatIsDeduplicated(r *request, e *engine) bool {
	if r.class.Idempotency != IdempotentWithKey {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return !a.neverRan &&
			(g.idempotencyWindowExpired(r, &a) || !sameKeyScope(r.class.IdempotencyScope, a.engine, e))
	})
}

func (g *Gateway) idempotencyWindowExpired(r *request, a *attempt) bool {
	return g.nowMS > a.startedAtMS+r.class.IdempotencyWindowMS-idempotencyMarginTicks*g.settings.TickMS
}

// sameKeyScope reports whether two engines share their record of idempotency
// keys.
func sameKeyScope(scope IdempotencyScope, a, b *engine) bool {
	switch scope {
	case SameZone:
		return a.Zone == b.Zone
	case SameCell:
		return a.Cell == b.Cell
	default: // AllEngines
		return true
	}
}

// startAttempt starts an attempt on the engine if the engine is not nil and the rules
// allow it, and reports whether it did. All attempts start here.
func (g *Gateway) startAttempt(r *request, e *engine) bool {
	if e == nil || !g.mayStart(r, e) {
		return false
	}
	isRetry := len(r.attempts) > 0
	if isRetry {
		g.retryBudget.retries = append(g.retryBudget.retries, g.nowMS)
	}
	if g.inSlowStart(e) {
		g.recordSlowStartSend(r, e)
	}
	if g.settings.CanPrioritize && !isRetry && r.class.isDashboard {
		g.emit(Action{Kind: SetResources, RequestID: r.id, Priority: dashboardPriority})
	}
	r.attempts = append(r.attempts, attempt{
		engine:             e,
		startedAtMS:        g.nowMS,
		inFlight:           true,
		startedAtLightLoad: float64(e.load.threads()) <= lightLoadThreadsPerCore*e.cores,
	})
	e.addThreads(r.class, r.class.Threads)
	e.load.threadsSinceReport += float64(r.class.Threads)
	if r.class.IsLoad {
		e.load.datasetsLoading = append(e.load.datasetsLoading, r.dataset)
		g.demand.LoadsChanged()
	}
	g.emit(Action{Kind: StartAttempt, RequestID: r.id, Engine: e.ID, DeadlineAtMS: r.deadlineAtMS})
	return true
}

func (g *Gateway) cancelAttempt(r *request, index int, reason Reason) {
	r.attempts[index].cancelled = true
	g.emit(Action{Kind: CancelAttempt, RequestID: r.id, Attempt: index, Reason: reason})
}

// handleAttemptStatus records a status report of an attempt.
func (g *Gateway) handleAttemptStatus(ev Event) {
	r, a := g.findAttempt(ev)
	if a == nil {
		return
	}
	a.engine.health.lastActivityAtMS = g.nowMS
	a.lastStatusAtMS = g.nowMS
	switch ev.Kind {
	case StreamOpened:
		r.streaming = true
	case AttemptProgress:
		a.progress = ev.Progress
		a.progressAtMS = g.nowMS
	default: // the other kinds show only that the engine is active
	}
}

// handleAttemptEnd records the outcome of an attempt. If the request is still open and has
// no other attempt in flight, it is queued again or ended. A second outcome of the same
// attempt is ignored.
func (g *Gateway) handleAttemptEnd(ev Event) {
	r, a := g.findAttempt(ev)
	if a == nil || !a.inFlight {
		return
	}
	a.inFlight = false
	a.neverRan = ev.Result.neverRan()
	a.errored = ev.Result == Errored
	r.closed = r.closed || ev.RequestDone
	a.engine.addThreads(r.class, -r.class.Threads)
	g.recordLoadReport(a.engine, ev.LoadReport)
	g.estimates.recordAttempt(ev.ElapsedMS, r.class.Threads)
	g.releaseLoad(r, a.engine)
	if mayStillRun(ev.Result) && r.class.OrderedByKey {
		g.keys.settling[r.key] = keySettling{g.nowMS + g.settings.KeySettleMS, r}
	}
	if ev.Result == Served && ev.RequestDone {
		g.servedWeight.sinceSweep += g.weightIfServedAfter(r, 0)
	}
	g.updateEstimates(r, a, ev)
	g.recordOutcome(a.engine, ev.Result)
	if ev.Result == Served {
		g.countErrorsAsFailures(r)
	}
	if !r.closed && r.inFlight() == 0 {
		g.retryOrEnd(r)
	}
}

// mayStillRun reports whether an attempt with this result may still be running on its
// engine.
func mayStillRun(result Result) bool {
	return !result.neverRan() && result != Served && result != Errored
}

// releaseLoad records that a load has ended on the engine.
func (g *Gateway) releaseLoad(r *request, e *engine) {
	i := slices.Index(e.load.datasetsLoading, r.dataset)
	if !r.class.IsLoad || i < 0 {
		return
	}
	e.load.datasetsLoading = slices.Delete(e.load.datasetsLoading, i, i+1)
	g.demand.LoadsChanged()
}

// countErrorsAsFailures counts the errors of a request's earlier attempts as failures
// of their engines, once another engine has served the request. If errors counted at
// once, a client that sends a request that no engine can run would get all engines
// ejected.
func (g *Gateway) countErrorsAsFailures(r *request) {
	for _, a := range r.attempts {
		if a.errored {
			g.recordOutcome(a.engine, Reset)
		}
	}
}

// retryOrEnd queues an open request again, or ends it if the rules forbid another attempt
// or the attempt could not end by the deadline.
func (g *Gateway) retryOrEnd(r *request) {
	if barrier := g.retryBarrier(r); barrier != NoReason {
		g.endRequest(r, barrier)
		return
	}
	if g.nowMS+g.uncontendedDurationMS(r) >= r.deadlineAtMS {
		g.endRequest(r, NoTimeToRetry)
		return
	}
	g.enqueue(r)
}

// endRequest gives the final response to an open request: it rejects the request if the
// client may safely send it again, and fails it otherwise. All rejections and failures
// are issued here.
func (g *Gateway) endRequest(r *request, reason Reason) {
	if r.closed {
		return
	}
	r.closed = true
	response := Action{Kind: FailRequest, RequestID: r.id, Reason: reason}
	if r.isSafeToResend() {
		response.Kind = RejectRequest
		if g.settings.SendsRetryAfter {
			response.RetryAfterMS = min(g.settings.MaxRetryAfterMS, retryAfterMS)
		}
	}
	g.emit(response)
}

// isSafeToResend reports whether the client may safely send the request again, to any
// gateway.
func (r *request) isSafeToResend() bool {
	if !r.mayHaveRun() {
		return true
	}
	switch r.class.Idempotency {
	case NotIdempotent:
		return false
	case IdempotentWithKey:
		return r.class.IdempotencyScope == AllEngines
	default: // Idempotent
		return true
	}
}
