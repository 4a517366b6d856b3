package mysql

import (
	"encoding/binary"
	"net"
	"testing"

	"dewhill/control"
)

// RawClient is a client that sends anything and need not wait for answers.
type RawClient struct {
	*net.TCPConn
	stream *stream
}

// NewRawClient logs in to a server.
func NewRawClient(t *testing.T, addr, user, password string) *RawClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	c := &RawClient{conn.(*net.TCPConn), newStream(conn)}
	if _, err := logIn(c.stream, user, password, ""); err != nil {
		t.Fatal(err)
	}
	return c
}

// Send sends a statement without waiting for its answer.
func (c *RawClient) Send(sql string) error { return c.stream.sendCommand(comQuery, []byte(sql)) }

// SendPartial sends the header of a command with a length, and so many bytes of it.
func (c *RawClient) SendPartial(length, sentBytes int) {
	head := binary.LittleEndian.AppendUint32(nil, uint32(length))
	_, _ = c.Write(append(head, make([]byte, sentBytes)...)) // the server may close meanwhile
}

// ReadOK reads an answer and reports whether it is an OK.
func (c *RawClient) ReadOK() bool {
	p, err := c.stream.readPacket()
	return err == nil && len(p) > 0 && p[0] == okMark
}

// TestResultDuringInterrupt checks that a result that crosses the interruption of its
// session counts, and that the session is not used any more.
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
		t.Errorf("%v, closed %v, %d sessions", loop.ended, s.closed, len(e.sessions))
	}
}

// TestLateOrCancelledStatementIsNotWritten checks that a statement
// that is cancelled, or too late, is not written.
func TestLateOrCancelledStatementIsNotWritten(t *testing.T) {
	for _, test := range []struct {
		writeByMS          float64
		cancelled, written bool
	}{{0, false, true}, {1000, false, true}, {999, false, false}, {0, true, false}} {
		a := &attempt{writeByMS: test.writeByMS, cancelled: test.cancelled}
		if err := a.markWritten(1000); (err == nil) != test.written || a.written != test.written {
			t.Errorf("%+v: %v, written %v", test, err, a.written)
		}
	}
}

// TestEngineChangesWhileConnecting checks that a statement that waits for a connection is
// not written to an engine that drains, moves or is removed meanwhile, and that one in
// flight goes on.
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
			t.Errorf("%s: the waiting one is cancelled %v, the one in flight %v", name, waiting.cancelled, inFlight.cancelled)
		}
	}
}
