package mysql

import (
	"errors"
	"net"
	"time"
)

const (
	maxEnginePacketBytes = 1 << 24
	logInTimeout         = 2 * time.Second // in addition to the connect timeout
	replyAllowance       = time.Second     // wait for an engine's reply after the request's deadline
	attemptQueueLength   = 1
)

// session is a connection to an engine, which runs one statement at a time. The
// handles of prepared statements belong to the session: they end with it, and no
// other connection can use them.
type session struct {
	// Written by the session's goroutine.
	stream      *stream // set on the event loop, so that interrupt can use it
	threadID    uint32  // the engine's ID of the connection
	database    string
	handles     map[string]uint32 // by statementKey
	handleOrder []string          // keys of handles, oldest first
	counters    PoolCounters      // of the current attempt

	endpoint Engine // to which the session connects; constant

	// Used by the event loop.
	engine      *engine
	attempts    chan *attempt
	busy        bool
	closed      bool
	interrupted bool // the connection was closed by interrupt
	idleSinceMS float64

	killConnection      *killConnection // over which its statements are killed; nil until it connects
	killConnectionReady chan<- error    // tells the session's goroutine that killConnection is set
	killing             bool            // a KILL QUERY for a statement of this session may still arrive
	awaitingKill        bool            // the session is busy only because of that
}

func newSession(e *engine) *session {
	return &session{
		engine:   e,
		endpoint: e.Engine,
		handles:  map[string]uint32{},
		attempts: make(chan *attempt, attemptQueueLength),
	}
}

// isReusable reports whether a session without an attempt may run another one: its
// connection is usable, its statements can be killed, its engine takes statements and has not
// moved.
func (s *session) isReusable() bool {
	if s.interrupted || s.killConnection == nil || s.killConnection.retired {
		return false
	}
	return !s.engine.removed && !s.engine.draining() && s.endpoint.sameServer(&s.engine.Engine)
}

// rankFor returns how well an idle session suits a statement; 0: not at all. A database that was
// selected once can't be deselected, so a statement without one needs a session that never
// had one: it would get rows of another client's database.
func (s *session) rankFor(statement *Statement) int {
	const (
		suits = iota + 1
		hasDatabase
		hasHandle
	)
	if statement == nil {
		return suits
	}
	_, prepared := s.handles[statementKey(statement)]
	switch {
	case statement.Database == "" && s.database != "":
		return 0
	case prepared:
		return hasHandle
	case statement.Database == s.database:
		return hasDatabase
	default:
		return suits
	}
}

// interrupt closes the connection of a session that runs a statement. The session's
// goroutine then reports the end of the attempt.
func (s *session) interrupt() {
	s.interrupted = true
	if s.stream != nil {
		_ = s.stream.conn.Close()
	}
}

// serveSession runs the attempts of a session until the session is closed or its
// connection breaks.
func (p *Pool) serveSession(s *session) {
	broken := false
	for a := range s.attempts {
		done := p.serveAttempt(s, a)
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
		_ = s.stream.sendCommand(comQuit, nil) // an error does not matter: the connection is closed next
	}
	_ = s.stream.conn.Close()
}

// serveAttempt runs an attempt and returns how it ended. It opens the session's
// connection first if necessary.
func (p *Pool) serveAttempt(s *session, a *attempt) attemptDone {
	result, err := p.runAttempt(s, a)
	done := attemptDone{
		result:   result,
		err:      err,
		broken:   err != nil && !errors.Is(err, errNotWritten),
		counters: s.counters,
	}
	s.counters = PoolCounters{}
	return done
}

func (p *Pool) runAttempt(s *session, a *attempt) (*Result, error) {
	if s.stream == nil {
		if err := p.openSession(s); err != nil {
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

// openSession connects to the engine and logs in.
func (p *Pool) openSession(s *session) error {
	s.counters.Dials++
	stream, threadID, err := p.connectSession(s)
	if err != nil {
		if isDialError(err) {
			s.counters.DialFailures++
		}
		return err
	}
	stream.maxPacketBytes = maxEnginePacketBytes
	s.threadID = threadID
	done := make(chan struct{})
	p.loop.Post(func() {
		s.stream = stream
		close(done)
	})
	<-done
	return nil
}

func (p *Pool) connectSession(s *session) (*stream, uint32, error) {
	if err := p.awaitKillConnection(s); err != nil {
		return nil, 0, err
	}
	return p.connect(s.endpoint)
}

// isDialError reports whether a connection was not established.
func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// runStatement runs the statement of an attempt. An error packet from the engine is
// part of the result. The returned error means that the attempt has no result, for
// example because the connection broke.
func (s *session) runStatement(a *attempt, maxResultBytes int, now func() float64) (*Result, error) {
	statement := a.statement
	if a.isCancelled() { // while the session was connecting: the engine may have moved since
		return nil, notWrittenError{errNotWritten}
	}
	engineErr, err := s.selectDatabase(statement.Database)
	if err != nil {
		return nil, notWrittenError{err}
	}
	if engineErr != nil {
		return refused(engineErr), nil
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
	return s.readReply(statement, maxResultBytes)
}

// selectDatabase changes the session's database if necessary. It returns the
// engine's error packet as engineErr. A session with a database gets no statement without one.
func (s *session) selectDatabase(database string) (engineErr *Error, err error) {
	if database == s.database || database == "" {
		return nil, nil
	}
	payload, err := s.stream.roundTrip(comInitDB, []byte(database))
	if err != nil {
		return nil, err
	}
	if isError(payload) {
		return parseError(payload), nil
	}
	s.database = database
	return nil, nil
}

// meansUnavailable reports whether the error says that the engine is shutting down
// or has reached its connection limit.
func (e *Error) meansUnavailable() bool {
	return e.Code == codeServerShutdown || e.Code == codeTooManyConnections || e.Code == codeUserLimit
}
