// Package httpfront is the HTTP/1.1 server for the platform's clients. It passes
// their requests to the event loop and returns the responses; it makes no decisions
// about requests.
//
// Guarantees for a connection:
//
//   - A request is either accepted and responded to, or not accepted, in which case
//     the connection ends. A request that arrives while its connection is being
//     closed is never accepted.
//
//   - The disconnect of a client is noticed while its request is open, even after
//     pipelined input.
//
//   - A close does not reset the connection before a written response has arrived:
//     input is read for a limited time, until the client closes as well.
//
//     server.go      the server, its options and its shutdown
//     routes.go      the handlers of the paths and the fields of a request
//     exchange.go    a request from its first message to its last response
//     request.go     reading an HTTP message
//     response.go    writing an HTTP message
//     connection.go  the state that a connection's goroutines share
//     reader.go      reading a connection's messages
//     writer.go      writing a connection's responses
//     accept.go      accepting connections within the limit
//     eviction.go    choosing and closing connections to free slots
//     timeouts.go    timeouts of connections and exchanges
//     counters.go    counters
package httpfront

import (
	"sync"
	"time"

	"dewhill/internal/dispatch"
)

// EventLoop is the server's event loop. Post, PostUrgent and Now may be called
// from any goroutine, the other methods only on the event loop.
type EventLoop interface {
	// Post runs f on the event loop.
	Post(f func())
	// PostUrgent runs f on the event loop before functions queued by Post.
	PostUrgent(f func())
	// Now returns the loop's clock in Unix milliseconds.
	Now() float64
	// After runs f on the event loop after a delay.
	After(delayMS float64, f func())
	// Submit submits a request with its query. Unless Submit returns an error, respond
	// is called once, with the pages as [][]byte if the request was served.
	Submit(r dispatch.Request, work any, respond func(dispatch.Response, any)) error
	// AbandonRequest cancels a request whose client has disconnected or no longer waits.
	AbandonRequest(id string)
	// SetClientDisconnected records that a request's client may have disconnected, or
	// that it is connected again. No attempt begins while the client is disconnected.
	SetClientDisconnected(id string, disconnected bool)
	// DetachRequest records that no client waits for a request any more, although its
	// outcome still matters: running attempts continue and no further attempt begins.
	DetachRequest(id string)
	// CountersJSON returns all counters as JSON.
	CountersJSON() []byte
}

// ClassLimits configures the limits and requirements for requests of a class.
type ClassLimits struct {
	Name      string
	MaxWorkMS float64 // maximum work of a request, on one core; no engine could do more in time
	// RequiresIdempotencyKey makes a request without an idempotency key malformed.
	// Engines recognize a repeated request by its key.
	RequiresIdempotencyKey bool
}

// Options are the server's settings.
type Options struct {
	Classes        []ClassLimits
	Tenants        []string // names, in the settings' order
	MaxConnections int      // maximum number of connections served at the same time
	MemoryMB       int      // memory limit of the whole process; 0 if unlimited
	RetryAfterMS   int      // sent in rejections that the server itself makes
}

const (
	maxBodyBytes      = 1 << 20
	minBodyBytes      = 16 << 10
	maxPipelinedBytes = 64 << 10 // input buffered while a response is awaited
	minPipelinedBytes = 4 << 10

	// Bodies on all connections together may use 1/bodyMemoryDivisor of the process's
	// memory, and pipelined input 1/pipelinedMemoryDivisor.
	bodyMemoryDivisor      = 8
	pipelinedMemoryDivisor = 16

	// MaxConnections/excessDivisor connections may be open in addition, so that requests
	// on the excess connections can be rejected with a response.
	excessDivisor = 4
)

// Server is the HTTP server. Its methods must be called on the event loop, except
// for Serve and ServeConn.
type Server struct {
	Counters Counters

	loop           EventLoop
	classIndexes   map[string]int
	classLimits    []ClassLimits
	tenantIndexes  map[string]int
	maxBodyBytes   int
	retryAfterMS   int
	connections    map[*connection]bool
	exchanges      map[string]*exchange // by request ID
	retained       []string             // IDs of retained exchanges, oldest first
	shuttingDown   bool
	draining       bool // clients are to move to other front ends
	notAccepting   bool // the listener is closed
	admission      sync.Mutex
	noSlotFree     bool          // the last wait for a slot timed out; guarded by admission
	slots          chan struct{} // one token for each connection that holds a descriptor
	maxPipelined   int           // bytes of pipelined input buffered per connection
	maxConnections int           // served; requests on excess connections are rejected
}

// New returns a server with the given options and starts its periodic sweep on loop.
func New(loop EventLoop, options Options) *Server {
	slots := options.MaxConnections + options.MaxConnections/excessDivisor
	s := &Server{
		loop:           loop,
		classIndexes:   map[string]int{},
		classLimits:    options.Classes,
		tenantIndexes:  map[string]int{},
		maxConnections: options.MaxConnections,
		maxBodyBytes:   maxBodyBytes,
		maxPipelined:   maxPipelinedBytes,
		retryAfterMS:   options.RetryAfterMS,
		connections:    map[*connection]bool{},
		exchanges:      map[string]*exchange{},
		slots:          make(chan struct{}, slots),
	}
	s.Counters.MalformedByReason = map[string]int{}
	s.Counters.Classes = make([]Outcomes, len(options.Classes))
	if options.MemoryMB > 0 {
		// The memory must suffice if every connection sends as much as is allowed.
		bytesPerConnection := options.MemoryMB << 20 / max(1, slots)
		s.maxBodyBytes = min(maxBodyBytes, max(minBodyBytes, bytesPerConnection/bodyMemoryDivisor))
		s.maxPipelined = min(maxPipelinedBytes, max(minPipelinedBytes, bytesPerConnection/pipelinedMemoryDivisor))
	}
	for index, class := range options.Classes {
		s.classIndexes[class.Name] = index
	}
	for index, name := range options.Tenants {
		if name != "" {
			s.tenantIndexes[name] = index
		}
	}
	loop.After(sweepIntervalMS, s.sweep)
	return s
}

// SetDraining starts or stops draining, which makes clients move to other front ends.
// While the server drains, it reports itself as unhealthy, each final response is the
// last on its connection, and idle connections are closed.
func (s *Server) SetDraining(draining bool) { s.draining = draining }

// BeginShutdown makes the server report itself as unhealthy, as the process is about
// to end.
func (s *Server) BeginShutdown() { s.shuttingDown = true }

// StopAccepting must be called after the listener is closed. It closes idle
// connections and makes each final response the last on its connection, so that no
// request arrives that the end of the process would interrupt.
func (s *Server) StopAccepting() {
	s.notAccepting = true
	for c := range s.connections {
		if c.ending {
			_ = c.socket.SetReadDeadline(time.Now().Add(closeLinger))
		}
	}
	s.closeTimedOut()
}

// Idle reports whether no client waits for a response and all connections have
// ended.
func (s *Server) Idle() bool {
	for _, ex := range s.exchanges {
		if !ex.completed || ex.waiting != nil {
			return false
		}
	}
	return len(s.connections) == 0
}
