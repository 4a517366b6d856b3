package fakes

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Tolerance is added to each time limit of the rules, for delays on sockets.
const Tolerance = 50 * time.Millisecond

// Status codes and limits that are not in the settings.
const (
	statusTooMany  = 429
	statusRejected = 503

	lateResponseTolerance = 500 * time.Millisecond // for a response after its deadline
	disconnectGrace       = 100 * time.Millisecond // for an attempt after its client disconnected
	// deadlineSlack is by how much the time limit sent to an engine may exceed the time until the
	// deadline of the client.
	deadlineSlack = 150 * time.Millisecond
)

// Rules are the rules of the protocol, with the values of the settings. During KeySettle, no further
// attempt with the key of the earlier attempt may arrive at an engine. After DrainGrace, no attempt
// may arrive at the drained engine.
type Rules struct {
	OrderedClasses       map[string]bool            // classes whose requests with one key run in order
	NotIdempotentClasses map[string]bool            // classes that must not run twice
	KeySettle            time.Duration              // after an attempt that may still run
	DrainGrace           time.Duration              // after the drain of an engine
	Rows                 func(id string) [][]string // rows that engines send for a request; nil: not checked
	DrainedAt            map[string]time.Time       // publication of the drain, by engine
	Restarts             map[string][]Restart       // by front end
	// Kills are the periods from SIGKILL to the end of the process, by front end. Requests open then
	// are lost.
	Kills       map[string][]Restart
	RetryBudget RetryBudget
}

// Restart is the period from the end of a process of a front end until the next process accepts
// requests. Until is zero if the next process does not accept requests yet.
type Restart struct {
	From  time.Time
	Until time.Time
}

// overlaps reports whether the restart overlaps the period between two times. During a restart,
// either process may accept a request.
func (r Restart) overlaps(from, until time.Time) bool {
	return !r.From.After(until) && (r.Until.IsZero() || !r.Until.Before(from))
}

// RetryBudget bounds the retries that a front end makes within a window.
type RetryBudget struct {
	Base       float64
	PerRequest float64       // for each request that it received in the window
	Window     time.Duration // 0: no limit
}

// budgetTolerance is the factor by which retries on sockets may exceed the budget. In addition, one
// more retry is allowed.
const budgetTolerance = 1.15

// checker collects the violations of the rules that the records show.
type checker struct {
	rules      *Rules
	outcomes   []Outcome
	attempts   map[string][]Attempt // by request, in order of arrival
	violations []string
}

// report adds a violation.
func (c *checker) report(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Check returns the violations of the rules that the records of clients and engines show.
func (rules *Rules) Check(outcomes []Outcome, engines []*Engine) (violations []string) {
	c := &checker{rules: rules, outcomes: outcomes, attempts: map[string][]Attempt{}}
	c.collectAttempts(engines)
	c.checkAttempts()
	for i := range outcomes {
		c.checkOutcome(&outcomes[i])
	}
	c.checkOrder()
	c.checkRetryBudget()
	return c.violations
}

// collectAttempts groups the attempts by request. It checks the rules that do not depend on the
// request: no protocol errors, and no attempts at drained engines.
func (c *checker) collectAttempts(engines []*Engine) {
	for _, e := range engines {
		for _, text := range e.ProtocolErrors() {
			c.report("protocol: engine %s: %s", e.ID, text)
		}
		for _, a := range e.Attempts() {
			c.attempts[a.ID] = append(c.attempts[a.ID], a)
			drainedAt, draining := c.rules.DrainedAt[a.Engine]
			if draining && a.ReceivedAt.After(drainedAt.Add(c.rules.DrainGrace+Tolerance)) {
				c.report("drain: %s was sent to %s %v after the engine was drained",
					a.ID, a.Engine, a.ReceivedAt.Sub(drainedAt))
			}
		}
	}
	for _, attempts := range c.attempts {
		slices.SortFunc(attempts, func(a, b Attempt) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	}
}

// checkAttempts checks the attempts of each request against the request.
func (c *checker) checkAttempts() {
	outcomes := map[string]*Outcome{}
	for i := range c.outcomes {
		outcomes[c.outcomes[i].ID] = &c.outcomes[i]
	}
	for _, id := range sortedKeys(c.attempts) {
		r := outcomes[id]
		if r == nil {
			c.report("protocol: engines received %s, which no client sent", id)
			continue
		}
		attempts := c.attempts[id]
		c.checkNotIdempotent(r, attempts)
		for i, a := range attempts {
			for _, text := range forwardingErrors(r, a) {
				c.report("protocol: %s at %s: %s", id, a.Engine, text)
			}
			if i > 0 && inFlightTogether(attempts[i-1], a) {
				earlier := attempts[i-1]
				c.report("duplicate: %s was sent to %s while in flight at %s "+
					"(%v after it arrived there; end there: %s)",
					id, a.Engine, earlier.Engine, a.ReceivedAt.Sub(earlier.ReceivedAt), describeEnd(earlier))
			}
			if r.Disconnected && a.ReceivedAt.After(r.Ended.Add(disconnectGrace+Tolerance)) {
				c.report("lost: %s was sent to %s %v after its client had disconnected",
					id, a.Engine, a.ReceivedAt.Sub(r.Ended))
			}
		}
	}
}

// checkRetryBudget checks the number of retries of each front end in each window that ends with a
// retry. Windows that overlap a restart are not checked, as each process starts with a full budget.
func (c *checker) checkRetryBudget() {
	if c.rules.RetryBudget.Window == 0 {
		return
	}
	requests := map[string][]time.Time{}
	retries := map[string][]time.Time{}
	for i := range c.outcomes {
		r := &c.outcomes[i]
		if r.Written {
			requests[r.FrontEndAddr] = append(requests[r.FrontEndAddr], r.Sent)
		}
		for k, a := range c.attempts[r.ID] {
			if k > 0 {
				retries[r.FrontEndAddr] = append(retries[r.FrontEndAddr], a.ReceivedAt)
			}
		}
	}
	for _, frontEnd := range sortedKeys(retries) {
		for _, end := range retries[frontEnd] {
			c.checkBudgetWindow(frontEnd, end, requests[frontEnd], retries[frontEnd])
		}
	}
}

// checkBudgetWindow checks the window that ends at the given time.
func (c *checker) checkBudgetWindow(frontEnd string, end time.Time, requests, retries []time.Time) {
	budget := c.rules.RetryBudget
	restarted := func(r Restart) bool { return r.overlaps(end.Add(-budget.Window), end) }
	if slices.ContainsFunc(c.rules.Restarts[frontEnd], restarted) {
		return
	}
	within := func(t time.Time) bool { return !t.After(end) && end.Sub(t) < budget.Window }
	made := countIf(retries, within)
	allowed := (budget.Base+budget.PerRequest*countIf(requests, within))*budgetTolerance + 1
	if made > allowed {
		c.report("budget: %s made %.0f retries within %v, %.1f are allowed",
			frontEnd, made, budget.Window, allowed)
	}
}

func countIf(times []time.Time, condition func(time.Time) bool) float64 {
	count := 0.0
	for _, t := range times {
		if condition(t) {
			count++
		}
	}
	return count
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// checkNotIdempotent checks that a request that must not run twice was retried or rejected only if
// each earlier attempt certainly did not run.
func (c *checker) checkNotIdempotent(r *Outcome, attempts []Attempt) {
	if !c.rules.NotIdempotentClasses[r.Class] {
		return
	}
	rejected := r.Status == statusRejected || r.Status == statusTooMany
	for i, a := range attempts {
		if !a.mayHaveRun() {
			continue
		}
		if i+1 < len(attempts) {
			c.report("duplicate: %s, not idempotent, may have run at %s (end there: %s %s) "+
				"and was sent to %s",
				r.ID, a.Engine, describeEnd(a), a.Verb, attempts[i+1].Engine)
		}
		if rejected {
			c.report("duplicate: %s, not idempotent, may have run at %s (end there: %s %s) and was rejected",
				r.ID, a.Engine, describeEnd(a), a.Verb)
		}
	}
}

// forwardingErrors returns the differences between an attempt and the request of the client.
func forwardingErrors(r *Outcome, a Attempt) (differences []string) {
	if a.Fields["c"] != r.Class {
		differences = append(differences, fmt.Sprintf("class %q, sent as %q", a.Fields["c"], r.Class))
	}
	if a.Statement != r.Statement {
		differences = append(differences, fmt.Sprintf("statement %q, sent as %q", a.Statement, r.Statement))
	}
	if a.Fields["i"] != r.IdempotencyKey {
		differences = append(differences,
			fmt.Sprintf("idempotency key %q, sent as %q", a.Fields["i"], r.IdempotencyKey))
	}
	w, err := strconv.Atoi(a.Fields["w"])
	remaining := r.Sent.Add(r.Timeout).Sub(a.ReceivedAt)
	if err != nil || w <= 0 {
		differences = append(differences, fmt.Sprintf("time limit %q", a.Fields["w"]))
	} else if time.Duration(w)*time.Millisecond > remaining+deadlineSlack {
		differences = append(differences,
			fmt.Sprintf("time limit %d ms, but only %v remain until the deadline, %v after it was sent",
				w, remaining, a.ReceivedAt.Sub(r.Sent)))
	}
	for name := range a.Fields {
		if !slices.Contains([]string{"c", "w", "i", "nice"}, name) {
			differences = append(differences, fmt.Sprintf("unknown field %q", name))
		}
	}
	return differences
}

// inFlightTogether reports whether the second attempt arrived more than Tolerance before the end of
// the first.
func inFlightTogether(first, second Attempt) bool {
	return first.End == Running || first.EndedAt.Sub(second.ReceivedAt) > Tolerance
}

// describeEnd returns the end of an attempt and its duration.
func describeEnd(a Attempt) string {
	if a.End == Running {
		return "none"
	}
	return fmt.Sprintf("%s after %v", a.End, a.EndedAt.Sub(a.ReceivedAt))
}

// checkOutcome checks that the client of a request received a complete and correct response in time.
// Requests that were not sent, or whose client disconnected or front end was killed, are exempt.
func (c *checker) checkOutcome(r *Outcome) {
	if !r.Written || r.Disconnected || c.rules.frontEndKilled(r) {
		return
	}
	elapsed := r.Ended.Sub(r.Sent)
	switch {
	case r.ProtocolError != "":
		c.report("lost: %s %s: %s after %v", r.Class, r.ID, r.ProtocolError, elapsed)
	case r.isLate():
		c.report("lost: %s %s received its response after %v, its client waits %v",
			r.Class, r.ID, elapsed, r.Timeout)
	case r.Served() && c.rules.Rows != nil && fmt.Sprint(r.Rows) != fmt.Sprint(c.rules.Rows(r.ID)):
		c.report("lost: %s %s received rows %v, engines sent %v", r.Class, r.ID, r.Rows, c.rules.Rows(r.ID))
	}
}

// isLate reports whether the response came too late. The response to a request that was sent ahead
// can't come before the one that precedes it on the connection.
func (o *Outcome) isLate() bool {
	due := o.Sent.Add(o.Timeout)
	if o.headOfLineAt.After(due) {
		due = o.headOfLineAt
	}
	return o.Ended.Sub(due) > lateResponseTolerance
}

// frontEndKilled reports whether the front end of a request was killed while the request was open.
func (rules *Rules) frontEndKilled(r *Outcome) bool {
	return slices.ContainsFunc(rules.Kills[r.FrontEndAddr], func(kill Restart) bool {
		return kill.overlaps(r.Sent.Add(-Tolerance), r.Ended.Add(Tolerance))
	})
}

// checkOrder checks that requests with the same key ran one at a time, in the order in which the
// clients sent them. A front end orders only the requests that it received, so clients must send all
// requests with one key to one front end, and must leave time between any two of them.
func (c *checker) checkOrder() {
	byKey := map[string][]*Outcome{}
	for i := range c.outcomes {
		r := &c.outcomes[i]
		if r.Key != "" && c.rules.OrderedClasses[r.Class] {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	for _, key := range sortedKeys(byKey) {
		requests := byKey[key]
		slices.SortFunc(requests, func(a, b *Outcome) int {
			return cmp.Or(a.Sent.Compare(b.Sent), cmp.Compare(a.ID, b.ID))
		})
		for i, first := range requests {
			for _, next := range requests[i+1:] {
				c.checkPair(key, first, next)
			}
		}
	}
}

// checkPair checks the order of two requests with the same key.
func (c *checker) checkPair(key string, first, next *Outcome) {
	if c.rules.restarted(first, next) {
		return
	}
	if violation := c.rules.orderViolation(c.attempts[first.ID], c.attempts[next.ID]); violation != "" {
		c.report("order: key %s, %s before %s: %s", key, first.ID, next.ID, violation)
	}
}

// restarted reports whether the front end was restarted between two requests: a process keeps the
// order only of the requests that it received itself.
func (rules *Rules) restarted(first, later *Outcome) bool {
	return slices.ContainsFunc(rules.Restarts[first.FrontEndAddr], func(r Restart) bool {
		return r.overlaps(first.Sent, later.Ended)
	})
}

// orderViolation returns a description of the first overlap of an attempt of the later request with
// an attempt of the earlier request, or an empty string if there is none.
func (rules *Rules) orderViolation(first, later []Attempt) string {
	for _, a := range first {
		for _, b := range later {
			settle := -Tolerance
			if a.End != Replied {
				settle += rules.KeySettle
			}
			if a.End == Running || a.EndedAt.Add(settle).After(b.ReceivedAt) {
				return fmt.Sprintf("sent to %s %v after the earlier request arrived at %s (end there: %s)",
					b.Engine, b.ReceivedAt.Sub(a.ReceivedAt), a.Engine, describeEnd(a))
			}
		}
	}
	return ""
}
