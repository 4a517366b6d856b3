package mysql

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dewhill/control"
	"dewhill/internal/dispatch"
	"dewhill/internal/lineproto"
	"dewhill/internal/testprocess"
)

// TestPacketsInChunks checks that packets are read correctly regardless of the chunks in
// which they arrive.
func TestPacketsInChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payloads := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 3000), 1, 5).Draw(t, "payloads")
		var out stream
		for _, p := range payloads {
			out.queuePacket(p)
		}
		in := newStream(testprocess.NewChunkedConn(t, out.queued))
		for i, want := range payloads {
			if p, err := in.readPacket(); err != nil || !bytes.Equal(p, want) {
				t.Fatalf("packet %d: %x, %v", i, p, err)
			}
		}
	})
}

// TestBoundValues checks that bound values, including NULL, are unchanged after encoding
// and parsing.
func TestBoundValues(t *testing.T) {
	kinds := map[byte]int{0x01: 1, 0x02: 2, 0x03: 4, 0x08: 8, 0x05: 8, typeVarString: -1, typeBlob: -1}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "params")
		var params []Param
		for range n {
			p := Param{Type: rapid.SampledFrom([]byte{1, 2, 3, 8, 5, typeVarString, typeBlob}).Draw(t, "type")}
			if p.Null = rapid.Bool().Draw(t, "null"); !p.Null {
				if k := kinds[p.Type]; k > 0 {
					p.Value = rapid.SliceOfN(rapid.Byte(), k, k).Draw(t, "value")
				} else {
					p.Value = appendLengthEncodedBytes(nil, rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "text"))
				}
			}
			params = append(params, p)
		}
		statement := &preparedStatement{info: &statementInfo{params: n}}
		got, invalid := statement.bind(encodeExecute(1, params)[4:])
		if invalid != nil {
			t.Fatal(invalid)
		}
		for i := range params {
			if got[i].Null != params[i].Null || got[i].Type != params[i].Type || !bytes.Equal(got[i].Value, params[i].Value) {
				t.Fatalf("value %d: %+v, want %+v", i, got[i], params[i])
			}
		}
	})
}

// TestMalformedPackets checks that no parser panics on malformed input, and that a
// successful bind returns all parameters.
func TestMalformedPackets(t *testing.T) {
	login := binary.LittleEndian.AppendUint32(nil, supportedCapabilities)
	login = append(append(login, make([]byte, 28)...), "app\x00\x14aaaaaaaaaaaaaaaaaaaatrips\x00mysql_native_password\x00"...)
	var result stream
	result.queuePacket([]byte{1})
	result.queuePacket(parameterColumn)
	result.queuePacket(eofPacket())
	result.queuePacket([]byte("\x03abc"))
	result.queuePacket(eofPacket())
	execute := encodeExecute(1, []Param{{Type: 3, Value: []byte("abcd")}, {Type: typeVarString, Value: []byte("\x02hi")}})
	rapid.Check(t, func(t *rapid.T) {
		_, _ = parseLogin(testprocess.MalformedMessage(t, string(login)))
		statement := &preparedStatement{info: &statementInfo{params: 2}}
		params, invalid := statement.bind(testprocess.MalformedMessage(t, string(execute[4:])))
		if invalid == nil && len(params) != 2 {
			t.Fatalf("%+v", params)
		}
		s := &session{stream: newStream(testprocess.NewChunkedConn(t, testprocess.MalformedMessage(t, string(result.queued))))}
		_, _ = s.readResult(1 << 20)
		engineStream := newStream(testprocess.NewChunkedConn(t, testprocess.MalformedMessage(t, "\x4a\x00\x00\x00"+string(greetingPacket(7, newChallenge())))))
		_, _ = logIn(engineStream, "a", "b", "c")
		inspect(string(testprocess.MalformedMessage(t, "/* dewhill: class=load key=x */ INSERT INTO a_1.t VALUES (?, '?')")))
	})
}

// TestInspect checks the properties that inspect finds in a statement's text.
func TestInspect(t *testing.T) {
	for sql, want := range map[string]statementInfo{
		"SELECT '?' , ? FROM a_4.t -- ?":               {verb: "SELECT", params: 1, tableGroup: 4, table: "a_4.t"},
		"(select 1)":                                   {verb: "SELECT", tableGroup: -1},
		"SELECT 1 /*! INTO OUTFILE 'x' */":             {verb: "SELECT", writes: true, tableGroup: -1},
		"SELECT a FROM a_1.t FOR UPDATE":               {verb: "SELECT", writes: true, tableGroup: 1, table: "a_1.t"},
		"WITH x AS (SELECT 1) DELETE FROM a_1.t":       {verb: "WITH", writes: true, tableGroup: 1, table: "a_1.t"},
		"CALL p(?)":                                    {verb: "CALL", writes: true, params: 1, tableGroup: -1},
		"EXPLAIN ANALYZE INSERT INTO b_2.t VALUES (1)": {verb: "EXPLAIN", writes: true, tableGroup: 2, table: "b_2.t"},
	} {
		s := inspect(sql)
		if s.verb != want.verb || s.writes != want.writes || s.params != want.params || s.tableGroup != want.tableGroup || s.table != want.table ||
			s.err != nil {
			t.Errorf("%s: %+v", sql, s)
		}
	}
}

// fakeLoop is an event loop whose clock the test sets. It records the results of attempts
// and ignores log lines and delayed functions.
type fakeLoop struct {
	EventLoop
	now   float64
	ended []control.Result
}

func (l *fakeLoop) Now() float64 { return l.now }
func (l *fakeLoop) AttemptEnded(ev dispatch.AttemptEnded, _ any) {
	l.ended = append(l.ended, ev.Result)
}
func (l *fakeLoop) Logf(string, ...any)   {}
func (l *fakeLoop) After(float64, func()) {}

// TestEvictionAndRemovedEngines checks that the oldest connections without a login are
// closed for new clients, and that the pool drops engines that are no longer listed.
func TestEvictionAndRemovedEngines(t *testing.T) {
	loop := &fakeLoop{now: 1000}
	server := NewServer(loop, &Config{})
	var clients []*client
	for i := range 4 {
		conn, _ := net.Pipe()
		c := &client{server: server, stream: newStream(conn), connectedAtMS: float64(1000 + 100*i)}
		server.clients[c] = true
		clients = append(clients, c)
	}
	clients[0].loggedIn.Store(true)
	loop.now = 1201 + evictableAfterMS
	for _, want := range []bool{true, true, false} {
		if got := server.evict(); got != want {
			t.Errorf("evicted: %v, want %v", got, want)
		}
	}
	open := server.clients
	if !open[clients[0]] || open[clients[1]] || open[clients[2]] || !open[clients[3]] {
		t.Error("evicted connections are not the two oldest without a login")
	}
	if clients[1].stream.conn.SetDeadline(time.Time{}) == nil {
		t.Error("the connection of an evicted client is still open")
	}
	pool := &Pool{loop: loop, engines: map[string]*engine{}}
	pool.SetEndpoints([]Engine{{ID: "a"}, {ID: "b"}}, nil)
	pool.SetEndpoints([]Engine{{ID: "b"}}, nil)
	if len(pool.engines) != 1 || pool.engines["b"] == nil {
		t.Errorf("pool has %d engines, want only engine b", len(pool.engines))
	}
}

// TestShutdownKeepsUnreadCommands checks that a shutdown closes the connections of idle
// clients, but not a connection with a command that has arrived and has not been read yet.
func TestShutdownKeepsUnreadCommands(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	server := NewServer(&fakeLoop{}, &Config{})
	var clients []*client
	for range 2 {
		clientConn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = clientConn.Close() }()
		serverConn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = serverConn.Close() }()
		if len(clients) == 0 {
			if _, err := clientConn.Write([]byte{1, 0, 0, 0, comPing}); err != nil {
				t.Fatal(err)
			}
			testprocess.Until(t, "the command", func() bool { return lineproto.HasUnread(serverConn) })
		}
		c := &client{server: server, stream: newStream(serverConn)}
		c.loggedIn.Store(true)
		server.clients[c] = true
		clients = append(clients, c)
	}
	server.BeginShutdown()
	server.StopAccepting()
	if p, err := clients[0].stream.readPacket(); err != nil || p[0] != comPing {
		t.Errorf("command that arrived before the shutdown: got %v, %v", p, err)
	}
	var netError net.Error
	if _, err := clients[1].stream.readPacket(); !errors.As(err, &netError) || !netError.Timeout() {
		t.Errorf("idle client: error %v, want a timeout", err)
	}
}

// TestConnectionShortage checks that attempts that fail because this process is out of
// connections or descriptors count as not sent and are not held against the engine, while
// another connection error is.
func TestConnectionShortage(t *testing.T) {
	loop := &fakeLoop{}
	pool := &Pool{loop: loop, engines: map[string]*engine{}}
	pool.SetEndpoints([]Engine{{ID: "a"}}, nil)
	pool.StartAttempt(dispatch.StartAttempt{RequestID: "1", Engine: "a"}, 0, &Statement{})
	target := pool.engines["a"]
	socketError := &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	for _, err := range []error{socketError, net.ErrClosed} {
		done := attemptDone{err: notWrittenError{err}, broken: true}
		pool.attemptEnded(&attempt{session: newSession(target)}, done)
	}
	want := []control.Result{control.NotSent, control.NotSent, control.ConnectFailed}
	if !slices.Equal(loop.ended, want) {
		t.Errorf("ended %v, want %v", loop.ended, want)
	}
}
