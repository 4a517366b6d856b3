package mysql

import (
	"errors"
	"sync"

	"dewhill/control"
	"dewhill/internal/descriptors"
	"dewhill/internal/dispatch"
)

// attempt is an attempt of a request. The event loop cancels it and its session's
// goroutine writes its statement, so what both have done is guarded.
type attempt struct {
	requestID  string
	number     int
	statement  *Statement
	session    *session
	deadlineMS float64
	writeByMS  float64 // the statement must not be written later; 0: any time

	mu        sync.Mutex
	written   bool // the statement was written, in part at least
	cancelled bool
}

// attemptKey names an attempt among those of its engine.
type attemptKey struct {
	requestID string
	number    int
}

func (a *attempt) key() attemptKey { return attemptKey{a.requestID, a.number} }

// notWrittenError wraps an error before the statement was written: it never ran.
type notWrittenError struct{ error }

// Unwrap returns the cause.
func (e notWrittenError) Unwrap() error { return e.error }

var errNotWritten = errors.New("cancelled or too late before it began")

// markWritten marks that the statement is about to be written, or fails with
// errNotWritten if nobody waits for it any more or it is too late: the
// connection may have taken long to come up.
func (a *attempt) markWritten(nowMS float64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled || a.writeByMS > 0 && nowMS > a.writeByMS {
		return notWrittenError{errNotWritten}
	}
	a.written = true
	return nil
}

// markCancelled cancels the attempt and reports whether its statement was
// written.
func (a *attempt) markCancelled() (written bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	return a.written
}

// cancelIfUnwritten cancels the attempt unless its statement was written.
func (a *attempt) cancelIfUnwritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.written {
		a.cancelled = true
	}
}

func (a *attempt) isCancelled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelled
}

// attemptDone is how an attempt ended on its session.
type attemptDone struct {
	result   *Result
	err      error // nil: there is a result
	broken   bool  // the session's connection can't be used any more
	counters PoolCounters
}

// attemptEnded takes how an attempt ended.
func (p *Pool) attemptEnded(a *attempt, done attemptDone) {
	p.Counters.add(done.counters)
	s := a.session
	delete(s.engine.attempts, a.key())
	s.busy = false
	s.idleSinceMS = p.loop.Now()
	// A result may have come just before an interruption: the next statement would
	// find a closed connection, which would count against the engine.
	if done.broken || s.interrupted || s.engine.removed || s.engine.draining() {
		p.closeSession(s)
		p.removeIfUnused(s.engine)
	}
	result := p.attemptResult(s, done, a.isCancelled())
	ended := dispatch.AttemptEnded{RequestID: a.requestID, Attempt: a.number, Result: result}
	if result == control.Served {
		p.loop.AttemptEnded(ended, done.result)
		return
	}
	p.loop.AttemptEnded(ended, nil)
}

// attemptResult returns an attempt's result. What was not written never ran.
func (p *Pool) attemptResult(s *session, done attemptDone, cancelled bool) control.Result {
	var notWritten notWrittenError
	switch {
	case done.err == nil:
		interrupted := done.result.Err != nil && done.result.Err.Code == codeQueryInterrupted
		if cancelled && interrupted {
			return control.Cancelled
		}
		return control.Served
	case errors.As(done.err, &notWritten):
		p.Counters.LostBeforeWrite++
		p.loop.Logf("engine %s: before the statement: %v", s.engine.ID, done.err)
		if cancelled || !done.broken || descriptors.Exhausted(done.err) {
			return control.NotSent // not the engine's fault
		}
		return control.ConnectFailed
	case cancelled:
		return control.Cancelled
	default:
		p.Counters.LostAfterWrite++
		p.loop.Logf("engine %s: after the statement was written: %v", s.engine.ID, done.err)
		return control.Reset
	}
}
