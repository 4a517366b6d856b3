package mysql

import (
	"errors"
	"net"
	"time"
)

const (
	maxEnginePacketBytes = 1 << 24
	logInTimeout         = 2 * time.Second // beyond the time for the connection
	replyAllowance       = time.Second     // for an engine's answer after the request's deadline
	attemptQueueLength   = 1
)

// session is a connection to an engine with one statement at a time. Handles
// belong to it: they end with it, and no other connection can use them. The
// first fields are of its goroutine, the others of the event loop.
type session struct {
	stream      *stream // set on the event loop
	threadID    uint32  // the engine's number for the connection
	database    string
	handles     map[string]uint32 // by statementKey
	handleOrder []string          // their keys, oldest first
	counters    PoolCounters      // since the last attempt

	engine      *engine
	attempts    chan *attempt
	busy        bool
	closed      bool
	interrupted bool // closed while it ran a statement
	idleSinceMS float64
}

func newSession(e *engine) *session {
	return &session{engine: e, handles: map[string]uint32{}, attempts: make(chan *attempt, attemptQueueLength)}
}

// interrupt closes the connection; the session's goroutine then reports.
func (s *session) interrupt() {
	s.interrupted = true
	if s.stream != nil {
		_ = s.stream.conn.Close()
	}
}

// serveSession runs a session's attempts until it is closed or its connection
// breaks.
func (p *Pool) serveSession(s *session, e Engine) {
	broken := false
	for a := range s.attempts {
		done := p.serveAttempt(s, e, a)
		broken = done.broken
		p.loop.Post(func() { p.attemptEnded(a, done) })
		if broken {
			break
		}
	}
	if s.stream == nil {
		return
	}
	if !broken {
		_ = s.stream.conn.SetDeadline(time.Now().Add(writeTimeout))
		_ = s.stream.sendCommand(comQuit, nil) // the engine sees the close in any case
	}
	_ = s.stream.conn.Close()
}

// serveAttempt runs an attempt, on a connection that is opened first if
// necessary.
func (p *Pool) serveAttempt(s *session, e Engine, a *attempt) attemptDone {
	result, err := p.runAttempt(s, e, a)
	done := attemptDone{
		result:   result,
		err:      err,
		broken:   err != nil && !errors.Is(err, errNotWritten),
		counters: s.counters,
	}
	s.counters = PoolCounters{}
	return done
}

func (p *Pool) runAttempt(s *session, e Engine, a *attempt) (*Result, error) {
	if s.stream == nil {
		if err := p.openSession(s, e, a.statement.Database); err != nil {
			return nil, notWrittenError{err}
		}
	}
	remainingMS := max(1, a.deadlineMS-p.loop.Now())
	timeout := time.Duration(remainingMS)*time.Millisecond + replyAllowance
	_ = s.stream.conn.SetDeadline(time.Now().Add(timeout))
	result, err := s.runStatement(a, p.limits.ResultMB<<20, p.loop.Now)
	_ = s.stream.conn.SetDeadline(time.Time{})
	return result, err
}

// openSession connects and logs in.
func (p *Pool) openSession(s *session, e Engine, database string) error {
	s.counters.Dials++
	conn, err := net.DialTimeout("tcp", e.Address, p.connectTimeout)
	if err != nil {
		s.counters.DialFailures++
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(p.connectTimeout + logInTimeout))
	stream := newStream(conn)
	threadID, err := logIn(stream, e.User, e.Password, database)
	if err != nil {
		_ = conn.Close()
		return err
	}
	stream.maxPacketBytes = maxEnginePacketBytes
	s.threadID = threadID
	s.database = database
	done := make(chan struct{})
	p.loop.Post(func() {
		s.stream = stream
		close(done)
	})
	<-done
	return nil
}

// runStatement runs a statement. Errors are the connection's; a statement's own
// error is in the result.
func (s *session) runStatement(a *attempt, maxResultBytes int, now func() float64) (*Result, error) {
	statement := a.statement
	engineErr, err := s.selectDatabase(statement.Database)
	if err != nil {
		return nil, notWrittenError{err}
	}
	if engineErr != nil {
		return &Result{Err: engineErr}, nil
	}
	if statement.Prepared {
		return s.runPrepared(a, maxResultBytes, now)
	}
	if err := a.markWritten(now()); err != nil {
		return nil, err
	}
	s.counters.Queries++
	if err := s.stream.sendCommand(comQuery, []byte(statement.SQL)); err != nil {
		return nil, err
	}
	return s.readResult(maxResultBytes)
}

// selectDatabase changes the session's database if necessary.
func (s *session) selectDatabase(database string) (engineErr *Error, err error) {
	if database == s.database || database == "" {
		return nil, nil
	}
	if err := s.stream.sendCommand(comInitDB, []byte(database)); err != nil {
		return nil, err
	}
	payload, err := s.stream.readPacket()
	if err != nil {
		return nil, err
	}
	if isError(payload) {
		return parseError(payload), nil
	}
	s.database = database
	return nil, nil
}

// meansUnavailable reports whether an engine is shutting down or full.
func (e *Error) meansUnavailable() bool {
	return e.Code == codeServerShutdown || e.Code == codeTooManyConnections || e.Code == codeUserLimit
}
