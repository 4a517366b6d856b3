package mysql

import (
	"fmt"
	"net"
	"time"

	"dewhill/internal/dispatch"
)

const killTimeout = 2 * time.Second // for the login and the command

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
	if written {
		p.Counters.Kills++
		s.killing = true
	}
	go func() {
		var err error
		if written {
			err = p.sendKill(s.endpoint, s.threadID)
		}
		p.loop.Post(func() {
			if written {
				p.killEnded(s, err)
			}
			if e.attempts[a.key()] == a {
				s.interrupt()
			}
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
		p.loop.Logf("engine %s: KILL QUERY failed: %v", s.engine.ID, err)
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

// sendKill ends the statement that runs on the connection with this thread ID.
func (p *Pool) sendKill(e Engine, threadID uint32) error {
	conn, err := net.DialTimeout("tcp", e.Address, p.connectTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(killTimeout)); err != nil {
		return err
	}
	stream := newStream(conn)
	if _, err := logIn(stream, e.User, e.Password, ""); err != nil {
		return err
	}
	if err := stream.sendCommand(comQuery, fmt.Appendf(nil, "KILL QUERY %d", threadID)); err != nil {
		return err
	}
	payload, err := stream.readPacket()
	if err != nil {
		return err
	}
	if isError(payload) {
		return parseError(payload)
	}
	return nil
}
