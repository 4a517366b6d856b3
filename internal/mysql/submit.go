package mysql

import (
	"fmt"
	"math"
	"slices"

	"dewhill/internal/dispatch"
)

// outcome is the final response to a statement: a result or an error.
type outcome struct {
	result *Result
	err    *Error
}

// The values of a class's idempotency in the settings.
const (
	idempotent    = "pure"
	notIdempotent = "side_effect"
)

// submit accepts a client's statement. It calls done once, on the event loop,
// unless the client has disconnected.
func (s *Server) submit(c *client, statement *Statement, info *statementInfo, done func(outcome)) {
	if c.disconnected {
		return // PostUrgent runs handleDisconnect ahead of the client's last statement
	}
	options, invalid := s.classify(info, c.user, statement)
	if invalid != nil {
		done(outcome{err: invalid})
		return
	}
	if options.loadID != "" && s.class(options).Idempotency != idempotent {
		s.submitLoad(c, statement, info, options, done)
		return
	}
	options.loadID = ""
	if !s.hasCapacity() {
		s.Counters.Rejected++
		done(outcome{err: s.rejection()})
		return
	}
	u := submission{client: c, statement: statement, info: info, options: options}
	s.startInOrder(s.issueTicket(options), u, done)
}

// hasCapacity reports whether the server accepts another request.
func (s *Server) hasCapacity() bool {
	return !s.shutdownDeadlinePassed && s.loop.OpenRequests() < s.config.Limits.MaxOpenRequests
}

// submission is a statement that waits to be submitted to the event loop.
type submission struct {
	client    *client
	load      *loadRecord // nil unless the statement is a load with an id
	statement *Statement
	info      *statementInfo
	options   requestOptions
}

// isAwaited reports whether a connected client waits for the outcome.
func (u *submission) isAwaited() bool {
	if u.load != nil {
		return u.load.waitingClients > 0
	}
	return !u.client.disconnected
}

// setRequestID records the request that a disconnect of the last client abandons or detaches.
func (u *submission) setRequestID(id string) {
	if u.load != nil {
		u.load.requestID = id
		return
	}
	u.client.requestID = id
}

// start submits a statement to the event loop as a request.
func (s *Server) start(u submission, done func(outcome)) {
	s.lastRequestID++
	now := s.loop.Now()
	request := dispatch.Request{
		ID:           fmt.Sprintf("q%d", s.lastRequestID),
		Class:        u.options.class,
		Key:          u.options.orderKey,
		ArrivedAtMS:  now,
		DeadlineAtMS: now + u.options.deadlineMS,
		WorkMS:       u.options.workMS,
		MemoryMB:     u.options.memoryMB,
		Dataset:      u.info.tableGroup,
	}
	u.setRequestID(request.ID)
	isIdempotent := s.class(u.options).Idempotency == idempotent
	err := s.loop.Submit(request, u.statement, func(response dispatch.Response, result any) {
		done(s.finalOutcome(response, result, isIdempotent))
	})
	if err != nil {
		done(outcome{err: &Error{codeFailed, "58000", err.Error()}})
	}
}

// finalOutcome counts a response and converts it to the client's outcome.
func (s *Server) finalOutcome(response dispatch.Response, result any, isIdempotent bool) outcome {
	switch response.Outcome {
	case dispatch.Served:
		s.Counters.Served++
		r, _ := result.(*Result)
		return servedOutcome(r, isIdempotent)
	case dispatch.Rejected:
		s.Counters.Rejected++
		return outcome{err: rejectionAfter(response.RetryAfterMS)}
	default:
		s.Counters.Failed++
		return outcome{err: failure(response, isIdempotent)}
	}
}

// servedOutcome returns the outcome for an engine's reply. An engine's error must not tell
// the client of a load that nothing ran if the error does not prove it.
func servedOutcome(result *Result, isIdempotent bool) outcome {
	if isIdempotent || result == nil || result.Err == nil || result.noEffect {
		return outcome{result: result}
	}
	if !slices.Contains(ownCodesOfNoRun, result.Err.Code) {
		return outcome{result: result}
	}
	failure := mayHaveRun()
	failure.Message += fmt.Sprintf(" (the engine answered with %v)", result.Err)
	return outcome{err: failure}
}

func failure(response dispatch.Response, isIdempotent bool) *Error {
	switch {
	case response.MayHaveRun && !isIdempotent:
		return mayHaveRun()
	case response.DeadlinePassed:
		return &Error{codeDeadline, "HYT00", "the deadline came before an answer"}
	default:
		return &Error{codeFailed, "58000", "failed: no engine could answer"}
	}
}

func mayHaveRun() *Error {
	return &Error{codeMayHaveRun, "08007", "failed, and it may have run: do not simply repeat it"}
}

// The texts of a rejection: what is known of the statement.
const (
	nothingRan        = "nothing ran"
	attemptRanNothing = "this attempt ran nothing" // another front end may have run the load
)

// rejection returns the error for a statement that the server itself rejects.
func (s *Server) rejection() *Error {
	return newRejection(nothingRan, s.config.Settings.Limits.MaxRetryAfterMS)
}

// rejectionOfAttempt returns the error for an attempt at a load that the server itself rejects, if
// other front ends may have run the load.
func (s *Server) rejectionOfAttempt() *Error {
	return newRejection(attemptRanNothing, s.config.Settings.Limits.MaxRetryAfterMS)
}

func rejectionAfter(retryAfterMS float64) *Error { return newRejection(nothingRan, retryAfterMS) }

func newRejection(known string, retryAfterMS float64) *Error {
	message := fmt.Sprintf("refused, %s: try again in %.0f ms", known, math.Ceil(retryAfterMS))
	return &Error{codeRejected, "53300", message}
}
