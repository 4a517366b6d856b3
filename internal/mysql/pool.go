package mysql

import (
	"net"
	"slices"
	"time"

	"dewhill/control"
	"dewhill/internal/dispatch"
)

const idleCheckIntervalMS = 1000

// Statement is a statement for an engine to run.
type Statement struct {
	SQL      string
	Database string
	Prepared bool
	Params   []Param

	scope writeScope
}

// statementKey returns the key of a statement in a session's handles.
func statementKey(s *Statement) string { return s.Database + "\x00" + s.SQL }

// Pool holds the connections to MySQL engines. Each connection runs one statement
// at a time. The methods must be called on the event loop.
type Pool struct {
	Counters PoolCounters

	loop           EventLoop
	limits         Limits
	connectTimeout time.Duration
	engines        map[string]*engine
}

// engine is a MySQL server with its sessions and its attempts in flight.
type engine struct {
	Engine
	removed  bool
	sessions []*session
	attempts map[attemptKey]*attempt

	killConnection *killConnection        // for new sessions; nil: none is open
	opening        *killConnectionOpening // nil: no session waits for a kill connection
}

func (e *engine) draining() bool { return e.State == stateDraining }

// NewPool returns a pool without engines.
func NewPool(loop EventLoop, limits Limits, connectTimeout time.Duration) *Pool {
	p := &Pool{loop: loop, limits: limits, connectTimeout: connectTimeout, engines: map[string]*engine{}}
	loop.After(idleCheckIntervalMS, p.closeIdleSessions)
	return p
}

// SetEndpoints replaces the list of engines. It returns the list in the form that
// the decision logic takes. An engine's kind is given there as an index into kinds,
// the names of the engine kinds in the settings.
func (p *Pool) SetEndpoints(list []Engine, kinds []string) []control.EngineInfo {
	var infos []control.EngineInfo
	listed := map[string]bool{}
	for _, endpoint := range list {
		listed[endpoint.ID] = true
		p.setEndpoint(endpoint)
		infos = append(infos, control.EngineInfo{
			ID:       endpoint.ID,
			Kind:     slices.Index(kinds, endpoint.Kind),
			Size:     max(endpoint.Size, 1),
			Draining: endpoint.State == stateDraining,
		})
	}
	for id, e := range p.engines {
		if listed[id] || e.removed {
			continue
		}
		e.removed = true
		p.quiesce(e)
		p.removeIfUnused(e)
	}
	return infos
}

func (p *Pool) setEndpoint(endpoint Engine) {
	e := p.engines[endpoint.ID]
	if e == nil {
		e = &engine{attempts: map[attemptKey]*attempt{}}
		p.engines[endpoint.ID] = e
	}
	moved := !endpoint.sameServer(&e.Engine)
	e.Engine = endpoint
	e.removed = false
	if moved || e.draining() {
		p.quiesce(e)
	}
}

// sameServer reports whether two entries of an engine have the same server and account.
func (e *Engine) sameServer(other *Engine) bool {
	return e.Address == other.Address && e.User == other.User && e.Password == other.Password
}

// quiesce cancels the attempts whose statement has not been written, and closes
// the idle sessions; busy ones are closed when their attempts have ended. It must
// cancel attempts explicitly: a connection may be established long after the engine
// stopped getting new statements.
func (p *Pool) quiesce(e *engine) {
	for _, a := range e.attempts {
		a.cancelIfUnwritten()
	}
	p.closeIdle(e, func(*session) bool { return true })
}

// closeIdle closes the idle sessions of an engine that match.
func (p *Pool) closeIdle(e *engine, matches func(*session) bool) {
	for _, s := range slices.Clone(e.sessions) {
		if !s.busy && matches(s) {
			p.closeSession(s)
		}
	}
}

// removeIfUnused deletes an engine that is no longer listed and has no sessions.
func (p *Pool) removeIfUnused(e *engine) {
	if e.removed && len(e.sessions) == 0 {
		delete(p.engines, e.ID)
	}
}

// closeIdleSessions closes the sessions that have been idle for longer than the
// limit, checks the kill connections of the others, and schedules the next check.
func (p *Pool) closeIdleSessions() {
	now := p.loop.Now()
	for _, e := range p.engines {
		p.closeIdle(e, func(s *session) bool { return now-s.idleSinceMS > p.limits.IdleMS })
		p.pingKillConnection(e)
	}
	p.loop.After(idleCheckIntervalMS, p.closeIdleSessions)
}

// closeSession removes a session from its engine. If the session is running a
// statement, its connection is closed after that statement.
func (p *Pool) closeSession(s *session) {
	if s.closed {
		return
	}
	s.closed = true
	close(s.attempts)
	s.engine.sessions = slices.DeleteFunc(s.engine.sessions, func(other *session) bool { return other == s })
	p.release(s.killConnection)
}

// StartAttempt sends an attempt, whose work is a *Statement, on an idle session or
// a new one. The end of the attempt is always reported to the event loop, possibly
// before StartAttempt returns.
func (p *Pool) StartAttempt(start dispatch.StartAttempt, _ int, work any) {
	e := p.engines[start.Engine]
	statement, _ := work.(*Statement)
	if e == nil || e.removed || statement == nil {
		p.reportNotStarted(start, control.ConnectFailed)
		return
	}
	s := p.selectSession(e, statement)
	if s == nil { // a limit of the front end, which does not count against the engine
		p.reportNotStarted(start, control.NotSent)
		return
	}
	a := &attempt{
		requestID:  start.RequestID,
		number:     start.Attempt,
		statement:  statement,
		session:    s,
		deadlineMS: start.DeadlineAtMS,
		writeByMS:  start.WriteByMS,
	}
	s.busy = true
	e.attempts[a.key()] = a
	s.attempts <- a
}

func (p *Pool) reportNotStarted(start dispatch.StartAttempt, result control.Result) {
	p.loop.AttemptEnded(dispatch.AttemptEnded{RequestID: start.RequestID, Attempt: start.Attempt, Result: result}, nil)
}

// selectSession returns an idle session that suits the statement, or a new session. If the
// number of sessions has reached the limit for one engine, the new one replaces an idle one;
// selectSession returns nil if all are busy.
func (p *Pool) selectSession(e *engine, statement *Statement) *session {
	if s := e.idleSession(statement); s != nil {
		return s
	}
	if len(e.sessions) >= p.limits.ConnectionsPerEngine {
		unsuitable := e.idleSession(nil)
		if unsuitable == nil {
			return nil
		}
		p.closeSession(unsuitable)
	}
	s := newSession(e)
	e.sessions = append(e.sessions, s)
	go p.serveSession(s)
	return s
}

// idleSession returns an idle session that suits the statement, preferably one that has its
// handle, else one with its database; nil if there is none. Without a statement it returns any.
func (e *engine) idleSession(statement *Statement) *session {
	var best *session
	bestRank := 0
	for _, s := range e.sessions {
		if s.busy || s.closed {
			continue
		}
		if rank := s.rankFor(statement); rank > bestRank {
			best = s
			bestRank = rank
		}
	}
	return best
}

// SetPriority does nothing, because MySQL has no priorities.
func (p *Pool) SetPriority(dispatch.SetPriority) {}

// Probe connects to an engine and reports how long that took. MySQL engines send
// no load reports.
func (p *Pool) Probe(id string) {
	e := p.engines[id]
	if e == nil {
		return
	}
	addr := e.Address
	startedMS := p.loop.Now()
	go func() {
		result := control.ConnectFailed
		conn, err := net.DialTimeout("tcp", addr, p.connectTimeout)
		if err == nil {
			_ = conn.Close()
			result = control.Served
		}
		p.loop.Post(func() {
			p.loop.ProbeEnded(dispatch.ProbeEnded{Engine: id, Result: result, ElapsedMS: p.loop.Now() - startedMS})
		})
	}()
}
