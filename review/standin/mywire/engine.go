package mywire

import (
	"encoding/binary"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one run of a statement at an engine.
type Run struct {
	Engine  string
	Thread  uint32
	SQL     string
	Started time.Time
	Ended   time.Time // zero while it runs
	Killed  bool      // ended by KILL QUERY
}

// activeRun is a run with the means to end it.
type activeRun struct {
	Run
	done chan struct{}
	once sync.Once
}

// Engine is a MySQL server. A statement with "work=N" in a comment takes N milliseconds,
// any other none. As at a real server, a statement goes on when its connection breaks, and
// KILL QUERY ends the statement that runs on the connection at that moment, if there is one.
type Engine struct {
	ID       string
	Addr     string
	Password string
	Log      func(format string, args ...any)

	listener net.Listener
	mu       sync.Mutex
	runs     []*activeRun
	running  map[uint32]*activeRun
	threads  uint32
}

// StartEngine starts an engine on a free loopback port.
func StartEngine(id, password string, log func(string, ...any)) (*Engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, Addr: l.Addr().String(), Password: password, Log: log, listener: l,
		running: map[uint32]*activeRun{}}
	go e.accept()
	return e, nil
}

func (e *Engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.threads++
		thread := e.threads
		e.mu.Unlock()
		go e.serve(conn, thread)
	}
}

// Runs returns the runs of the statements that contain a text.
func (e *Engine) Runs(text string) (list []Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if strings.Contains(r.SQL, text) {
			list = append(list, r.Run)
		}
	}
	return list
}

func (e *Engine) serve(conn net.Conn, thread uint32) {
	defer func() { _ = conn.Close() }()
	p := newPackets(conn)
	if err := e.logIn(p, thread); err != nil {
		return
	}
	for {
		p.seq = 0
		command, err := p.read()
		if err != nil || len(command) == 0 || command[0] == comQuit {
			return
		}
		if err := e.command(p, thread, command[0], string(command[1:])); err != nil {
			return
		}
	}
}

func (e *Engine) logIn(p *packets, thread uint32) error {
	const challenge = "abcdefghijklmnopqrst"
	b := append([]byte{10}, "8.0.36\x00"...)
	b = binary.LittleEndian.AppendUint32(b, thread)
	b = append(b, challenge[:8]...)
	b = append(b, 0, byte(capabilities&0xff), byte(capabilities>>8&0xff), utf8mb4, autocommit, 0)
	b = append(b, byte(capabilities>>16&0xff), byte(capabilities>>24&0xff), 21)
	b = append(b, make([]byte, 10)...)
	b = append(append(b, challenge[8:]...), 0)
	b = append(append(b, native...), 0)
	if err := p.write(b); err != nil {
		return err
	}
	login, err := p.read()
	if err != nil {
		return err
	}
	if !strings.Contains(string(login), string(scramble([]byte(challenge), e.Password))) {
		_ = p.write(errorPacket(1045, "28000", "Access denied"))
		return fmt.Errorf("wrong password")
	}
	return p.write(okPacket())
}

var (
	killPattern = regexp.MustCompile(`^KILL QUERY (\d+)$`)
	workPattern = regexp.MustCompile(`work=(\d+)`)
)

func (e *Engine) command(p *packets, thread uint32, command byte, argument string) error {
	switch command {
	case comInitDB, comPing:
		return p.write(okPacket())
	case comQuery:
	default:
		return p.write(errorPacket(1047, "08S01", "unknown command"))
	}
	if m := killPattern.FindStringSubmatch(argument); m != nil {
		target, _ := strconv.Atoi(m[1])
		e.kill(uint32(target))
		return p.write(okPacket())
	}
	run := e.begin(thread, argument)
	if m := workPattern.FindStringSubmatch(argument); m != nil {
		ms, _ := strconv.Atoi(m[1])
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-run.done:
		}
	}
	e.end(run)
	switch {
	case run.Killed:
		return p.write(errorPacket(1317, "70100", "Query execution was interrupted"))
	case strings.Contains(argument, "SELECT"):
		return e.writeRow(p, argument)
	default:
		return p.write(okPacket())
	}
}

// writeRow answers a read with one row: the engine and the statement that it ran.
func (e *Engine) writeRow(p *packets, sql string) error {
	column := func(name string) []byte {
		var b []byte
		for _, text := range []string{"def", "", "t", "t", name, ""} {
			b = lenenc(b, text)
		}
		return append(b, 0x0c, utf8mb4, 0, 0, 4, 0, 0, 0xfd, 0, 0, 0, 0, 0)
	}
	row := lenenc(lenenc(nil, e.ID), sql)
	return p.write([]byte{2}, column("engine"), column("ran"), eofPacket(), row, eofPacket())
}

func (e *Engine) begin(thread uint32, sql string) *activeRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := &activeRun{Run: Run{Engine: e.ID, Thread: thread, SQL: sql, Started: time.Now()}, done: make(chan struct{})}
	e.runs = append(e.runs, run)
	e.running[thread] = run
	e.Log("engine %s: connection %d begins: %s", e.ID, thread, sql)
	return run
}

func (e *Engine) end(run *activeRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Ended = time.Now()
	if e.running[run.Thread] == run {
		delete(e.running, run.Thread)
	}
	how := "has run"
	if run.Killed {
		how = "was killed in"
	}
	e.Log("engine %s: connection %d %s: %s", e.ID, run.Thread, how, run.SQL)
}

func (e *Engine) kill(thread uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := e.running[thread]
	e.Log("engine %s: KILL QUERY %d, running there: %v", e.ID, thread, run != nil)
	if run != nil {
		run.once.Do(func() {
			run.Killed = true
			close(run.done)
		})
	}
}
