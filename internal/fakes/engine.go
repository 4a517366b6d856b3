// Package fakes has fakes of what a platform front end talks to: engines, the discovery
// service and clients. They speak the published protocol over loopback, record all
// messages, and can be made to misbehave.
//
//	engine.go     engines
//	session.go    an engine's connections
//	replies.go    the replies of engines
//	discovery.go  the discovery service
//	client.go     clients
//	platform.go   what a platform configures
//	relay.go      a proxy that delays or breaks connections
//	rules.go      the protocol's rules, checked from the records
package fakes

import (
	"net"
	"sync"
	"testing"
	"time"
)

// End is how an attempt at an engine ended.
type End string

// The ends of an attempt.
const (
	Running          End = ""         // it has not ended
	Replied          End = "answered" // its last reply was written
	Cancelled        End = "given up" // KILL or DISCARD was received
	ConnectionClosed End = "closed"   // with its connection
)

// Attempt is one PULL that an engine received.
type Attempt struct {
	ID, Engine, FrontEndAddr string // Front is the front end's address on the connection
	Fields                   map[string]string
	RawFields                string // as they were received
	Statement                string
	ReceivedAt, EndedAt      time.Time
	End                      End
	Verb                     string // of the last reply, if it was answered
}

// StatusNote is a reply before the last one.
type StatusNote struct {
	After  time.Duration
	Fields string // as in note=share,num=0.4; "-" for none
}

// Behavior is what an engine does with a request.
type Behavior struct {
	RawPrefix    string // written unchanged, at once
	Notes        []StatusNote
	Duration     time.Duration // from the request to the reply
	Verb         string        // of the reply; empty: ACK
	Pages        []string      // of an ACK; empty: one page without rows
	RawReply     string        // written instead of a reply, and nothing after it
	NeverReplies bool
	Reset        bool // the connection is reset instead of a reply
}

// mayHaveRun reports whether nothing recorded proves that the attempt never ran.
func (a *Attempt) mayHaveRun() bool {
	return a.End != Replied || a.Verb != "AGAIN" && a.Verb != "STALE"
}

// Engine is a fake engine.
type Engine struct {
	ID, Addr string
	// Handle decides what is done with a request; nil: it is answered at once.
	Handle func(a Attempt) Behavior
	// Script, if it is set, answers requests and commands for pages instead of Respond:
	// what it returns is written unchanged, also what the protocol does not allow. While
	// it blocks, nothing else is read from the connection.
	Script Script
	// IdleTimeout is how long a connection may be idle before the engine closes it; 0:
	// for ever.
	IdleTimeout time.Duration

	mu             sync.Mutex
	attempts       []*Attempt
	protocolErrors []string // messages that the protocol does not allow
	commandCounts  map[string]int
	connections    map[net.Conn]bool // open
	acceptedCount  int               // connections
}

// Command is what a script answers: a request, or a demand for a further page of its
// result.
type Command struct {
	ID        string
	Statement string // of a request
	Page      int    // number of the page, from 1; 0: the command is the request
}

// Script returns what an engine writes for a command. ResetConnection resets the
// connection instead.
type Script func(c Command) string

// ResetConnection is what a script returns to have the connection reset.
const ResetConnection = "reset"

// NewEngine starts an engine on a free loopback address; it ends with the test.
func NewEngine(t testing.TB, id string, do func(Attempt) Behavior) *Engine {
	t.Helper()
	e := &Engine{ID: id, Handle: do}
	e.Start(t)
	return e
}

// NewScriptedEngine starts an engine with a script on a free loopback address; it ends
// with the test, which fails if the engine was sent what the protocol does not allow.
func NewScriptedEngine(t testing.TB, id string, script Script) *Engine {
	t.Helper()
	e := &Engine{ID: id, Script: script}
	e.Start(t)
	t.Cleanup(func() {
		for _, message := range e.ProtocolErrors() {
			t.Errorf("engine %s was sent what the protocol does not allow: %s", id, message)
		}
	})
	return e
}

// Start starts an engine on a free loopback address; it ends with the test. ID, Respond,
// Script and IdleTimeout are set before.
func (e *Engine) Start(t testing.TB) {
	t.Helper()
	e.commandCounts, e.connections = map[string]int{}, map[net.Conn]bool{}
	e.Addr = Listen(t, func(c net.Conn) {
		e.mu.Lock()
		e.acceptedCount++
		e.connections[c] = true
		e.mu.Unlock()
		(&session{engine: e, conn: c, attempts: map[string]*Attempt{}, pages: map[string][]string{}}).serve()
		e.mu.Lock()
		delete(e.connections, c)
		e.mu.Unlock()
	})
}

// Listen serves connections on a free loopback address until the test ends.
func Listen(t testing.TB, serve func(net.Conn)) (addr string) {
	t.Helper()
	return listenOn(t, "127.0.0.1:0", serve)
}

// listenOn serves connections on an address until the test ends, and returns the
// address with its port.
func listenOn(t testing.TB, addr string, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// Attempts returns those that the engine has received so far, in order.
func (e *Engine) Attempts() []Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Attempt, len(e.attempts))
	for i, a := range e.attempts {
		out[i] = *a
	}
	return out
}

// ProtocolErrors returns the messages received that the protocol does not allow.
func (e *Engine) ProtocolErrors() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.protocolErrors...)
}

// CommandCount returns how many commands with a verb the engine has received.
func (e *Engine) CommandCount(verb string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.commandCounts[verb]
}

// ConnectionCounts returns how many connections were accepted, and how many of them have
// ended.
func (e *Engine) ConnectionCounts() (accepted, ended int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acceptedCount, e.acceptedCount - len(e.connections)
}

// ResetAll resets all connections to the engine.
func (e *Engine) ResetAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.connections {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
