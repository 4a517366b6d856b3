package mysql

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dewhill/internal/fakes"
)

// FakeEngine is an engine for tests. It speaks the MySQL protocol, counts the statements
// that it runs, and fails at the steps that the test chooses.
type FakeEngine struct {
	ID       string
	Addr     string
	password string

	mu               sync.Mutex
	ran              map[string]int
	succeeded        map[string]int // runs that were answered without an error
	connections      map[uint32]*fakeConnection
	lastConnectionID uint32
	prepares         int
	kills            int
	killsSent        int // KILL QUERY commands that were sent, received or not
	initDatabases    []string
	databases        map[string]string // in which each statement ran last, or was prepared
	// behavior is called before each step (prepare, execute or query) with the
	// statement and returns the action to take instead of the step: "close" (close the
	// connection), "run-close" (run the statement, then close the connection), "hang"
	// (wait until the statement is killed), "error N" (reply with error number N),
	// "run-error N" (run the statement, then reply with error number N), "rows" (run the
	// statement and reply with rows), "rows-error N" (reply with rows and then error
	// number N), "wait N" (run the statement for N ms, unless it is killed), or "" for none.
	behavior func(step, sql string) string
	// loginDelay returns how long a connection waits for the greeting; nil: not at all.
	loginDelay func(connectionID uint32) time.Duration
	killDelay  time.Duration // how long a KILL QUERY is under way
	vanished   bool
}

type fakeConnection struct {
	id              uint32
	socket          *fakeSocket
	stream          *stream
	killed          chan struct{}
	database        string
	statements      map[uint32]string
	lastStatementID uint32
}

// NewFakeEngine starts an engine on a free loopback port and stops it when the test ends.
func NewFakeEngine(t testing.TB, id, password string) *FakeEngine {
	t.Helper()
	e := &FakeEngine{ID: id, password: password, ran: map[string]int{}, succeeded: map[string]int{}, connections: map[uint32]*fakeConnection{}, databases: map[string]string{}}
	e.Addr = fakes.Listen(t, e.serve)
	return e
}

// Ran returns the number of runs of statements that start with a prefix.
func (e *FakeEngine) Ran(prefix string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for sql, k := range e.ran {
		if strings.HasPrefix(sql, prefix) {
			n += k
		}
	}
	return n
}

// RunCounts returns the number of runs of each statement.
func (e *FakeEngine) RunCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.ran)
}

// SuccessCounts returns the number of runs of each statement that the engine answered
// without an error.
func (e *FakeEngine) SuccessCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.succeeded)
}

// Counts returns the number of prepared handles and the number of KILL QUERY commands.
func (e *FakeEngine) Counts() (prepares, kills int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prepares, e.kills
}

// KillsSent returns the number of KILL QUERY commands that were sent, whether the engine has
// received them yet or not.
func (e *FakeEngine) KillsSent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.killsSent
}

// Connections returns the number of open connections.
func (e *FakeEngine) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.connections)
}

// SetBehavior sets the function that chooses the engine's action at each step.
func (e *FakeEngine) SetBehavior(behavior func(step, sql string) string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behavior = behavior
}

// SetLoginDelay sets the function that chooses how long a connection waits for the greeting.
func (e *FakeEngine) SetLoginDelay(delay func(connectionID uint32) time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loginDelay = delay
}

// SetKillDelay sets how long each KILL QUERY is under way before the engine receives it.
func (e *FakeEngine) SetKillDelay(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.killDelay = delay
}

// fakeSocket is an engine's end of a connection. Once the engine's machine has vanished, the
// connection stays open, and nothing is sent on it or received any more.
type fakeSocket struct {
	net.Conn
	silent atomic.Bool
}

func (c *fakeSocket) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *fakeSocket) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Vanish makes all connections silent, and new ones fail, as if the engine's machine had gone.
func (e *FakeEngine) Vanish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vanished = true
	for _, connection := range e.connections {
		connection.socket.silent.Store(true)
	}
	e.connections = map[uint32]*fakeConnection{}
}

// Return starts the engine anew at its address after Vanish: as MySQL does, it counts its
// connections from 1 again.
func (e *FakeEngine) Return() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vanished = false
	e.lastConnectionID = 0
}

// CloseAll closes every connection.
func (e *FakeEngine) CloseAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, connection := range e.connections {
		_ = connection.stream.conn.Close()
	}
}

func (e *FakeEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	socket := &fakeSocket{Conn: c}
	e.mu.Lock()
	if e.vanished {
		e.mu.Unlock()
		return
	}
	e.lastConnectionID++
	connection := &fakeConnection{
		id:         e.lastConnectionID,
		socket:     socket,
		stream:     newStream(socket),
		killed:     make(chan struct{}, 1),
		statements: map[uint32]string{},
	}
	e.connections[connection.id] = connection
	delay := e.loginDelay
	e.mu.Unlock()
	if delay != nil {
		time.Sleep(delay(connection.id))
	}
	defer func() {
		e.mu.Lock()
		if e.connections[connection.id] == connection {
			delete(e.connections, connection.id)
		}
		e.mu.Unlock()
	}()
	server := &Server{accounts: []Account{{User: "gate", Password: e.password}}}
	login, err := server.authenticate(connection.stream, connection.id)
	if err != nil {
		var refusal *Error
		if errors.As(err, &refusal) {
			connection.stream.queuePacket(refusal.packet())
			_ = connection.stream.flush()
		}
		return
	}
	if isMissing(login.database) {
		connection.stream.queuePacket(unknownDatabase.packet())
		_ = connection.stream.flush()
		return
	}
	if acceptLogin(connection.stream) != nil {
		return
	}
	connection.database = login.database
	for {
		connection.stream.sequence = 0
		p, err := connection.stream.readPacket()
		if err != nil || len(p) == 0 || p[0] == comQuit {
			return
		}
		if !e.command(connection, p[0], append([]byte(nil), p[1:]...)) {
			return
		}
		if connection.stream.flush() != nil {
			return
		}
	}
}

func (e *FakeEngine) command(connection *fakeConnection, command byte, argument []byte) bool {
	switch command {
	case comPing:
		connection.stream.queuePacket(okPacket(0, 0))
	case comInitDB:
		e.initDatabase(connection, string(argument))
	case comQuery:
		sql := string(argument)
		var threadID uint32
		if n, _ := fmt.Sscanf(sql, "KILL QUERY %d", &threadID); n == 1 {
			e.kill(connection, threadID)
			connection.stream.queuePacket(okPacket(0, 0))
			return true
		}
		e.recordDatabase(connection, sql)
		return e.run(connection, "query", sql, nil)
	case comStmtPrepare:
		sql := string(argument)
		if action := e.actionFor("prepare", sql); action != "" {
			return e.act(connection, "prepare", action, sql, nil)
		}
		e.recordDatabase(connection, sql)
		e.mu.Lock()
		e.prepares++
		e.mu.Unlock()
		n := strings.Count(sql, "?")
		connection.lastStatementID++
		connection.statements[connection.lastStatementID] = sql
		b := binary.LittleEndian.AppendUint32([]byte{okMark}, connection.lastStatementID)
		connection.stream.queuePacket(append(b, 0, 0, byte(n), 0, 0, 0, 0))
		for range n {
			connection.stream.queuePacket(parameterColumn)
		}
		if n > 0 {
			connection.stream.queuePacket(eofPacket())
		}
	case comStmtExecute:
		sql, ok := connection.statements[binary.LittleEndian.Uint32(argument)]
		if !ok {
			unknown := &Error{1243, "HY000", "Unknown prepared statement handler"}
			connection.stream.queuePacket(unknown.packet())
			return true
		}
		statement := &preparedStatement{info: &statementInfo{params: strings.Count(sql, "?")}}
		params, invalid := statement.bind(argument[4:])
		if invalid != nil {
			connection.stream.queuePacket(invalid.packet())
			return true
		}
		return e.run(connection, "execute", sql, params)
	case comStmtClose:
		delete(connection.statements, binary.LittleEndian.Uint32(argument))
	default:
		connection.stream.queuePacket((&Error{1047, "08S01", "unknown command"}).packet())
	}
	return true
}

var unknownDatabase = &Error{1049, "42000", "Unknown database"}

// isMissing reports whether a database does not exist.
func isMissing(database string) bool { return strings.HasPrefix(database, "missing") }

// initDatabase selects a connection's database.
func (e *FakeEngine) initDatabase(connection *fakeConnection, name string) {
	e.mu.Lock()
	e.initDatabases = append(e.initDatabases, name)
	e.mu.Unlock()
	if isMissing(name) {
		connection.stream.queuePacket(unknownDatabase.packet())
		return
	}
	connection.database = name
	connection.stream.queuePacket(okPacket(0, 0))
}

func (e *FakeEngine) recordDatabase(connection *fakeConnection, sql string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.databases[sql] = connection.database
}

// Databases returns the database in which each statement ran last, or was prepared.
func (e *FakeEngine) Databases() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.databases)
}

func (e *FakeEngine) actionFor(step, sql string) string {
	e.mu.Lock()
	behavior := e.behavior
	e.mu.Unlock()
	if behavior == nil {
		return ""
	}
	return behavior(step, sql)
}

func (e *FakeEngine) kill(from *fakeConnection, id uint32) {
	e.mu.Lock()
	delay := e.killDelay
	e.killsSent++
	e.mu.Unlock()
	time.Sleep(delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if from.socket.silent.Load() {
		return
	}
	e.kills++
	if connection := e.connections[id]; connection != nil {
		select {
		case connection.killed <- struct{}{}:
		default:
		}
	}
}

func (e *FakeEngine) act(connection *fakeConnection, step, action, sql string, params []Param) bool {
	kind, number, _ := strings.Cut(action, " ")
	var code uint16
	_, _ = fmt.Sscan(number, &code)
	failure := (&Error{code, "HY000", "error requested by the test"}).packet()
	switch {
	case kind == "error":
		connection.stream.queuePacket(failure)
		return true
	case kind == "run-error":
		e.count(sql)
		connection.stream.queuePacket(failure)
		return true
	case kind == "rows":
		e.countSuccess(sql)
		e.queueRows(connection, step, params)
		connection.stream.queuePacket(eofPacket())
		return true
	case kind == "rows-error":
		e.queueRows(connection, step, params)
		connection.stream.queuePacket(failure)
		return true
	case kind == "wait":
		return e.wait(connection, sql, time.Duration(code)*time.Millisecond)
	case action == "hang":
		<-connection.killed
		connection.stream.queuePacket((&Error{1317, "70100", "Query execution was interrupted"}).packet())
		return true
	case action == "run-close":
		e.count(sql)
	}
	return false
}

// wait runs a statement for a time, unless it is killed.
func (e *FakeEngine) wait(connection *fakeConnection, sql string, duration time.Duration) bool {
	select {
	case <-connection.killed: // a KILL QUERY of an idle connection has no effect
	default:
	}
	select {
	case <-connection.killed:
		connection.stream.queuePacket((&Error{1317, "70100", "Query execution was interrupted"}).packet())
	case <-time.After(duration):
		e.countSuccess(sql)
		connection.stream.queuePacket(okPacket(1, 0))
	}
	return true
}

// countSuccess counts a run that is answered without an error.
func (e *FakeEngine) countSuccess(sql string) {
	e.count(sql)
	e.mu.Lock()
	e.succeeded[sql]++
	e.mu.Unlock()
}

func (e *FakeEngine) count(sql string) {
	e.mu.Lock()
	e.ran[sql]++
	e.mu.Unlock()
}

// run runs a statement and queues the reply. A SELECT returns two rows with the engine's
// id, the row's number, a NULL and each bound value.
func (e *FakeEngine) run(connection *fakeConnection, step, sql string, params []Param) bool {
	if action := e.actionFor(step, sql); action != "" {
		return e.act(connection, step, action, sql, params)
	}
	e.countSuccess(sql)
	if !strings.HasPrefix(strings.TrimSpace(sql), "SELECT") {
		connection.stream.queuePacket(okPacket(3, 77))
		return true
	}
	e.queueRows(connection, step, params)
	connection.stream.queuePacket(eofPacket())
	return true
}

// queueRows queues columns and two rows, without the end of the result.
func (e *FakeEngine) queueRows(connection *fakeConnection, step string, params []Param) {
	n := 3 + len(params)
	connection.stream.queuePacket(appendLengthEncodedInt(nil, uint64(n)))
	for i := range n {
		kind := byte(typeVarString)
		if i == 1 {
			kind = 0x08
		}
		if i >= 3 {
			kind = params[i-3].Type
		}
		var b []byte
		for _, t := range []string{"def", "", "t", "t", fmt.Sprintf("c%d", i), ""} {
			b = appendLengthEncodedBytes(b, []byte(t))
		}
		connection.stream.queuePacket(append(b, 0x0c, charsetUTF8, 0, 0, 1, 0, 0, kind, 0, 0, 0, 0, 0))
	}
	connection.stream.queuePacket(eofPacket())
	for row := range 2 {
		if step == "query" {
			b := appendLengthEncodedBytes(nil, []byte(e.ID))
			b = appendLengthEncodedBytes(b, fmt.Append(nil, row))
			connection.stream.queuePacket(append(b, 0xfb))
			continue
		}
		b := make([]byte, 1+(n+9)/8)
		null := func(i int) { b[1+(i+2)/8] |= 1 << ((i + 2) % 8) }
		null(2)
		for i, p := range params {
			if p.Null {
				null(3 + i)
			}
		}
		b = appendLengthEncodedBytes(b, []byte(e.ID))
		b = binary.LittleEndian.AppendUint64(b, uint64(row))
		for _, p := range params {
			b = append(b, p.Value...)
		}
		connection.stream.queuePacket(b)
	}
}
