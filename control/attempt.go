package control

import "slices"

const (
	lightThreadsPerCore = 0.25 // of this gateway up to which a dashboard counts as one at light load
	dashboardPriority   = 3    // the highest; other work keeps the engine's usual 1
	idempotencyTicks    = 2    // by which an idempotency window is taken shorter
)

// mayStart reports whether the rules let an attempt of the request start on the
// engine now.
func (g *Gateway) mayStart(r *request, e *engine) bool {
	if !e.listing.available || !r.class.allows(&e.EngineInfo) || g.nowMS >= r.deadlineAtMS {
		return false
	}
	if !g.settings.CanHedge && r.inFlight() > 0 {
		return false
	}
	if !g.mayRetry(r) || !g.repeatIsDropped(r, e) || !g.keys.mayRun(r, g.nowMS) {
		return false
	}
	return !g.inSlowStart(e) || g.slowStartAdmits(r, e)
}

// repeatIsDropped reports whether the engine would drop a repeat of each attempt
// that may have run, if the class relies on that.
func (g *Gateway) repeatIsDropped(r *request, e *engine) bool {
	if r.class.Idempotency != IdempotentWithKey {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return !a.neverRan &&
			(g.idempotencyWindowOver(r, &a) || !inScope(r.class.IdempotencyScope, a.engine, e))
	})
}

func (g *Gateway) idempotencyWindowOver(r *request, a *attempt) bool {
	return g.nowMS > a.startedAtMS+r.class.IdempotencyWindowMS-idempotencyTicks*g.settings.TickMS
}

// inScope reports whether two engines share the memory of idempotency keys.
func inScope(scope IdempotencyScope, a, b *engine) bool {
	switch scope {
	case SameZone:
		return a.Zone == b.Zone
	case SameCell:
		return a.Cell == b.Cell
	default: // AllEngines
		return true
	}
}

// startAttempt starts an attempt on the engine, if there is one and the rules let
// it, and reports whether it did. It is the one place from which attempts start.
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
		g.emit(Action{Kind: SetTerms, RequestID: r.id, Priority: dashboardPriority})
	}
	r.attempts = append(r.attempts, attempt{
		engine:             e,
		startedAtMS:        g.nowMS,
		inFlight:           true,
		startedAtLightLoad: float64(e.load.threads()) <= lightThreadsPerCore*e.cores,
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

// handleAttemptStatus records a sign of life of an attempt.
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
	default: // no more than a sign of life
	}
}

// handleAttemptEnd records the outcome of an attempt, and queues its request again
// or ends it. A second outcome of the same attempt changes nothing.
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
		g.earnings.sinceSweep += g.weightAfter(r, 0)
	}
	g.updateEstimates(r, a, ev)
	g.recordOutcome(a.engine, ev.Result)
	if ev.Result == Served {
		g.blameErrors(r)
	}
	if !r.closed && r.inFlight() == 0 {
		g.retryOrEnd(r)
	}
}

// mayStillRun reports whether an attempt may run on after its outcome.
func mayStillRun(result Result) bool {
	return !result.neverRan() && result != Served && result != Errored
}

// releaseLoad records the end of a load.
func (g *Gateway) releaseLoad(r *request, e *engine) {
	i := slices.Index(e.load.datasetsLoading, r.dataset)
	if !r.class.IsLoad || i < 0 {
		return
	}
	e.load.datasetsLoading = slices.Delete(e.load.datasetsLoading, i, i+1)
	g.demand.LoadsChanged()
}

// blameErrors counts the errors of a request's earlier attempts as failures of
// their engines, once another has served it. Otherwise a client that sends what
// no engine can run would have all of them ejected.
func (g *Gateway) blameErrors(r *request) {
	for _, a := range r.attempts {
		if a.errored {
			g.recordOutcome(a.engine, Reset)
		}
	}
}

// retryOrEnd queues an open request again, or ends it if no attempt may follow.
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

// endRequest gives the final answer to an open request: rejected where sending it
// again is harmless, else failed. It is the one place from which these come.
func (g *Gateway) endRequest(r *request, reason Reason) {
	if r.closed {
		return
	}
	r.closed = true
	answer := Action{Kind: FailRequest, RequestID: r.id, Reason: reason}
	if r.mayBeSentAgain() {
		answer.Kind = RejectRequest
		if g.settings.SendsRetryAfter {
			answer.RetryAfterMS = min(g.settings.MaxRetryAfterMS, retryAfterMS)
		}
	}
	g.emit(answer)
}

// mayBeSentAgain reports whether a client may safely send the request again, to
// any gateway.
func (r *request) mayBeSentAgain() bool {
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
