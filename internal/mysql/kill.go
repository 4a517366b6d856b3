package mysql

import (
	"fmt"
	"net"
	"time"

	"dewhill/internal/dispatch"
)

const killTimeout = 2 * time.Second // for the login and the command

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
	if written {
		p.Counters.Kills++
	}
	go func() {
		if written {
			p.killQuery(a.session.endpoint, a.session.threadID)
		}
		p.loop.Post(func() {
			if e.attempts[a.key()] == a {
				a.session.interrupt()
			}
		})
	}()
}

// killQuery ends the statement that runs on the connection with this thread ID, and
// logs a failure to do so.
func (p *Pool) killQuery(e Engine, threadID uint32) {
	if err := p.sendKill(e, threadID); err != nil {
		p.loop.Post(func() { p.loop.Logf("engine %s: KILL QUERY failed: %v", e.ID, err) })
	}
}

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
