// Package fakes has fakes of the processes with which a front end communicates: engines, the discovery
// service and clients. They use the published protocol on loopback connections, record all messages,
// and can violate the protocol on purpose.
//
//	engine.go     engines
//	session.go    connections of an engine
//	replies.go    replies of engines
//	discovery.go  the discovery service
//	client.go     clients
//	connection.go clients' connections that carry several requests
//	platform.go   configuration, settings and environment of the program
//	relay.go      a proxy that delays or breaks connections
//	rules.go      checks of the rules of the protocol, from the records
package fakes

import (
	"net"
	"sync"
	"testing"
	"time"
)

// End is the way in which an attempt at an engine ended.
type End string

// The ways in which an attempt ends.
const (
	Running          End = ""                  // the attempt has not ended
	Replied          End = "replied"           // the final reply was written
	Cancelled        End = "cancelled"         // the front end sent KILL or DISCARD
	ConnectionClosed End = "connection closed" // the connection ended before a final reply
)

// Attempt is a PULL command that an engine received.
type Attempt struct {
	ID, Engine, FrontEndAddr string // FrontEndAddr is the remote address of the connection
	Fields                   map[string]string
	RawFields                string // the text of Fields as received
	Statement                string
	ReceivedAt, EndedAt      time.Time
	End                      End
	Verb                     string // of the final reply; empty if there is none or a script wrote it
}

// StatusNote is a progress notice that an engine sends before the final reply.
type StatusNote struct {
	After  time.Duration // from the request
	Fields string        // as in note=share,num=0.4; "-": none
}

// Behavior is the way in which an engine handles a request.
type Behavior struct {
	RawPrefix    string // written unchanged, as soon as the request is received
	Notes        []StatusNote
	Duration     time.Duration // from the request to the final reply
	Verb         string        // of the final reply; empty: ACK
	Pages        []string      // of the result, for ACK; empty: one page without rows
	RawReply     string        // written unchanged instead of a final reply
	NeverReplies bool          // there is no final reply
	Reset        bool          // the connection is reset instead of a final reply
}

// mayHaveRun reports whether the attempt may have run. Only a reply of AGAIN or STALE proves that an
// attempt did not run.
func (a *Attempt) mayHaveRun() bool {
	return a.End != Replied || a.Verb != "AGAIN" && a.Verb != "STALE"
}

// Engine is a fake engine.
type Engine struct {
	ID, Addr string
	// Handle returns how the engine handles a request; nil: the engine replies at once.
	Handle func(a Attempt) Behavior
	// Script, if it is not nil, handles requests and commands for pages instead of Handle. The
	// returned text is written unchanged, even if it violates the protocol. While Script blocks,
	// nothing is read from the connection.
	Script Script
	// IdleTimeout is the time after which the engine closes an idle connection; 0: never.
	IdleTimeout time.Duration

	mu             sync.Mutex
	attempts       []*Attempt
	protocolErrors []string // messages from front ends that violate the protocol
	commandCounts  map[string]int
	connections    map[net.Conn]bool // open
	acceptedCount  int               // of connections
}

// Command is a command that a script handles: a request, or a command for a further page of the
// result of a request.
type Command struct {
	ID        string
	Statement string // of the request; empty in a command for a page
	Page      int    // number of the page, which is at least 1; 0: the command is a request
}

// Script returns the text that an engine writes for a command, or ResetConnection. An empty text
// stands for no reply.
type Script func(c Command) string

// ResetConnection is returned by a script to reset the connection.
const ResetConnection = "reset"

// NewEngine starts an engine on a free loopback address. It stops listening when the test ends.
func NewEngine(t testing.TB, id string, handle func(Attempt) Behavior) *Engine {
	t.Helper()
	e := &Engine{ID: id, Handle: handle}
	e.Start(t)
	return e
}

// NewScriptedEngine starts an engine with a script on a free loopback address. It stops listening
// when the test ends. The test fails if the engine received a message that violates the protocol.
func NewScriptedEngine(t testing.TB, id string, script Script) *Engine {
	t.Helper()
	e := &Engine{ID: id, Script: script}
	e.Start(t)
	t.Cleanup(func() {
		for _, message := range e.ProtocolErrors() {
			t.Errorf("engine %s received a message that violates the protocol: %s", id, message)
		}
	})
	return e
}

// Start starts the engine on a free loopback address. It stops listening when the test ends. ID,
// Handle, Script and IdleTimeout must be set before.
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

// Listen accepts connections on a free loopback address until the test ends, and calls serve for
// each in a new goroutine.
func Listen(t testing.TB, serve func(net.Conn)) (addr string) {
	t.Helper()
	return listenOn(t, "127.0.0.1:0", serve)
}

// listenOn accepts connections on an address until the test ends, calls serve for each in a new
// goroutine, and returns the address with the port in use.
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

// Attempts returns the attempts that the engine has received so far, in order of arrival.
func (e *Engine) Attempts() []Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Attempt, len(e.attempts))
	for i, a := range e.attempts {
		out[i] = *a
	}
	return out
}

// ProtocolErrors returns descriptions of the received messages that violate the protocol.
func (e *Engine) ProtocolErrors() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.protocolErrors...)
}

// CommandCount returns the number of commands with a verb that the engine has received.
func (e *Engine) CommandCount(verb string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.commandCounts[verb]
}

// ConnectionCounts returns the number of accepted connections, and how many of them have ended.
func (e *Engine) ConnectionCounts() (accepted, ended int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acceptedCount, e.acceptedCount - len(e.connections)
}

// ResetAll resets all open connections to the engine.
func (e *Engine) ResetAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.connections {
		reset(c)
	}
}

// reset closes a TCP connection with RST.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
