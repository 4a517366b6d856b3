package mysql

import (
	"encoding/binary"
	"fmt"
	"net"
	"testing"

	"dewhill/control"
)

// RawClient is a client that can send incomplete commands and need not wait for
// responses.
type RawClient struct {
	*net.TCPConn
	stream *stream
}

// NewRawClient connects to a server and logs in.
func NewRawClient(t *testing.T, addr, user, password string) *RawClient {
	t.Helper()
	c, err := DialRaw(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.LogIn(user, password); err != nil {
		t.Fatal(err)
	}
	return c
}

// DialRaw connects to a server. The client is not logged in.
func DialRaw(addr string) (*RawClient, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &RawClient{conn.(*net.TCPConn), newStream(conn)}, nil
}

// LogIn reads the greeting and logs in.
func (c *RawClient) LogIn(user, password string) error {
	_, err := logIn(c.stream, user, password, "")
	return err
}

// SelectDatabase selects the client's database.
func (c *RawClient) SelectDatabase(name string) error {
	if err := c.stream.sendCommand(comInitDB, []byte(name)); err != nil {
		return err
	}
	return c.ReadResponse()
}

// AwaitGreeting waits until the greeting has arrived, which LogIn then reads.
func (c *RawClient) AwaitGreeting() error { return c.stream.buffer.FillTo(headerBytes) }

// PrepareAndExecute prepares a statement without parameters and executes it. The response
// to the prepared statement must be an OK packet.
func (c *RawClient) PrepareAndExecute(sql string) error {
	if err := c.SendPrepared(sql); err != nil {
		return err
	}
	return c.ReadResponse()
}

// SendPrepared prepares a statement without parameters and sends its execution.
func (c *RawClient) SendPrepared(sql string) error {
	if err := c.stream.sendCommand(comStmtPrepare, []byte(sql)); err != nil {
		return err
	}
	c.stream.sequence = 1
	response, err := c.stream.readPacket()
	if err != nil {
		return err
	}
	if len(response) <= handleBytes || response[0] != okMark {
		return fmt.Errorf("response to prepare: %q", response)
	}
	handle := binary.LittleEndian.Uint32(response[1:])
	return c.stream.sendCommand(comStmtExecute, encodeExecute(handle, nil))
}

// Answer is the response to a statement.
type Answer struct {
	Code    uint16 // of an error; 0: success
	Message string
}

// ReadAnswer reads the response to a statement: an OK packet, an error, or rows.
func (c *RawClient) ReadAnswer() (Answer, error) {
	c.stream.sequence = 1
	payload, err := c.stream.readPacket()
	if err != nil || len(payload) == 0 || payload[0] == okMark {
		return Answer{}, err
	}
	const parts = 2 // the columns and the rows, which both end with an EOF packet
	for ended := 0; ended < parts; {
		if isError(payload) {
			failure := parseError(payload)
			return Answer{failure.Code, failure.Message}, nil
		}
		if payload, err = c.stream.readPacket(); err != nil {
			return Answer{}, err
		}
		if isEOF(payload) {
			ended++
		}
	}
	return Answer{}, nil
}

// ReadResponse reads the response to a command, which must be an OK packet.
func (c *RawClient) ReadResponse() error {
	c.stream.sequence = 1 // commands that were sent ahead have reset it
	response, err := c.stream.readPacket()
	if err != nil {
		return err
	}
	if len(response) == 0 || response[0] != okMark {
		return fmt.Errorf("response %q", response)
	}
	return nil
}

// Send sends a statement without waiting for the response.
func (c *RawClient) Send(sql string) error { return c.stream.sendCommand(comQuery, []byte(sql)) }

// SendPartial sends the header of a command of the given length and only the first
// sentBytes of the command.
func (c *RawClient) SendPartial(length, sentBytes int) {
	head := binary.LittleEndian.AppendUint32(nil, uint32(length))
	// An error does not matter: the server may close the connection during the write.
	_, _ = c.Write(append(head, make([]byte, sentBytes)...))
}

// ReadOK reads a response and reports whether it is an OK packet.
func (c *RawClient) ReadOK() bool {
	return c.ReadResponse() == nil
}

// TestResultDuringInterrupt checks that a result that arrives while its session is
// interrupted is reported as served, and that the session is not used any more.
func TestResultDuringInterrupt(t *testing.T) {
	loop := &fakeLoop{now: 1000}
	p := NewPool(loop, Limits{ConnectionsPerEngine: 4}, 0)
	p.SetEndpoints([]Engine{{ID: "e"}}, nil)
	e := p.engines["e"]
	s := &session{engine: e, busy: true, attempts: make(chan *attempt, 1)}
	e.sessions = append(e.sessions, s)
	s.interrupt()
	p.attemptEnded(&attempt{requestID: "q", session: s}, attemptDone{result: &Result{}})
	if len(loop.ended) != 1 || loop.ended[0] != control.Served || !s.closed || len(e.sessions) != 0 {
		t.Errorf("results %v, session closed: %v, %d sessions left; want one result Served and no session",
			loop.ended, s.closed, len(e.sessions))
	}
}

// TestLateOrCancelledStatementIsNotWritten checks that a statement is not written if its
// attempt was cancelled or its write deadline has passed.
func TestLateOrCancelledStatementIsNotWritten(t *testing.T) {
	for _, test := range []struct {
		writeByMS          float64
		cancelled, written bool
	}{{0, false, true}, {1000, false, true}, {999, false, false}, {0, true, false}} {
		a := &attempt{writeByMS: test.writeByMS, cancelled: test.cancelled}
		if err := a.markWritten(1000); (err == nil) != test.written || a.written != test.written {
			t.Errorf("%+v: markWritten returned %v, written: %v", test, err, a.written)
		}
	}
}

// TestEngineChangesWhileConnecting checks that a statement that waits for a connection is
// not written if the engine starts to drain, gets another address or is removed in the
// meantime, and that a statement that was already written is not cancelled.
func TestEngineChangesWhileConnecting(t *testing.T) {
	for name, list := range map[string][]Engine{"drains": {{ID: "e", State: "leaving"}}, "moves": {{ID: "e", Address: "other"}}, "removed": nil} {
		p := NewPool(&fakeLoop{now: 1000}, Limits{ConnectionsPerEngine: 4}, 0)
		p.SetEndpoints([]Engine{{ID: "e"}}, nil)
		e := p.engines["e"]
		s := &session{engine: e, busy: true}
		waiting := &attempt{requestID: "waiting", session: s}
		inFlight := &attempt{requestID: "in flight", session: s, written: true}
		e.sessions = []*session{s}
		e.attempts = map[attemptKey]*attempt{waiting.key(): waiting, inFlight.key(): inFlight}
		p.SetEndpoints(list, nil)
		if waiting.markWritten(0) == nil || inFlight.cancelled {
			t.Errorf("%s: cancelled: waiting attempt %v, want true; attempt in flight %v, want false",
				name, waiting.cancelled, inFlight.cancelled)
		}
	}
}
