package my

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Run is one run of a statement on an engine.
type Run struct {
	Engine       string
	ConnectionID uint32
	Database     string
	SQL          string
	Start, End   time.Time
	Killed       bool // by a KILL QUERY
	Done         bool // its effect was applied
}

// Engine is a MySQL server. It runs a statement for as long as its comment `ms=N` says (5
// ms without one), applies its effect at the end, and answers. A KILL QUERY of another
// connection ends a statement without effect, with error 1317. As in MySQL, connection ids
// count from the start of the process, a statement whose client has closed its connection
// runs to its end, and a name without a database needs one that was selected.
type Engine struct {
	ID   string
	Logf func(format string, args ...any)
	// Rows returns the rows of a statement; nil: it answers with OK.
	Rows func(sql string) [][]string

	mu       sync.Mutex
	listener net.Listener
	conns    map[uint32]*engineConn
	lastID   uint32
	runs     []*Run
	stopped  chan struct{}
}

type engineConn struct {
	id         uint32
	p          *packets
	database   string
	kill       chan struct{}
	statements map[uint32]string
	lastHandle uint32
}

// Start listens at an address (":0" forms too) and serves. The connection ids begin at 1.
func (e *Engine) Start(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener = listener
	e.conns = map[uint32]*engineConn{}
	e.lastID = 0
	e.stopped = make(chan struct{})
	stopped := e.stopped
	e.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, stopped)
		}
	}()
	return nil
}

// Addr returns the engine's address.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Stop ends the engine as a crash does: its connections are reset, and what runs has no
// effect.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	close(e.stopped)
	for _, c := range e.conns {
		if tcp, ok := c.p.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.p.conn.Close()
	}
	e.conns = map[uint32]*engineConn{}
}

// Runs returns the runs of statements that contain a text.
func (e *Engine) Runs(text string) (list []Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if strings.Contains(r.SQL, text) {
			list = append(list, *r)
		}
	}
	return list
}

func (e *Engine) serve(conn net.Conn, stopped chan struct{}) {
	defer func() { _ = conn.Close() }()
	e.mu.Lock()
	e.lastID++
	c := &engineConn{id: e.lastID, p: newPackets(conn), kill: make(chan struct{}, 1), statements: map[uint32]string{}}
	e.conns[c.id] = c
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.conns[c.id] == c {
			delete(e.conns, c.id)
		}
		e.mu.Unlock()
	}()
	if c.logIn() != nil {
		return
	}
	for {
		b, err := c.p.read()
		if err != nil || len(b) == 0 || b[0] == comQuit {
			return
		}
		if e.command(c, b[0], b[1:], stopped) != nil {
			return
		}
	}
}

func (c *engineConn) logIn() error {
	challenge := []byte("abcdefghijklmnopqrst")
	flags := uint32(longPassword | connectWithDB | protocol41 | transactions | secureConn | pluginAuth)
	b := append([]byte{10}, "8.0.36\x00"...)
	b = binary.LittleEndian.AppendUint32(b, c.id)
	b = append(append(b, challenge[:8]...), 0, byte(flags), byte(flags>>8), 45, 2, 0, byte(flags>>16), byte(flags>>24), 21)
	b = append(b, make([]byte, 10)...)
	b = append(append(b, challenge[8:]...), 0)
	b = append(append(b, nativePassword...), 0)
	if err := c.p.write(b); err != nil {
		return err
	}
	login, err := c.p.read()
	if err != nil || len(login) < 33 {
		return errMalformed
	}
	given := binary.LittleEndian.Uint32(login)
	rest := login[32:]
	end := strings.IndexByte(string(rest), 0)
	if end < 0 || len(rest) < end+2 {
		return errMalformed
	}
	rest = rest[end+1:]
	rest = rest[1+int(rest[0]):]
	if given&connectWithDB != 0 {
		c.database, _, _ = strings.Cut(string(rest), "\x00")
	}
	return c.p.write(okPacket)
}

var (
	okPacket  = []byte{0, 1, 0, 2, 0, 0, 0}
	eofPacket = []byte{0xfe, 0, 0, 2, 0}
)

func (e *Engine) command(c *engineConn, command byte, argument []byte, stopped chan struct{}) error {
	switch command {
	case comPing:
		return c.p.write(okPacket)
	case comInitDB:
		c.database = string(argument)
		return c.p.write(okPacket)
	case comQuery:
		sql := string(argument)
		var id uint32
		if n, _ := fmt.Sscanf(sql, "KILL QUERY %d", &id); n == 1 {
			return e.killQuery(c, id)
		}
		return e.run(c, sql, stopped)
	case comPrepare:
		sql := string(argument)
		if refusal := c.noDatabase(sql); refusal != nil {
			return c.p.write(refusal.packet())
		}
		c.lastHandle++
		c.statements[c.lastHandle] = sql
		b := binary.LittleEndian.AppendUint32([]byte{0}, c.lastHandle)
		return c.p.write(append(b, 0, 0, 0, 0, 0, 0, 0))
	case comExecute:
		sql, known := c.statements[binary.LittleEndian.Uint32(argument)]
		if !known {
			return c.p.write((&Error{1243, "HY000", "Unknown prepared statement handler"}).packet())
		}
		return e.run(c, sql, stopped)
	case comClose:
		delete(c.statements, binary.LittleEndian.Uint32(argument))
		return nil
	default:
		return c.p.write((&Error{1047, "08S01", "Unknown command"}).packet())
	}
}

func (e *Engine) killQuery(c *engineConn, id uint32) error {
	e.mu.Lock()
	target := e.conns[id]
	if target != nil {
		select {
		case target.kill <- struct{}{}:
		default:
		}
	}
	e.mu.Unlock()
	e.Logf("engine %s: connection %d sent KILL QUERY %d (open: %v)", e.ID, c.id, id, target != nil)
	if target == nil {
		return c.p.write((&Error{1094, "HY000", fmt.Sprintf("Unknown thread id: %d", id)}).packet())
	}
	return c.p.write(okPacket)
}

// noDatabase returns MySQL's refusal of a table's name without a database, if none is
// selected.
func (c *engineConn) noDatabase(sql string) *Error {
	words := strings.Fields(sql)
	for i, word := range words[:max(0, len(words)-1)] {
		isTable := strings.EqualFold(word, "FROM") || strings.EqualFold(word, "INTO")
		if isTable && !strings.Contains(words[i+1], ".") && c.database == "" {
			return &Error{1046, "3D000", "No database selected"}
		}
	}
	return nil
}

func (e *Engine) run(c *engineConn, sql string, stopped chan struct{}) error {
	select {
	case <-c.kill: // KILL QUERY has no effect on a connection that runs nothing
	default:
	}
	if refusal := c.noDatabase(sql); refusal != nil {
		e.Logf("engine %s: connection %d (database %q) refuses %q: %v", e.ID, c.id, c.database, sql, refusal)
		return c.p.write(refusal.packet())
	}
	ms := 5
	if _, rest, found := strings.Cut(sql, "ms="); found {
		_, _ = fmt.Sscanf(rest, "%d", &ms)
	}
	r := &Run{Engine: e.ID, ConnectionID: c.id, Database: c.database, SQL: sql, Start: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, r)
	e.mu.Unlock()
	e.Logf("engine %s: connection %d (database %q) begins %q", e.ID, c.id, c.database, sql)
	killed := false
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-c.kill:
		killed = true
	case <-stopped:
		return errMalformed
	}
	e.mu.Lock()
	r.End, r.Killed, r.Done = time.Now(), killed, !killed
	e.mu.Unlock()
	if killed {
		e.Logf("engine %s: connection %d: %q was killed", e.ID, c.id, sql)
		return c.p.write((&Error{1317, "70100", "Query execution was interrupted"}).packet())
	}
	e.Logf("engine %s: connection %d has run %q", e.ID, c.id, sql)
	var rows [][]string
	if e.Rows != nil {
		rows = e.Rows(sql)
	}
	if rows == nil {
		return c.p.write(okPacket)
	}
	out := [][]byte{{byte(len(rows[0]))}}
	for i := range rows[0] {
		var b []byte
		for _, s := range []string{"def", "", "", "", fmt.Sprint("c", i), ""} {
			b = append(b, lenenc(s)...)
		}
		out = append(out, append(b, 0x0c, 45, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0, 0, 0))
	}
	out = append(out, eofPacket)
	for _, row := range rows {
		var b []byte
		for _, s := range row {
			b = append(b, lenenc(s)...)
		}
		out = append(out, b)
	}
	return c.p.write(append(out, eofPacket)...)
}
