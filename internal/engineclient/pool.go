// Package engineclient is the client for the platform's engines. It speaks a line
// protocol over TCP that multiplexes many requests on one connection.
//
// A request is written at most once. Until its connection's writer takes it, the
// request can be withdrawn and then provably never ran. Requests are withdrawn when
// they are cancelled, when they expire, and when their engine is draining, has a new
// address or was removed. The requests of a lost connection end only when the reader
// and the writer have ended, so that it is certain which of them were written.
//
//	pool.go        the pool, its options, the periodic sweep
//	engine.go      engines and their addresses
//	attempt.go     starting and cancelling attempts, probes
//	exchange.go    an attempt or probe on its connection, until its end
//	connection.go  choosing, opening and closing connections
//	writer.go      writing commands
//	replies.go     handling replies
//	protocol.go    the lines of the protocol
//	counters.go    counters
package engineclient

import (
	"slices"
	"sync/atomic"
	"time"

	"dewhill/internal/dispatch"
)

// EventLoop is the server's event loop. Post and Now may be called from any
// goroutine, the rest only on the event loop.
type EventLoop interface {
	// Post runs f on the event loop.
	Post(f func())
	// Now returns the loop's clock in Unix milliseconds.
	Now() float64
	// After runs f on the event loop after a delay in milliseconds.
	After(delayMS float64, f func())
	// AttemptEnded is called exactly once for each attempt, when it has ended. If the
	// attempt was served, result holds its pages as [][]byte.
	AttemptEnded(ev dispatch.AttemptEnded, result any)
	// AttemptStatus is called for each status reply about an attempt that is still
	// running.
	AttemptStatus(ev dispatch.AttemptStatus)
	// ProbeEnded is called when a probe has ended.
	ProbeEnded(ev dispatch.ProbeEnded)
	// Logf writes a line to the log.
	Logf(format string, args ...any)
}

// Options are a pool's settings.
type Options struct {
	Classes              []string // names of the request classes, by index
	ConnectTimeout       time.Duration
	IdleTimeout          time.Duration // after which engines close an idle connection
	StreamsPerConnection int           // maximum of open requests on one connection
	MaxConnections       int           // maximum for the whole pool
	OnDescriptorShortage func()        // called when the system is out of descriptors; may be nil
}

const (
	sweepIntervalMS = 500
	// idleCloseFraction is the fraction of the idle timeout after which a connection
	// is closed here, before its engine closes it. If a request and the engine's close
	// crossed on the network, the request might or might not have run.
	idleCloseFraction = 0.6
	writeTimeoutMS    = 5000.0
	maxLoggedFaults   = 200 // log lines for one kind of fault
)

// Pool holds the connections to all engines. Its methods must be called on the event
// loop. Each connection has one goroutine that reads and one that writes.
type Pool struct {
	Counters Counters

	loop            EventLoop
	options         Options
	engines         map[string]*engine
	connectionCount int
	lastProbe       int
	requestsWritten atomic.Int64
}

// New returns a pool without engines.
func New(loop EventLoop, options Options) *Pool {
	p := &Pool{loop: loop, options: options, engines: map[string]*engine{}}
	p.Counters.RepliesByVerb = map[string]int{}
	loop.After(sweepIntervalMS, p.sweep)
	return p
}

// RequestsWritten returns the number of requests that were written completely.
func (p *Pool) RequestsWritten() int { return int(p.requestsWritten.Load()) }

// Connections returns the number of connections, including those being established.
func (p *Pool) Connections() int { return p.connectionCount }

// sweep withdraws expired requests. It closes connections that have been idle for
// too long and those whose engine accepts no data.
func (p *Pool) sweep() {
	for _, e := range p.engines {
		for _, c := range slices.Clone(e.connections) {
			p.withdrawExpired(c)
			switch {
			case p.writeTimedOut(c):
				p.closeConnection(c, errNotAccepting)
			case c.idle() && p.loop.Now()-c.idleSinceMS > idleCloseFraction*float64(p.options.IdleTimeout.Milliseconds()):
				p.closeConnection(c, nil)
			}
		}
	}
	p.loop.After(sweepIntervalMS, p.sweep)
}

// withdrawExpired withdraws requests that have waited too long behind a blocked
// writer, so that another engine can run them before their deadline.
func (p *Pool) withdrawExpired(c *connection) {
	for _, ex := range c.exchangesInOrder() {
		if ex.expired(p.loop.Now()) {
			p.withdraw(ex)
		}
	}
}
