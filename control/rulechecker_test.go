package control

import (
	"slices"
	"testing"
)

// ruleChecker follows the events and actions of a gateway, and reports every action
// that breaks one of the seven rules.
type ruleChecker struct {
	t                *testing.T
	settings         Settings
	requests         map[string]*trackedRequest
	order            []*trackedRequest
	engines          map[string]EngineInfo
	unavailableSince map[string]float64 // when an engine was first listed as draining or removed
	arrivals         []float64
	retries          []float64
}

type trackedRequest struct {
	id           string
	key          string
	class        int
	deadlineAtMS float64
	workMS       float64
	closedAtMS   float64 // 0: open
	attempts     []trackedAttempt
}

type trackedAttempt struct {
	engine      string
	startedAtMS float64
	endedAtMS   float64 // 0: in flight
	result      Result
}

// mayHaveRun reports whether an attempt may have run, or still may.
func (a trackedAttempt) mayHaveRun() bool {
	return a.endedAtMS == 0 || (a.result != Rejected && a.result != ConnectFailed && a.result != NotSent)
}

// mayStillRun reports whether an attempt ended without showing that it no longer runs.
func (a trackedAttempt) mayStillRun() bool {
	return a.result == TimedOut || a.result == Reset || a.result == Cancelled
}

func newRuleChecker(t *testing.T, s Settings) *ruleChecker {
	return &ruleChecker{t: t, settings: s, requests: map[string]*trackedRequest{}, engines: map[string]EngineInfo{},
		unavailableSince: map[string]float64{}}
}

// observe follows an event before the gateway sees it.
func (c *ruleChecker) observe(nowMS float64, ev Event) {
	r := c.requests[ev.RequestID]
	switch ev.Kind {
	case RequestArrived:
		r = &trackedRequest{id: ev.RequestID, key: ev.Key, class: ev.Class, deadlineAtMS: ev.DeadlineAtMS,
			workMS: ev.WorkMS}
		c.requests[ev.RequestID] = r
		c.order = append(c.order, r)
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

// check checks the actions that follow from an event.
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
	for _, r := range c.order {
		if r.closedAtMS == 0 && nowMS > r.deadlineAtMS+c.settings.ResponseGraceMS {
			c.t.Fatalf("rule 1: %s has no answer at %.0f, %.0f ms after its deadline", r.id, nowMS,
				nowMS-r.deadlineAtMS)
		}
	}
}

func (c *ruleChecker) checkStart(nowMS float64, a Action) {
	c.t.Helper()
	r, e := c.requests[a.RequestID], c.engines[a.Engine]
	class := c.settings.Classes[r.class]
	if r.closedAtMS != 0 {
		c.t.Fatalf("rule 1: %s started after its end", r.id)
	}
	c.checkRepeat(nowMS, r, class, e)
	if sinceMS, ok := c.unavailableSince[a.Engine]; ok && nowMS > sinceMS+c.settings.DrainGraceMS {
		c.t.Fatalf("rule 3: sent to %s %.0f ms after it drained", a.Engine, nowMS-sinceMS)
	}
	c.checkSlowStart(nowMS, r, e)
	if class.OrderedByKey && r.key != "" {
		c.checkKeyOrder(nowMS, r)
	}
	if (len(class.Zones) > 0 && !slices.Contains(class.Zones, e.Zone)) ||
		(len(class.EngineKinds) > 0 && !slices.Contains(class.EngineKinds, e.Kind)) {
		c.t.Fatalf("rule 6: %s sent to kind %d in zone %d", r.id, e.Kind, e.Zone)
	}
	if len(r.attempts) > 0 && c.settings.RetryBudgetWindowMS > 0 {
		c.checkRetryBudget(nowMS)
	}
	if c.settings.MaxAttempts > 0 && len(r.attempts) >= c.settings.MaxAttempts {
		c.t.Fatalf("%s sent %d times", r.id, len(r.attempts)+1)
	}
	r.attempts = append(r.attempts, trackedAttempt{engine: a.Engine, startedAtMS: nowMS})
}

// checkRepeat checks rule 2: which requests may run again, where and when.
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
			c.t.Fatalf("rule 2: %s, which is not idempotent, repeated after result %d", r.id, a.result)
		}
		first := c.engines[a.engine]
		if class.Idempotency == IdempotentWithKey && (nowMS > a.startedAtMS+class.IdempotencyWindowMS ||
			(class.IdempotencyScope == SameZone && first.Zone != e.Zone) ||
			(class.IdempotencyScope == SameCell && first.Cell != e.Cell)) {
			c.t.Fatalf("rule 2: %s repeated outside its scope or window", r.id)
		}
	}
}

// checkSlowStart checks rule 4: how much work goes to an engine that warms up.
func (c *ruleChecker) checkSlowStart(nowMS float64, r *trackedRequest, e EngineInfo) {
	c.t.Helper()
	s := c.settings
	if e.StartedAtMS <= 0 || nowMS >= e.StartedAtMS+s.SlowStartWindowMS || s.OverloadWindowMS <= 0 {
		return
	}
	// Every request of a class has the same work here, so its usual work is its own.
	total := 0.0
	for _, other := range c.order {
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
	if slices.ContainsFunc(c.order, func(o *trackedRequest) bool { return o.workMS > minQuota/2 }) {
		gateways = 1 // in rotation two turns may fall into one window; the sum over all has a test of its own
	}
	if limit := s.OverloadMultiple * cores * fraction * s.OverloadWindowMS / gateways; total > limit {
		c.t.Fatalf("rule 4: %.0f of work to %s in slow start within the window, at most %.0f", total, e.ID, limit)
	}
}

// checkKeyOrder checks rule 5: the requests of a key run one at a time, in order.
func (c *ruleChecker) checkKeyOrder(nowMS float64, r *trackedRequest) {
	c.t.Helper()
	for _, earlier := range c.order {
		if earlier == r {
			return
		}
		if !c.settings.Classes[earlier.class].OrderedByKey || earlier.key != r.key {
			continue
		}
		if earlier.closedAtMS == 0 {
			c.t.Fatalf("rule 5: %s sent while %s is open", r.id, earlier.id)
		}
		for _, a := range earlier.attempts {
			if a.endedAtMS == 0 || (a.mayStillRun() && nowMS < a.endedAtMS+c.settings.KeySettleMS) {
				c.t.Fatalf("rule 5: %s sent before the key settled after %s", r.id, earlier.id)
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
		c.t.Fatalf("rule 7: %.0f retries for %.0f requests", within(c.retries), within(c.arrivals))
	}
}

// checkFinal checks a final answer: the only one, and none that invites a repeat of
// what must not run twice.
func (c *ruleChecker) checkFinal(nowMS float64, a Action) {
	c.t.Helper()
	r := c.requests[a.RequestID]
	if r.closedAtMS != 0 {
		c.t.Fatalf("rule 1: second final answer for %s", r.id)
	}
	r.closedAtMS = nowMS
	class := c.settings.Classes[r.class]
	if a.Kind == RejectRequest && slices.ContainsFunc(r.attempts, trackedAttempt.mayHaveRun) &&
		(class.Idempotency == NotIdempotent ||
			(class.Idempotency == IdempotentWithKey && class.IdempotencyScope != AllEngines)) {
		c.t.Fatalf("rule 2: %s rejected though it may have run", r.id)
	}
}
