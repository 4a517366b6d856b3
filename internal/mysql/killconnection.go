package mysql

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	killTimeout = 2 * time.Second // for the reply to a KILL QUERY or a ping

	// killConfirmWait is how long a new session waits for a sign of life of the kill
	// connection that it is to use, before another one is opened.
	killConfirmWait = 300 * time.Millisecond
)

var errKillConnectionLost = errors.New("the connection for it is lost, so the engine may have restarted")

// killConnection is a connection to an engine over which statements of its sessions are
// ended by KILL QUERY.
//
// KILL QUERY names a connection by its thread ID, which an engine counts from its start. On a
// new connection the thread ID may be that of another client, if the engine has restarted since
// the session was opened. So a kill connection is opened before the sessions that use it: as
// long as it works, the engine has not restarted since, and the thread IDs are theirs. Once it
// is lost, no statement of these sessions is ended by KILL QUERY any more, and none of them
// runs another statement.
type killConnection struct {
	engine   *engine
	endpoint Engine // to which it is connected; constant

	replies *stream // read by one goroutine

	mu       sync.Mutex // guards the fields below
	commands *stream
	awaiting []chan error // of the commands without a reply, in the order in which they were sent
	lost     bool

	// Used by the event loop.
	users   int  // sessions and commands that use it; the last one closes it
	retired bool // it is lost, or was slow to answer: no session uses it for another statement
}

func newKillConnection(e *engine, endpoint Engine, loggedIn *stream) *killConnection {
	return &killConnection{engine: e, endpoint: endpoint, replies: loggedIn, commands: newStream(loggedIn.conn)}
}

// execute sends a command and waits for the reply. The error is an *Error if the engine
// replied with one, and errKillConnectionLost if there is no reply within killTimeout. It does
// not wait for the replies to earlier commands, so that a crowd of statements ends at once.
func (k *killConnection) execute(command byte, argument []byte) error {
	answer, err := k.send(command, argument)
	if err != nil {
		k.lose()
		return errKillConnectionLost
	}
	select {
	case err := <-answer:
		return err
	case <-time.After(killTimeout):
		k.lose()
		return errKillConnectionLost
	}
}

func (k *killConnection) send(command byte, argument []byte) (answer <-chan error, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lost {
		return nil, errKillConnectionLost
	}
	answered := make(chan error, 1)
	k.awaiting = append(k.awaiting, answered)
	_ = k.commands.conn.SetWriteDeadline(time.Now().Add(killTimeout))
	return answered, k.commands.sendCommand(command, argument)
}

// readReplies reads the replies until the connection is lost or closed.
func (k *killConnection) readReplies() {
	_ = k.replies.conn.SetReadDeadline(time.Time{})
	for {
		k.replies.sequence = 1 // each reply is one packet, after that of the command
		payload, err := k.replies.readPacket()
		if err != nil || !k.answer(payload) {
			k.lose()
			return
		}
	}
}

// answer gives a reply to the oldest command without one, and reports whether there was one.
func (k *killConnection) answer(payload []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.awaiting) == 0 {
		return false
	}
	var err error
	if isError(payload) {
		err = parseError(payload)
	}
	k.awaiting[0] <- err
	k.awaiting = k.awaiting[1:]
	return true
}

// lose closes the connection; no further command is sent, and those in flight have failed.
func (k *killConnection) lose() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lost {
		return
	}
	k.lost = true
	_ = k.commands.conn.Close()
	for _, answered := range k.awaiting {
		answered <- errKillConnectionLost
	}
	k.awaiting = nil
}

// close ends a connection that is no longer used.
func (k *killConnection) close() {
	_, _ = k.send(comQuit, nil) // an error does not matter: the connection is closed next
	k.lose()
}

// killQuery ends the statement that runs on the session with this thread ID.
func (k *killConnection) killQuery(threadID uint32) error {
	return k.execute(comQuery, fmt.Appendf(nil, "KILL QUERY %d", threadID))
}

// ping checks that the connection works. An engine that does not know the command works too.
func (k *killConnection) ping() error {
	err := k.execute(comPing, nil)
	var reply *Error
	if errors.As(err, &reply) {
		return nil
	}
	return err
}

// killConnectionOpening is the wait of new sessions for a kill connection.
type killConnectionOpening struct {
	endpoint Engine
	sessions []*session
}

// awaitKillConnection gives a session the kill connection that it will use, before the session
// itself connects. It is called by the session's goroutine.
func (p *Pool) awaitKillConnection(s *session) error {
	ready := make(chan error, 1)
	s.killConnectionReady = ready
	p.loop.Post(func() { p.assignKillConnection(s) })
	return <-ready
}

// assignKillConnection gives a session the engine's kill connection, once that has shown that
// it works, or a new one.
func (p *Pool) assignKillConnection(s *session) {
	e := s.engine
	if e.opening != nil && e.opening.endpoint.sameServer(&s.endpoint) {
		e.opening.sessions = append(e.opening.sessions, s)
		return
	}
	opening := &killConnectionOpening{endpoint: s.endpoint, sessions: []*session{s}}
	e.opening = opening
	current := e.killConnection
	if current != nil && (current.retired || !current.endpoint.sameServer(&s.endpoint)) {
		current = nil
	}
	if current != nil {
		current.users++ // it is not closed meanwhile
	}
	go func() {
		k, err := p.confirmOrOpen(current, e, opening.endpoint)
		p.loop.Post(func() {
			p.killConnectionOpened(opening, k, err)
			p.release(current)
		})
	}()
}

// confirmOrOpen returns a kill connection that works: the current one if it answers soon, else
// a new one.
func (p *Pool) confirmOrOpen(current *killConnection, e *engine, endpoint Engine) (*killConnection, error) {
	if current != nil {
		answered := make(chan error, 1)
		go func() { answered <- current.ping() }()
		select {
		case err := <-answered:
			if err == nil {
				return current, nil
			}
		case <-time.After(killConfirmWait):
		}
	}
	stream, _, err := p.connect(endpoint)
	if err != nil {
		return nil, err
	}
	k := newKillConnection(e, endpoint, stream)
	go func() {
		k.readReplies()
		p.loop.Post(func() { p.retire(k) })
	}()
	return k, nil
}

// killConnectionOpened gives the sessions that wait a kill connection, or the error.
func (p *Pool) killConnectionOpened(opening *killConnectionOpening, k *killConnection, err error) {
	e := opening.sessions[0].engine
	if e.opening == opening {
		e.opening = nil
	}
	if err == nil && k != e.killConnection && !k.retired && k.endpoint.sameServer(&e.Engine) {
		p.retire(e.killConnection)
		e.killConnection = k
	}
	for _, s := range opening.sessions {
		if err == nil {
			s.killConnection = k
			k.users++
		}
		s.killConnectionReady <- err // the session has an attempt, so it has not been closed
	}
}

// retire ends the use of a kill connection for further statements: idle sessions that use it
// are closed, the others after their statement.
func (p *Pool) retire(k *killConnection) {
	if k == nil || k.retired {
		return
	}
	k.retired = true
	if k.engine.killConnection == k {
		k.engine.killConnection = nil
	}
	p.closeIdle(k.engine, func(s *session) bool { return s.killConnection == k })
}

// release records that a session or a command no longer uses a kill connection.
func (p *Pool) release(k *killConnection) {
	if k == nil {
		return
	}
	k.users--
	if k.users > 0 {
		return
	}
	if k.engine.killConnection == k {
		k.engine.killConnection = nil
	}
	go k.close()
}

// pingKillConnection checks an engine's kill connection, which otherwise may be lost without
// notice, or closed by the engine because it is idle.
func (p *Pool) pingKillConnection(e *engine) {
	if e.killConnection != nil {
		go func(k *killConnection) { _ = k.ping() }(e.killConnection) // if it fails, the connection is lost
	}
}

// connect opens a connection to an engine and logs in. It selects no database: an engine refuses
// the login of a client's database that does not exist, as if the engine were not available.
func (p *Pool) connect(endpoint Engine) (*stream, uint32, error) {
	conn, err := net.DialTimeout("tcp", endpoint.Address, p.connectTimeout)
	if err != nil {
		return nil, 0, err
	}
	_ = conn.SetDeadline(time.Now().Add(p.connectTimeout + logInTimeout))
	stream := newStream(conn)
	threadID, err := logIn(stream, endpoint.User, endpoint.Password, "")
	if err != nil {
		_ = conn.Close()
		return nil, 0, err
	}
	return stream, threadID, nil
}
