package mysql

import "dewhill/internal/dispatch"

// maxAwaitingKillDivisor bounds the sessions that await the end of their KILL QUERY, as a part
// of the sessions of an engine. Others are closed, so that a crowd of clients that leave does
// not keep an engine from running statements.
const maxAwaitingKillDivisor = 4

// CancelAttempt cancels an attempt. If its statement was written, a KILL QUERY is
// sent on another connection, because a connection that runs a statement accepts no
// commands.
func (p *Pool) CancelAttempt(cancel dispatch.CancelAttempt) {
	e := p.engines[cancel.Engine]
	if e == nil {
		return
	}
	a := e.attempts[attemptKey{cancel.RequestID, cancel.Attempt}]
	if a == nil {
		return
	}
	written := a.markCancelled()
	s := a.session
	if s.killing {
		return
	}
	interrupt := func() {
		if e.attempts[a.key()] == a {
			s.interrupt()
		}
	}
	if !written {
		go p.loop.Post(interrupt)
		return
	}
	p.kill(s, interrupt)
}

// kill ends the statement of a session by KILL QUERY, and calls done once that has ended.
func (p *Pool) kill(s *session, done func()) {
	p.Counters.Kills++
	k := s.killConnection
	s.killing = true
	k.users++
	go func() {
		err := k.killQuery(s.threadID)
		p.loop.Post(func() {
			p.killEnded(s, err)
			p.release(k)
			done()
		})
	}()
}

// awaitKill keeps a session whose attempt has ended from being used while its KILL QUERY may
// still arrive: it would end the next statement. killed means that the KILL QUERY has ended
// the statement of the attempt.
func (p *Pool) awaitKill(s *session, killed bool) {
	awaiting := 0
	for _, other := range s.engine.sessions {
		if other.awaitingKill {
			awaiting++
		}
	}
	if !killed || awaiting >= p.limits.ConnectionsPerEngine/maxAwaitingKillDivisor {
		p.closeSession(s)
		p.removeIfUnused(s.engine)
		return
	}
	s.busy = true
	s.awaitingKill = true
}

// killEnded logs the failure of a KILL QUERY, and lets its session be used again. After a
// failure the KILL QUERY may still arrive, so that the session is closed.
func (p *Pool) killEnded(s *session, err error) {
	s.killing = false
	if err != nil {
		p.loop.Logf("engine %s: KILL QUERY %d failed: %v", s.engine.ID, s.threadID, err)
	}
	if !s.awaitingKill {
		return
	}
	s.awaitingKill = false
	s.busy = false
	s.idleSinceMS = p.loop.Now()
	if err != nil || !s.isReusable() {
		p.closeSession(s)
		p.removeIfUnused(s.engine)
	}
}
