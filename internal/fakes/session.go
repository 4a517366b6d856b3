package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// session is a connection of a front end to an engine.
type session struct {
	engine   *Engine
	conn     net.Conn
	writeMu  sync.Mutex
	attempts map[string]*Attempt // open attempts, by id; guarded by engine.mu
	pages    map[string][]string // pages of results, by id of the request; guarded by engine.mu
}

const (
	maxStatementBytes = 1 << 20
	lineEnd           = "\r\n"
)

// serve handles commands until the connection ends or a command violates the protocol.
func (s *session) serve() {
	defer s.endOpenAttempts()
	reader := bufio.NewReader(s.conn)
	for {
		line, err := s.nextLine(reader)
		if err != nil {
			return
		}
		if !s.handle(line, reader) {
			return
		}
	}
}

// handle handles a command and reports whether the connection stays open.
func (s *session) handle(line string, reader *bufio.Reader) bool {
	words := strings.Split(strings.TrimSuffix(line, lineEnd), " ")
	verb := words[0]
	arguments := words[1:]
	s.countCommand(verb)
	switch {
	case verb == "PULL" && len(arguments) == 3:
		statement, ok := s.readStatement(reader, arguments[2])
		return ok && s.startAttempt(arguments[0], arguments[1], statement)
	case verb == "SCROLL" && len(arguments) == 2:
		return s.sendPage(arguments[0], arguments[1])
	case (verb == "KILL" || verb == "DISCARD") && len(arguments) == 1:
		s.endAttempt(arguments[0], Cancelled)
	case verb == "BOOST" && len(arguments) == 2:
	case (verb == "ECHO" || verb == "METER") && len(arguments) == 1:
		s.send("%s", emptyReply(arguments[0], "READY"))
	default:
		s.recordViolation("command %q", line)
		return false
	}
	return true
}

func (s *session) countCommand(verb string) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.commandCounts[verb]++
}

// readStatement reads a statement and the line end after it. ok is false if the connection must be
// closed.
func (s *session) readStatement(reader *bufio.Reader, length string) (statement string, ok bool) {
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 || n > maxStatementBytes {
		s.recordViolation("length %q", length)
		return "", false
	}
	body := make([]byte, n+len(lineEnd))
	if _, err := io.ReadFull(reader, body); err != nil {
		return "", false
	}
	return string(body[:n]), true
}

// nextLine reads a line. It fails if no attempt is open and nothing is received within IdleTimeout.
func (s *session) nextLine(reader *bufio.Reader) (string, error) {
	for {
		if s.engine.IdleTimeout > 0 {
			_ = s.conn.SetReadDeadline(time.Now().Add(s.engine.IdleTimeout))
		}
		_, err := reader.Peek(1)
		var netError net.Error
		if errors.As(err, &netError) && netError.Timeout() && s.busy() {
			continue
		}
		if err != nil {
			return "", err
		}
		_ = s.conn.SetReadDeadline(time.Time{})
		return reader.ReadString('\n')
	}
}

// busy reports whether an attempt is open on the connection.
func (s *session) busy() bool {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return len(s.attempts) > 0
}

func (s *session) recordViolation(format string, args ...any) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.protocolErrors = append(s.engine.protocolErrors, fmt.Sprintf(format, args...))
}

// startAttempt records an attempt and handles it. It reports whether the connection stays open.
func (s *session) startAttempt(id, fields, statement string) bool {
	a := &Attempt{
		ID:           id,
		Engine:       s.engine.ID,
		FrontEndAddr: s.conn.RemoteAddr().String(),
		Fields:       s.parseFields(id, fields),
		RawFields:    fields,
		Statement:    statement,
		ReceivedAt:   time.Now(),
	}
	recorded := s.recordAttempt(a)
	if s.engine.Script != nil {
		return s.runScript(Command{ID: id, Statement: statement})
	}
	behavior := Behavior{}
	if s.engine.Handle != nil {
		behavior = s.engine.Handle(recorded)
	}
	go s.respond(a, behavior)
	return true
}

// runScript writes the text that the script of the engine returns for a command, and reports whether
// the connection stays open.
func (s *session) runScript(c Command) bool {
	reply := s.engine.Script(c)
	if reply == ResetConnection {
		reset(s.conn)
		return false
	}
	if reply != "" {
		s.endAttempt(c.ID, Replied)
		s.send("%s", reply)
	}
	return true
}

// parseFields parses the fields of an attempt. A malformed or repeated field violates the protocol.
func (s *session) parseFields(id, text string) map[string]string {
	fields := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(part, "=")
		if _, repeated := fields[name]; !found || repeated {
			s.recordViolation("fields %q of %s", text, id)
		}
		fields[name] = value
	}
	return fields
}

// recordAttempt adds an attempt to the records and returns a copy of it.
func (s *session) recordAttempt(a *Attempt) Attempt {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.attempts[a.ID] != nil {
		s.engine.protocolErrors = append(s.engine.protocolErrors,
			"id "+a.ID+" is open already on this connection")
	}
	s.engine.attempts = append(s.engine.attempts, a)
	s.attempts[a.ID] = a
	return *a
}

// respond carries out the behavior for an attempt, as long as the attempt is open.
func (s *session) respond(a *Attempt, b Behavior) {
	started := time.Now()
	if b.RawPrefix != "" {
		s.send("%s", b.RawPrefix)
	}
	for _, note := range b.Notes {
		time.Sleep(time.Until(started.Add(note.After)))
		if !s.isOpen(a) {
			return
		}
		s.send("%s EVENT %s 0\r\n\r\n", a.ID, note.Fields)
	}
	if b.NeverReplies {
		return
	}
	time.Sleep(time.Until(started.Add(b.Duration)))
	if s.isOpen(a) {
		s.sendFinalReply(a, b)
	}
}

// sendFinalReply sends the final reply of an attempt, or resets the connection.
func (s *session) sendFinalReply(a *Attempt, b Behavior) {
	switch {
	case b.Reset:
		reset(s.conn)
	case b.RawReply != "":
		s.send("%s", b.RawReply)
		s.recordReply(a.ID, "ACK")
	case b.Verb != "" && b.Verb != "ACK":
		s.recordReply(a.ID, b.Verb)
		s.send("%s", emptyReply(a.ID, b.Verb))
	default:
		pages := b.Pages
		if len(pages) == 0 {
			pages = []string{""}
		}
		s.keepPages(a.ID, pages)
		s.recordReply(a.ID, "ACK")
		s.send("%s", ResultReply(a.ID, fmt.Sprintf("batches=%d,cpu=10,used=4", len(pages)), pages[0]))
	}
}

func (s *session) keepPages(id string, pages []string) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.pages[id] = pages
}

// sendPage sends a further page of a result. It reports whether the connection stays open.
func (s *session) sendPage(id, number string) bool {
	k, err := strconv.Atoi(number)
	if err != nil || k < 1 {
		s.recordViolation("page %q of %s", number, id)
		s.send("%s", ErrorReply(id))
		return true
	}
	if s.engine.Script != nil {
		return s.runScript(Command{ID: id, Page: k})
	}
	s.engine.mu.Lock()
	pages := s.pages[id]
	s.engine.mu.Unlock()
	if k < len(pages) {
		s.send("%s", PageReply(id, k, pages[k]))
	} else {
		s.send("%s", ErrorReply(id))
	}
	return true
}

// isOpen reports whether an attempt is open on this connection.
func (s *session) isOpen(a *Attempt) bool {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.attempts[a.ID] == a
}

// recordReply records the final reply of an attempt, if the attempt is open.
func (s *session) recordReply(id, verb string) {
	s.engine.mu.Lock()
	if a := s.attempts[id]; a != nil {
		a.Verb = verb
	}
	s.engine.mu.Unlock()
	s.endAttempt(id, Replied)
}

// endAttempt records the end of an attempt, if the attempt is open. Cancelling a request also deletes
// the pages of its result.
func (s *session) endAttempt(id string, end End) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if a := s.attempts[id]; a != nil {
		a.End = end
		a.EndedAt = time.Now()
		delete(s.attempts, id)
	}
	if end == Cancelled {
		delete(s.pages, id)
	}
}

// endOpenAttempts closes the connection and records the end of the attempts that are still open.
func (s *session) endOpenAttempts() {
	_ = s.conn.Close()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, a := range s.attempts {
		a.End = ConnectionClosed
		a.EndedAt = time.Now()
	}
	clear(s.attempts)
}

func (s *session) send(format string, args ...any) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_, _ = fmt.Fprintf(s.conn, format, args...)
}
