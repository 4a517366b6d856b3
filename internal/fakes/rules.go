package fakes

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Tolerance is what the rules allow on sockets beyond each of their time limits.
const Tolerance = 50 * time.Millisecond

// The limits that the settings do not set.
const (
	statusTooMany  = 429
	statusRejected = 503

	lateAnswerGrace = 500 * time.Millisecond // for an answer after its deadline
	disconnectGrace = 100 * time.Millisecond // for an attempt to begin after its client disconnected
	deadlineSlack   = 150 * time.Millisecond // of the time that engines are told, beyond what the client has left
)

// Rules are the protocol's rules, as the settings have them.
type Rules struct {
	OrderedClasses       map[string]bool // classes whose requests with one key run in order
	NotIdempotentClasses map[string]bool // classes that must not run twice
	KeySettle            time.Duration   // after an attempt that may still run, until the key's next one
	DrainGrace           time.Duration
	Rows                 func(id string) [][]string // that engines send for a request; nil: not checked
	DrainedAt            map[string]time.Time       // engines, and when their drain was published
	Restarts             map[string][]Restart       // of front ends
	KilledAt             map[string][]time.Time     // of front ends: what they had open is lost
	RetryBudget          RetryBudget
}

// Restart is the time from the end of a front end's process until the next one takes
// clients. Until is zero if it has not yet.
type Restart struct {
	From  time.Time
	Until time.Time
}

// overlaps reports whether a part of the restart is between two times. Meanwhile either
// process may take a request.
func (r Restart) overlaps(from, until time.Time) bool {
	return !r.From.After(until) && (r.Until.IsZero() || !r.Until.Before(from))
}

// RetryBudget bounds the retries that a front end makes within a window.
type RetryBudget struct {
	Base       float64
	PerRequest float64       // for each request that it took in the window
	Window     time.Duration // 0: not bounded
}

// budgetTolerance multiplies the budget on sockets, where one more retry is allowed
// too.
const budgetTolerance = 1.15

// checker collects the broken rules that the records show.
type checker struct {
	rules    *Rules
	replies  []Outcome
	attempts map[string][]Attempt // by request, in order of arrival
	broken   []string
}

func (c *checker) report(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// Check returns the broken rules that the records of clients and engines show.
func (rules *Rules) Check(replies []Outcome, engines []*Engine) (broken []string) {
	c := &checker{rules: rules, replies: replies, attempts: map[string][]Attempt{}}
	c.collectAttempts(engines)
	c.checkAttempts()
	for i := range replies {
		c.checkReply(&replies[i])
	}
	c.checkOrder()
	c.checkRetryBudget()
	return c.broken
}

// collectAttempts sorts the attempts by request and checks what needs no request.
func (c *checker) collectAttempts(engines []*Engine) {
	for _, e := range engines {
		for _, text := range e.ProtocolErrors() {
			c.report("form: engine %s: %s", e.ID, text)
		}
		for _, a := range e.Attempts() {
			c.attempts[a.ID] = append(c.attempts[a.ID], a)
			drainedAt, draining := c.rules.DrainedAt[a.Engine]
			if draining && a.ReceivedAt.After(drainedAt.Add(c.rules.DrainGrace+Tolerance)) {
				c.report("drain: %s was sent to %s %v after its drain", a.ID, a.Engine, a.ReceivedAt.Sub(drainedAt))
			}
		}
	}
	for _, attempts := range c.attempts {
		slices.SortFunc(attempts, func(a, b Attempt) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	}
}

// checkAttempts checks each request's attempts against the request.
func (c *checker) checkAttempts() {
	replies := map[string]*Outcome{}
	for i := range c.replies {
		replies[c.replies[i].ID] = &c.replies[i]
	}
	for _, id := range sortedKeys(c.attempts) {
		r := replies[id]
		if r == nil {
			c.report("form: engines received %s, which no client sent", id)
			continue
		}
		attempts := c.attempts[id]
		c.checkNotIdempotent(r, attempts)
		for i, a := range attempts {
			for _, text := range forwardingErrors(r, a) {
				c.report("form: %s at %s: %s", id, a.Engine, text)
			}
			if i > 0 && inFlightTogether(attempts[i-1], a) {
				c.report("duplicate: %s was sent to %s while in flight at %s (%v after it arrived there; its end: %s)", id, a.Engine,
					attempts[i-1].Engine, a.ReceivedAt.Sub(attempts[i-1].ReceivedAt), describeEnd(attempts[i-1]))
			}
			if r.Disconnected && a.ReceivedAt.After(r.Ended.Add(disconnectGrace+Tolerance)) {
				c.report("lost: %s was sent to %s %v after its client had disconnected", id, a.Engine, a.ReceivedAt.Sub(r.Ended))
			}
		}
	}
}

// checkRetryBudget checks the retries of each front end in every window that ends
// with one. Windows with a restart are left out, as the budget starts anew with the
// process.
func (c *checker) checkRetryBudget() {
	if c.rules.RetryBudget.Window == 0 {
		return
	}
	requests := map[string][]time.Time{}
	retries := map[string][]time.Time{}
	for i := range c.replies {
		r := &c.replies[i]
		if r.Written {
			requests[r.FrontEndAddr] = append(requests[r.FrontEndAddr], r.Sent)
		}
		for k, a := range c.attempts[r.ID] {
			if k > 0 {
				retries[r.FrontEndAddr] = append(retries[r.FrontEndAddr], a.ReceivedAt)
			}
		}
	}
	for _, front := range sortedKeys(retries) {
		for _, end := range retries[front] {
			c.checkBudgetWindow(front, end, requests[front], retries[front])
		}
	}
}

// checkBudgetWindow checks the window that ends at a time.
func (c *checker) checkBudgetWindow(front string, end time.Time, requests, retries []time.Time) {
	budget := c.rules.RetryBudget
	restarted := func(r Restart) bool { return r.overlaps(end.Add(-budget.Window), end) }
	if slices.ContainsFunc(c.rules.Restarts[front], restarted) {
		return
	}
	within := func(t time.Time) bool { return !t.After(end) && end.Sub(t) < budget.Window }
	made := countIf(retries, within)
	allowed := (budget.Base+budget.PerRequest*countIf(requests, within))*budgetTolerance + 1
	if made > allowed {
		c.report("budget: %s made %.0f retries within %v, %.1f are allowed", front, made, budget.Window, allowed)
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

// checkNotIdempotent checks that a request that must not run twice was retried, or
// rejected, only if every attempt before provably never ran.
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
			c.report("duplicate: %s, not idempotent, may have run at %s (its end: %s %s) and was sent to %s", r.ID, a.Engine,
				describeEnd(a), a.Verb, attempts[i+1].Engine)
		}
		if rejected {
			c.report("duplicate: %s, not idempotent, may have run at %s (its end: %s %s) and was rejected", r.ID, a.Engine,
				describeEnd(a), a.Verb)
		}
	}
}

// forwardingErrors returns how an attempt differs from its client's request.
func forwardingErrors(r *Outcome, a Attempt) (wrong []string) {
	if a.Fields["c"] != r.Class {
		wrong = append(wrong, fmt.Sprintf("class %q, sent as %q", a.Fields["c"], r.Class))
	}
	if a.Statement != r.Statement {
		wrong = append(wrong, fmt.Sprintf("statement %q, sent as %q", a.Statement, r.Statement))
	}
	if a.Fields["i"] != r.IdempotencyKey {
		wrong = append(wrong, fmt.Sprintf("idempotency key %q, sent as %q", a.Fields["i"], r.IdempotencyKey))
	}
	w, err := strconv.Atoi(a.Fields["w"])
	remaining := r.Sent.Add(r.Timeout).Sub(a.ReceivedAt)
	if err != nil || w <= 0 {
		wrong = append(wrong, fmt.Sprintf("deadline %q", a.Fields["w"]))
	} else if time.Duration(w)*time.Millisecond > remaining+deadlineSlack {
		wrong = append(wrong, fmt.Sprintf("deadline %d ms, %v remain", w, remaining))
	}
	for name := range a.Fields {
		if !slices.Contains([]string{"c", "w", "i", "nice"}, name) {
			wrong = append(wrong, fmt.Sprintf("unknown field %q", name))
		}
	}
	return wrong
}

// inFlightTogether reports whether the second attempt arrived while the first was in
// flight.
func inFlightTogether(first, second Attempt) bool {
	return first.End == Running || first.EndedAt.Sub(second.ReceivedAt) > Tolerance
}

func describeEnd(a Attempt) string {
	if a.End == Running {
		return "none"
	}
	return fmt.Sprintf("%s after %v", a.End, a.EndedAt.Sub(a.ReceivedAt))
}

// checkReply checks that a request that was taken got one complete answer in time.
func (c *checker) checkReply(r *Outcome) {
	if !r.Written || r.Disconnected || c.rules.frontKilled(r) {
		return
	}
	elapsed := r.Ended.Sub(r.Sent)
	switch {
	case r.ProtocolError != "":
		c.report("lost: %s %s: %s after %v", r.Class, r.ID, r.ProtocolError, elapsed)
	case elapsed > r.Timeout+lateAnswerGrace:
		c.report("lost: %s %s was answered after %v, its client waits %v", r.Class, r.ID, elapsed, r.Timeout)
	case r.Served() && c.rules.Rows != nil && fmt.Sprint(r.Rows) != fmt.Sprint(c.rules.Rows(r.ID)):
		c.report("lost: %s %s was served %v, engines sent %v", r.Class, r.ID, r.Rows, c.rules.Rows(r.ID))
	}
}

// frontKilled reports whether the front end of a request was killed while it was open.
func (rules *Rules) frontKilled(r *Outcome) bool {
	return slices.ContainsFunc(rules.KilledAt[r.FrontEndAddr], func(t time.Time) bool {
		return !t.Before(r.Sent.Add(-Tolerance)) && !t.After(r.Ended.Add(Tolerance))
	})
}

// checkOrder checks that the requests of one key that one front end took ran one at a
// time, in the order in which their clients sent them. Clients of one key must leave
// time between any two.
func (c *checker) checkOrder() {
	byKey := map[string][]*Outcome{}
	for i := range c.replies {
		r := &c.replies[i]
		if r.Key != "" && c.rules.OrderedClasses[r.Class] {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	for _, key := range sortedKeys(byKey) {
		requests := byKey[key]
		slices.SortFunc(requests, func(a, b *Outcome) int { return cmp.Or(a.Sent.Compare(b.Sent), cmp.Compare(a.ID, b.ID)) })
		for i, first := range requests {
			for _, next := range requests[i+1:] {
				c.checkPair(key, first, next)
			}
		}
	}
}

// checkPair checks the order of two requests with one key.
func (c *checker) checkPair(key string, first, next *Outcome) {
	if c.rules.restarted(first, next) {
		return
	}
	if violation := c.rules.orderViolation(c.attempts[first.ID], c.attempts[next.ID]); violation != "" {
		c.report("order: key %s, %s before %s: %s", key, first.ID, next.ID, violation)
	}
}

// restarted reports whether a front end was restarted between two requests: a process
// keeps the order only of those that it has taken itself.
func (rules *Rules) restarted(first, later *Outcome) bool {
	return slices.ContainsFunc(rules.Restarts[first.FrontEndAddr], func(r Restart) bool { return r.overlaps(first.Sent, later.Ended) })
}

// orderViolation returns how attempts of a later request overlapped those of an earlier
// one; empty if they did not.
func (rules *Rules) orderViolation(first, later []Attempt) string {
	for _, a := range first {
		for _, b := range later {
			rest := -Tolerance
			if a.End != Replied {
				rest += rules.KeySettle
			}
			if a.End == Running || a.EndedAt.Add(rest).After(b.ReceivedAt) {
				return fmt.Sprintf("sent to %s %v after the earlier one arrived at %s (its end: %s)", b.Engine, b.ReceivedAt.Sub(a.ReceivedAt), a.Engine, describeEnd(a))
			}
		}
	}
	return ""
}
