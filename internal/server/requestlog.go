package server

import (
	"fmt"
	"strings"

	"dewhill/control"
	"dewhill/internal/dispatch"
)

// The rate limit of log lines about single requests. In an overload thousands of requests
// are rejected; the counters include those that are not logged.
const (
	maxLineBurst   = 100
	linesPerSecond = 10.0
)

// attemptResultNames are the names of attempt results in the log and in the counters.
var attemptResultNames = map[control.Result]string{
	control.Served:        "served",
	control.Errored:       "error",
	control.Rejected:      "full",
	control.TimedOut:      "timeout",
	control.ConnectFailed: "connect_failed",
	control.Reset:         "reset",
	control.Cancelled:     "cancelled",
	control.NotSent:       "moot",
}

// requestLogCounters count requests that were not served by their first attempt, by cause.
type requestLogCounters struct {
	Rejected        map[string]int `json:"Refused"`  // by reason
	Failed          map[string]int `json:"Failed"`   // by reason
	Retries         map[string]int `json:"Retries"`  // by the result of the previous attempt
	Cancelled       map[string]int `json:"GivenUp"`  // attempts that the dispatcher cancelled, by reason
	SuppressedLines int            `json:"Unlogged"` // omitted because of the rate limit
}

// requestLog logs and counts requests that were not served by their first attempt. A
// token bucket limits the rate of log lines.
type requestLog struct {
	counters   requestLogCounters
	classes    []string // names by class index; a class without a name is logged by its index
	logf       func(format string, args ...any)
	tokens     float64 // the lines that could be logged at refilledAt
	refilledAt float64 // in ms
	suppressed int     // lines omitted since the last one that was logged
}

func newRequestLog(logf func(string, ...any)) *requestLog {
	return &requestLog{
		logf:   logf,
		tokens: maxLineBurst,
		counters: requestLogCounters{
			Rejected:  map[string]int{},
			Failed:    map[string]int{},
			Retries:   map[string]int{},
			Cancelled: map[string]int{},
		},
	}
}

// requestClosed counts and logs the outcome of a request.
func (r *requestLog) requestClosed(nowMS float64, closed dispatch.RequestClosed) {
	r.count(closed)
	if !r.allowLine(nowMS) {
		return
	}
	r.logf("request %s class=%s %v after %.0f ms%s%s", closed.RequestID, r.className(closed.Class), closed.Outcome,
		closed.ElapsedMS, inParentheses(closed.Reason), describeAttempts(closed.Attempts))
}

func (r *requestLog) count(closed dispatch.RequestClosed) {
	switch closed.Outcome {
	case dispatch.Rejected:
		r.counters.Rejected[closed.Reason.String()]++
	case dispatch.Failed:
		r.counters.Failed[closed.Reason.String()]++
	default: // served after a retry
	}
	for i, attempt := range closed.Attempts {
		if i > 0 {
			r.counters.Retries[attemptResultNames[closed.Attempts[i-1].Result]]++
		}
		if attempt.CancelReason != control.NoReason {
			r.counters.Cancelled[attempt.CancelReason.String()]++
		}
	}
}

// allowLine reports whether a line may be logged now. If lines were suppressed before, it
// first logs their number.
func (r *requestLog) allowLine(nowMS float64) bool {
	r.tokens = min(maxLineBurst, r.tokens+(nowMS-r.refilledAt)/1000*linesPerSecond)
	r.refilledAt = nowMS
	if r.tokens < 1 {
		r.suppressed++
		r.counters.SuppressedLines++
		return false
	}
	r.tokens--
	if r.suppressed > 0 {
		r.logf("%d lines about requests were suppressed", r.suppressed)
		r.suppressed = 0
	}
	return true
}

func (r *requestLog) className(class int) string {
	if class < 0 || class >= len(r.classes) {
		return fmt.Sprint(class)
	}
	return r.classes[class]
}

// inParentheses formats a reason for the end of a phrase. It returns an empty string if
// there is no reason.
func inParentheses(reason control.Reason) string {
	if reason == control.NoReason {
		return ""
	}
	return fmt.Sprintf(" (%v)", reason)
}

// describeAttempts formats attempts in order, each with its engine, start, duration and
// result.
func describeAttempts(attempts []dispatch.AttemptRecord) string {
	var b strings.Builder
	for i, a := range attempts {
		end := attemptResultNames[a.Result]
		if a.InFlight {
			end = "still out"
		}
		fmt.Fprintf(&b, "; attempt %d %s %.0f+%.0f ms %s%s", i, a.Engine, a.StartMS, a.DurationMS, end,
			inParentheses(a.CancelReason))
	}
	return b.String()
}
