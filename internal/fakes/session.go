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

// session is one connection of a front end to an engine.
type session struct {
	engine   *Engine
	conn     net.Conn
	writeMu  sync.Mutex
	attempts map[string]*Attempt // open, by id; guarded by engine.mu, as is pages
	pages    map[string][]string
}

const (
	maxStatementBytes = 1 << 20
	lineEnd           = "\r\n"
)

// serve handles commands until the connection ends or breaks the protocol.
func (s *session) serve() {
	defer s.endAll()
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

// handle handles a command and reports whether the connection goes on.
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
		s.violation("command %q", line)
		return false
	}
	return true
}

func (s *session) countCommand(verb string) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.commandCounts[verb]++
}

func (s *session) readStatement(reader *bufio.Reader, length string) (statement string, ok bool) {
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 || n > maxStatementBytes {
		s.violation("length %q", length)
		return "", false
	}
	body := make([]byte, n+len(lineEnd))
	if _, err := io.ReadFull(reader, body); err != nil {
		return "", false
	}
	return string(body[:n]), true
}

// nextLine reads a line. It fails when the connection has been idle for too long.
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

func (s *session) violation(format string, args ...any) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.protocolErrors = append(s.engine.protocolErrors, fmt.Sprintf(format, args...))
}

// startAttempt records an attempt and responds to it. It reports whether the connection
// goes on.
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
	recorded := s.record(a)
	if s.engine.Script != nil {
		return s.runScript(Command{ID: id, Statement: statement})
	}
	response := Behavior{}
	if s.engine.Handle != nil {
		response = s.engine.Handle(recorded)
	}
	go s.respond(a, response)
	return true
}

// runScript writes what the engine's script returns for a command, and reports whether
// the connection goes on.
func (s *session) runScript(c Command) bool {
	answer := s.engine.Script(c)
	if answer == ResetConnection {
		reset(s.conn)
		return false
	}
	if answer != "" {
		s.endAttempt(c.ID, Replied)
		s.send("%s", answer)
	}
	return true
}

func (s *session) parseFields(id, text string) map[string]string {
	fields := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(part, "=")
		if _, repeated := fields[name]; !found || repeated {
			s.violation("fields %q of %s", text, id)
		}
		fields[name] = value
	}
	return fields
}

// record adds an attempt to the records and returns a copy of it.
func (s *session) record(a *Attempt) Attempt {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.attempts[a.ID] != nil {
		s.engine.protocolErrors = append(s.engine.protocolErrors, "id "+a.ID+" is open on this connection already")
	}
	s.engine.attempts = append(s.engine.attempts, a)
	s.attempts[a.ID] = a
	return *a
}

// respond sends a response, as long as the attempt is open.
func (s *session) respond(a *Attempt, r Behavior) {
	started := time.Now()
	if r.RawPrefix != "" {
		s.send("%s", r.RawPrefix)
	}
	for _, note := range r.Notes {
		time.Sleep(time.Until(started.Add(note.After)))
		if !s.isOpen(a) {
			return
		}
		s.send("%s EVENT %s 0\r\n\r\n", a.ID, note.Fields)
	}
	if r.NeverReplies {
		return
	}
	time.Sleep(time.Until(started.Add(r.Duration)))
	if s.isOpen(a) {
		s.sendLast(a, r)
	}
}

// sendLast sends the last reply of an attempt.
func (s *session) sendLast(a *Attempt, r Behavior) {
	switch {
	case r.Reset:
		reset(s.conn)
	case r.RawReply != "":
		s.send("%s", r.RawReply)
		s.answered(a.ID, "ACK")
	case r.Verb != "" && r.Verb != "ACK":
		s.answered(a.ID, r.Verb)
		s.send("%s", emptyReply(a.ID, r.Verb))
	default:
		pages := r.Pages
		if len(pages) == 0 {
			pages = []string{""}
		}
		s.keepPages(a.ID, pages)
		s.answered(a.ID, "ACK")
		s.send("%s", ResultReply(a.ID, fmt.Sprintf("batches=%d,cpu=10,used=4", len(pages)), pages[0]))
	}
}

func (s *session) keepPages(id string, pages []string) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.pages[id] = pages
}

// sendPage sends a further page of a result. It reports whether the connection goes on.
func (s *session) sendPage(id, number string) bool {
	k, err := strconv.Atoi(number)
	if err != nil || k < 1 {
		s.violation("page %q of %s", number, id)
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

// isOpen reports whether an attempt has not ended.
func (s *session) isOpen(a *Attempt) bool {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.attempts[a.ID] == a
}

// answered records an attempt's last reply, if it is open.
func (s *session) answered(id, verb string) {
	s.engine.mu.Lock()
	if a := s.attempts[id]; a != nil {
		a.Verb = verb
	}
	s.engine.mu.Unlock()
	s.endAttempt(id, Replied)
}

// endAttempt records an attempt's end, if it is open.
func (s *session) endAttempt(id string, how End) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if a := s.attempts[id]; a != nil {
		a.End = how
		a.EndedAt = time.Now()
		delete(s.attempts, id)
	}
	if how == Cancelled {
		delete(s.pages, id)
	}
}

// endAll ends what is open on a connection that has ended.
func (s *session) endAll() {
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
