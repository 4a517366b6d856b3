// Package engineclient is the client of the platform's engines: a line protocol
// over TCP with many requests on one connection.
//
// A request is written at most once. Until its connection's writer takes it, it
// can be withdrawn, and then it provably never ran: when it is cancelled, when
// its engine drains, moves or is removed, or when it is too late. A connection
// that breaks ends its requests only when it is known how much of them was
// written.
//
//	pool.go        the pool, its options, idle connections
//	engine.go      engines and their addresses
//	attempt.go     starting and cancelling attempts, probes
//	exchange.go    an attempt or probe on its connection, until its end
//	connection.go  choosing, opening and closing connections
//	writer.go      writing commands
//	replies.go     what replies lead to
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
	// After runs f on the event loop after a delay.
	After(delayMS float64, f func())
	// AttemptEnded takes how an attempt ended, once for each. Of one that was
	// served, result is its pages as [][]byte.
	AttemptEnded(ev dispatch.AttemptEnded, result any)
	// AttemptStatus takes what an engine reports of an attempt that goes on.
	AttemptStatus(ev dispatch.AttemptStatus)
	// ProbeEnded takes how a probe ended.
	ProbeEnded(ev dispatch.ProbeEnded)
	// Logf writes a line to the log.
	Logf(format string, args ...any)
}

// Options are a pool's settings.
type Options struct {
	Classes              []string // names of the request classes, by index
	ConnectTimeout       time.Duration
	IdleTimeout          time.Duration // after which engines close idle connections
	StreamsPerConnection int           // requests open on one connection at most
	MaxConnections       int           // of the whole pool
	OnDescriptorShortage func()        // called when the system is out of descriptors; may be nil
}

const (
	sweepIntervalMS = 500
	// idleFraction of the idle timeout after which a connection is closed, before
	// its engine does: of a request that meets the engine's close nobody could
	// tell whether it ran.
	idleCloseFraction = 0.6
	writeTimeoutMS    = 5000.0
	maxLoggedFaults   = 200 // lines of a kind
)

// Pool holds the connections to all engines. Its methods are called on the event
// loop; each connection has a goroutine that reads and one that writes.
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

// RequestsWritten returns how many requests were written completely.
func (p *Pool) RequestsWritten() int { return int(p.requestsWritten.Load()) }

// Connections returns how many connections there are.
func (p *Pool) Connections() int { return p.connectionCount }

// sweep withdraws expired requests, and closes connections that are idle or
// whose engine accepts nothing.
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

// withdrawExpired withdraws what waits behind a blocked writer for too long, so
// that it may go elsewhere before its deadline.
func (p *Pool) withdrawExpired(c *connection) {
	for _, ex := range c.exchangesInOrder() {
		if ex.expired(p.loop.Now()) {
			p.withdraw(ex)
		}
	}
}
