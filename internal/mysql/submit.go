package mysql

import (
	"fmt"
	"math"

	"dewhill/internal/dispatch"
)

// outcome is a statement's final answer: a result or an error.
type outcome struct {
	result *Result
	err    *Error
}

// The idempotency of classes, as the settings name it.
const (
	idempotent    = "pure"
	notIdempotent = "side_effect"
)

// submit takes a client's statement. done is called once, on the event loop,
// unless the client has disconnected.
func (s *Server) submit(c *client, statement *Statement, info *statementInfo, done func(outcome)) {
	if c.disconnected {
		return // noted ahead of what it sent
	}
	options, invalid := s.classify(info, c.user, statement)
	if invalid != nil {
		done(outcome{err: invalid})
		return
	}
	if s.loop.OpenRequests() >= s.config.Limits.MaxOpenRequests {
		s.Counters.Rejected++
		done(outcome{err: s.rejection()})
		return
	}
	if options.loadID == "" || s.class(options).Idempotency == idempotent {
		options.loadID = ""
		s.start(c, statement, info, options, done)
		return
	}
	s.submitLoad(c, statement, info, options, done)
}

// start hands a statement to the event loop.
func (s *Server) start(c *client, statement *Statement, info *statementInfo, t requestOptions, done func(outcome)) {
	s.lastRequestID++
	now := s.loop.Now()
	request := dispatch.Request{
		ID:           fmt.Sprintf("q%d", s.lastRequestID),
		Class:        t.class,
		Key:          t.orderKey,
		ArrivedAtMS:  now,
		DeadlineAtMS: now + t.deadlineMS,
		WorkMS:       t.workMS,
		MemoryMB:     t.memoryMB,
		Dataset:      info.tableGroup,
	}
	switch {
	case t.loadID == "":
		c.requestID = request.ID
	case c.load != nil:
		c.load.requestID = request.ID
	}
	repeatable := s.class(t).Idempotency == idempotent
	err := s.loop.Submit(request, statement, func(answer dispatch.Response, result any) {
		done(s.finalOutcome(answer, result, repeatable))
	})
	if err != nil {
		done(outcome{err: &Error{codeFailed, "58000", err.Error()}})
	}
}

// finalOutcome words an answer for the client.
func (s *Server) finalOutcome(answer dispatch.Response, result any, repeatable bool) outcome {
	switch answer.Outcome {
	case dispatch.Served:
		s.Counters.Served++
		r, _ := result.(*Result)
		return outcome{result: r}
	case dispatch.Rejected:
		s.Counters.Rejected++
		return outcome{err: rejectionAfter(answer.RetryAfterMS)}
	default:
		s.Counters.Failed++
		return outcome{err: failure(answer, repeatable)}
	}
}

func failure(answer dispatch.Response, repeatable bool) *Error {
	switch {
	case answer.MayHaveRun && !repeatable:
		return mayHaveRun()
	case answer.DeadlinePassed:
		return &Error{codeDeadline, "HYT00", "the deadline came before an answer"}
	default:
		return &Error{codeFailed, "58000", "failed: no engine could answer"}
	}
}

func mayHaveRun() *Error {
	return &Error{codeMayHaveRun, "08007", "failed, and it may have run: do not simply repeat it"}
}

// rejection is the error for what the server itself rejects.
func (s *Server) rejection() *Error { return rejectionAfter(s.config.Settings.Limits.MaxRetryAfterMS) }

func rejectionAfter(retryAfterMS float64) *Error {
	message := fmt.Sprintf("refused, nothing ran: try again in %.0f ms", math.Ceil(retryAfterMS))
	return &Error{codeRejected, "53300", message}
}
