package mysql

import (
	"errors"
	"sync"

	"dewhill/control"
	"dewhill/internal/descriptors"
	"dewhill/internal/dispatch"
)

// attempt is an attempt of a request. The event loop cancels it, and the goroutine
// of its session writes its statement. The mutex guards the fields that both use.
type attempt struct {
	requestID  string
	number     int
	statement  *Statement
	session    *session
	deadlineMS float64
	writeByMS  float64 // the statement must not be written after this time; 0: no limit

	mu        sync.Mutex
	written   bool // at least a part of the statement may have been written
	cancelled bool
}

// attemptKey identifies an attempt among the attempts of its engine.
type attemptKey struct {
	requestID string
	number    int
}

func (a *attempt) key() attemptKey { return attemptKey{a.requestID, a.number} }

// notWrittenError wraps an error that proves that the statement did not run: the
// statement was not written, or the engine rejected it unexecuted.
type notWrittenError struct{ error }

// Unwrap returns the wrapped error.
func (e notWrittenError) Unwrap() error { return e.error }

var errNotWritten = errors.New("cancelled or past its write deadline")

// markWritten records that the statement is about to be written. It returns
// errNotWritten if the attempt was cancelled or the latest time for the write has
// passed, as the connection may have taken long to open.
func (a *attempt) markWritten(nowMS float64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled || a.writeByMS > 0 && nowMS > a.writeByMS {
		return notWrittenError{errNotWritten}
	}
	a.written = true
	return nil
}

// markUnwritten records that the engine refused the statement: nothing of it runs.
func (a *attempt) markUnwritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.written = false
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

// attemptDone describes how an attempt ended on its session.
type attemptDone struct {
	result   *Result
	err      error // nil if there is a result
	broken   bool  // the session's connection is not usable any more
	counters PoolCounters
}

// wasInterrupted reports whether the engine ended the statement after a KILL QUERY.
func (d *attemptDone) wasInterrupted() bool {
	return d.err == nil && d.result.Err != nil && d.result.Err.Code == codeQueryInterrupted
}

// attemptEnded releases the session of an attempt that has ended, and reports the
// result of the attempt to the event loop.
func (p *Pool) attemptEnded(a *attempt, done attemptDone) {
	p.Counters.add(done.counters)
	s := a.session
	delete(s.engine.attempts, a.key())
	s.busy = false
	s.idleSinceMS = p.loop.Now()
	// A result may arrive just before the session is interrupted. Without this check,
	// the next statement would fail on the closed connection, and the failure would
	// count against the engine.
	switch {
	case done.broken || !s.isReusable():
		p.closeSession(s)
		p.removeIfUnused(s.engine)
	case s.killing:
		p.awaitKill(s, done.wasInterrupted())
	}
	result := p.attemptResult(s, done, a.isCancelled())
	ended := dispatch.AttemptEnded{RequestID: a.requestID, Attempt: a.number, Result: result}
	if result == control.Served {
		p.loop.AttemptEnded(ended, done.result)
		return
	}
	p.loop.AttemptEnded(ended, nil)
}

// attemptResult returns the result of an attempt for the decision logic, and counts
// and logs failures. A statement that was not written never ran.
func (p *Pool) attemptResult(s *session, done attemptDone, cancelled bool) control.Result {
	var notWritten notWrittenError
	switch {
	case done.err == nil:
		if cancelled && done.wasInterrupted() {
			return control.Cancelled
		}
		return control.Served
	case errors.As(done.err, &notWritten):
		p.Counters.LostBeforeWrite++
		p.loop.Logf("engine %s: attempt failed before its statement ran: %v", s.engine.ID, done.err)
		if cancelled || !done.broken || descriptors.Exhausted(done.err) {
			return control.NotSent // does not count against the engine
		}
		return control.ConnectFailed
	case cancelled:
		return control.Cancelled
	default:
		p.Counters.LostAfterWrite++
		p.loop.Logf("engine %s: attempt failed after its statement was written: %v", s.engine.ID, done.err)
		return control.Reset
	}
}
