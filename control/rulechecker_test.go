package control

import (
	"slices"
	"testing"
)

// ruleChecker tracks the events and actions of a gateway, and fails the test on an action
// that breaks one of these rules:
//
//  1. A request gets exactly one final response, at most ResponseGraceMS after its deadline,
//     and no attempt starts after it.
//  2. A request is repeated only where its idempotency allows it.
//  3. No attempt starts on an engine more than DrainGraceMS after it began to drain.
//  4. An engine in slow start is not overloaded.
//  5. Requests of an ordered class with the same key run one at a time, in order.
//  6. A request runs only in the zones and on the kinds of engines of its class.
//  7. Retries stay within the retry budget.
type ruleChecker struct {
	t                *testing.T
	settings         Settings
	requests         map[string]*trackedRequest
	requestList      []*trackedRequest // in order of arrival
	engines          map[string]EngineInfo
	unavailableSince map[string]float64 // when an engine was first listed as draining or removed
	arrivals         []float64          // times of arrivals
	retries          []float64          // times of retries
}

// trackedRequest is the state of a request by the events and actions so far.
type trackedRequest struct {
	id           string
	key          string
	class        int
	deadlineAtMS float64
	workMS       float64
	closedAtMS   float64 // 0: open
	attempts     []trackedAttempt
}

// trackedAttempt is the state of an attempt by the events and actions so far.
type trackedAttempt struct {
	engine      string
	startedAtMS float64
	endedAtMS   float64 // 0: in flight
	result      Result
}

// mayHaveRun reports whether an attempt may have run or may still run.
func (a trackedAttempt) mayHaveRun() bool {
	return a.endedAtMS == 0 || (a.result != Rejected && a.result != ConnectFailed && a.result != NotSent)
}

// mayStillRun reports whether an attempt has ended with a result that does not show that
// it stopped running.
func (a trackedAttempt) mayStillRun() bool {
	return a.result == TimedOut || a.result == Reset || a.result == Cancelled
}

func newRuleChecker(t *testing.T, s Settings) *ruleChecker {
	return &ruleChecker{t: t, settings: s, requests: map[string]*trackedRequest{}, engines: map[string]EngineInfo{},
		unavailableSince: map[string]float64{}}
}

// observe records an event. It is called before the gateway handles the event.
func (c *ruleChecker) observe(nowMS float64, ev Event) {
	r := c.requests[ev.RequestID]
	switch ev.Kind {
	case RequestArrived:
		r = &trackedRequest{id: ev.RequestID, key: ev.Key, class: ev.Class, deadlineAtMS: ev.DeadlineAtMS,
			workMS: ev.WorkMS}
		c.requests[ev.RequestID] = r
		c.requestList = append(c.requestList, r)
		c.arrivals = append(c.arrivals, nowMS)
	case AttemptEnded:
		if r == nil {
			return
		}
		r.attempts[ev.Attempt].endedAtMS = nowMS
		r.attempts[ev.Attempt].result = ev.Result
		if ev.RequestDone && r.closedAtMS == 0 {
			r.closedAtMS = nowMS
		}
	case RequestAbandoned:
		if r != nil && r.closedAtMS == 0 {
			r.closedAtMS = nowMS
		}
	case EndpointSnapshot, EndpointUpdate:
		c.observeEndpoints(nowMS, ev)
	default:
	}
}

// observeEndpoints records a snapshot or an update of the endpoint list.
func (c *ruleChecker) observeEndpoints(nowMS float64, ev Event) {
	if ev.Kind == EndpointSnapshot {
		for id, e := range c.engines {
			if !slices.ContainsFunc(ev.Engines, func(o EngineInfo) bool { return o.ID == id }) {
				e.Removed = true
				c.engines[id] = e
			}
		}
	}
	for _, e := range ev.Engines {
		c.engines[e.ID] = e
	}
	for id, e := range c.engines {
		if !e.Draining && !e.Removed {
			delete(c.unavailableSince, id)
		} else if _, ok := c.unavailableSince[id]; !ok {
			c.unavailableSince[id] = nowMS
		}
	}
}

// check checks the actions that an event caused, and that no open request is past its
// deadline and ResponseGraceMS.
func (c *ruleChecker) check(nowMS float64, actions []Action) {
	c.t.Helper()
	for _, a := range actions {
		switch a.Kind {
		case StartAttempt:
			c.checkStart(nowMS, a)
		case RejectRequest, FailRequest:
			c.checkFinal(nowMS, a)
		default:
		}
	}
	for _, r := range c.requestList {
		if r.closedAtMS == 0 && nowMS > r.deadlineAtMS+c.settings.ResponseGraceMS {
			c.t.Fatalf("rule 1: %s has no response at %.0f, %.0f ms after its deadline", r.id, nowMS,
				nowMS-r.deadlineAtMS)
		}
	}
}

// checkStart checks the start of an attempt against rules 1 to 7 and MaxAttempts.
func (c *ruleChecker) checkStart(nowMS float64, a Action) {
	c.t.Helper()
	r, e := c.requests[a.RequestID], c.engines[a.Engine]
	class := c.settings.Classes[r.class]
	if r.closedAtMS != 0 {
		c.t.Fatalf("rule 1: attempt of %s started after its final response", r.id)
	}
	c.checkRepeat(nowMS, r, class, e)
	if sinceMS, ok := c.unavailableSince[a.Engine]; ok && nowMS > sinceMS+c.settings.DrainGraceMS {
		c.t.Fatalf("rule 3: attempt started on %s %.0f ms after it began to drain", a.Engine, nowMS-sinceMS)
	}
	c.checkSlowStart(nowMS, r, e)
	if class.OrderedByKey && r.key != "" {
		c.checkKeyOrder(nowMS, r)
	}
	if (len(class.Zones) > 0 && !slices.Contains(class.Zones, e.Zone)) ||
		(len(class.EngineKinds) > 0 && !slices.Contains(class.EngineKinds, e.Kind)) {
		c.t.Fatalf("rule 6: %s sent to an engine of kind %d in zone %d", r.id, e.Kind, e.Zone)
	}
	if len(r.attempts) > 0 && c.settings.RetryBudgetWindowMS > 0 {
		c.checkRetryBudget(nowMS)
	}
	if c.settings.MaxAttempts > 0 && len(r.attempts) >= c.settings.MaxAttempts {
		c.t.Fatalf("%s has %d attempts, at most %d allowed", r.id, len(r.attempts)+1, c.settings.MaxAttempts)
	}
	r.attempts = append(r.attempts, trackedAttempt{engine: a.Engine, startedAtMS: nowMS})
}

// checkRepeat checks rule 2: a request that may have run is repeated only if it is
// idempotent, or within the scope and window of its idempotency key.
func (c *ruleChecker) checkRepeat(nowMS float64, r *trackedRequest, class Class, e EngineInfo) {
	c.t.Helper()
	for _, a := range r.attempts {
		if a.endedAtMS == 0 && !c.settings.CanHedge {
			c.t.Fatalf("rule 2: %s has two attempts in flight", r.id)
		}
		if !a.mayHaveRun() {
			continue
		}
		if class.Idempotency == NotIdempotent {
			c.t.Fatalf("rule 2: %s, which is not idempotent, was repeated after result %d", r.id, a.result)
		}
		first := c.engines[a.engine]
		if class.Idempotency == IdempotentWithKey && (nowMS > a.startedAtMS+class.IdempotencyWindowMS ||
			(class.IdempotencyScope == SameZone && first.Zone != e.Zone) ||
			(class.IdempotencyScope == SameCell && first.Cell != e.Cell)) {
			c.t.Fatalf("rule 2: %s was repeated outside its idempotency scope or window", r.id)
		}
	}
}

// checkSlowStart checks rule 4: within any window, this gateway sends at most its even share
// of the overload threshold to an engine in slow start.
func (c *ruleChecker) checkSlowStart(nowMS float64, r *trackedRequest, e EngineInfo) {
	c.t.Helper()
	s := c.settings
	if e.StartedAtMS <= 0 || nowMS >= e.StartedAtMS+s.SlowStartWindowMS || s.OverloadWindowMS <= 0 {
		return
	}
	// In these tests all requests of a class have the same work, so the work of a request
	// equals the mean of its class, which the gateway may use instead.
	total := 0.0
	for _, other := range c.requestList {
		for _, a := range other.attempts {
			if a.engine == e.ID && a.startedAtMS > nowMS-s.OverloadWindowMS && a.startedAtMS > e.StartedAtMS {
				total += other.workMS
			}
		}
	}
	total += r.workMS
	cores := float64(s.EngineKinds[e.Kind].Cores) * 0.85
	fraction := s.SlowStartInitialFraction + (1-s.SlowStartInitialFraction)*(nowMS-e.StartedAtMS)/s.SlowStartWindowMS
	gateways := float64(s.GatewayCount)
	if e.GatewayCount > 0 {
		gateways = float64(e.GatewayCount)
	}
	minQuota := s.OverloadMultiple * cores * s.SlowStartInitialFraction * s.OverloadWindowMS / gateways
	if slices.ContainsFunc(c.requestList, func(o *trackedRequest) bool { return o.workMS > minQuota/2 }) {
		// A gateway may hold two slots of the rotation in one window. A test of package
		// slowstart checks the sum over all gateways.
		gateways = 1
	}
	if limit := s.OverloadMultiple * cores * fraction * s.OverloadWindowMS / gateways; total > limit {
		c.t.Fatalf("rule 4: %.0f ms of work sent to %s in slow start within a window, at most %.0f",
			total, e.ID, limit)
	}
}

// checkKeyOrder checks rule 5: requests with the same key run one at a time, in order of
// arrival, and KeySettleMS after an attempt that may still run.
func (c *ruleChecker) checkKeyOrder(nowMS float64, r *trackedRequest) {
	c.t.Helper()
	for _, earlier := range c.requestList {
		if earlier == r {
			return
		}
		if !c.settings.Classes[earlier.class].OrderedByKey || earlier.key != r.key {
			continue
		}
		if earlier.closedAtMS == 0 {
			c.t.Fatalf("rule 5: %s started while %s is open", r.id, earlier.id)
		}
		for _, a := range earlier.attempts {
			if a.endedAtMS == 0 || (a.mayStillRun() && nowMS < a.endedAtMS+c.settings.KeySettleMS) {
				c.t.Fatalf("rule 5: %s started less than KeySettleMS after %s, which may still run",
					r.id, earlier.id)
			}
		}
	}
}

// checkRetryBudget counts a retry and checks rule 7.
func (c *ruleChecker) checkRetryBudget(nowMS float64) {
	c.t.Helper()
	c.retries = append(c.retries, nowMS)
	within := func(times []float64) (count float64) {
		for _, at := range times {
			if at > nowMS-c.settings.RetryBudgetWindowMS {
				count++
			}
		}
		return count
	}
	if within(c.retries) > c.settings.RetryBudgetBase+c.settings.RetryBudgetPerRequest*within(c.arrivals) {
		c.t.Fatalf("rule 7: %.0f retries for %.0f requests exceed the retry budget",
			within(c.retries), within(c.arrivals))
	}
}

// checkFinal checks a final response against rule 1, that it is the only one, and rule 2: a
// request that may have run and must not be repeated anywhere is not rejected, as clients
// repeat rejected requests.
func (c *ruleChecker) checkFinal(nowMS float64, a Action) {
	c.t.Helper()
	r := c.requests[a.RequestID]
	if r.closedAtMS != 0 {
		c.t.Fatalf("rule 1: second final response for %s", r.id)
	}
	r.closedAtMS = nowMS
	class := c.settings.Classes[r.class]
	if a.Kind == RejectRequest && slices.ContainsFunc(r.attempts, trackedAttempt.mayHaveRun) &&
		(class.Idempotency == NotIdempotent ||
			(class.Idempotency == IdempotentWithKey && class.IdempotencyScope != AllEngines)) {
		c.t.Fatalf("rule 2: %s was rejected though it may have run", r.id)
	}
}
