// Package httpfront is the HTTP/1.1 server for the platform's clients. It hands
// their requests to the event loop and returns the answers; it decides nothing
// about them.
//
// What it guarantees of a connection: a request is either taken, and then
// answered, or not taken, and then the connection ends. One that arrives while
// the connection is being closed is never taken. A client that disconnects is
// noticed while its request is open, whatever it has sent ahead. Closing never
// resets away a response that was written: input is read on, for a bounded time,
// until the client closes too.
//
//	server.go      the server, its options and its shutdown
//	routes.go      what each path does, request fields
//	exchange.go    a request from its first message to its last response
//	request.go     reading one HTTP message
//	response.go    writing one HTTP message
//	connection.go  the state that a connection's goroutines share
//	reader.go      reading a connection's messages
//	writer.go      writing a connection's responses
//	accept.go      accepting connections within the limit
//	eviction.go    which connection makes room for another
//	timeouts.go    connections and exchanges that time out
//	counters.go    counters
package httpfront

import (
	"sync"
	"time"

	"dewhill/internal/dispatch"
)

// EventLoop is the server's event loop. Post, PostUrgent and Now may be called
// from any goroutine, the rest only on the event loop.
type EventLoop interface {
	// Post runs f on the event loop.
	Post(f func())
	// PostUrgent runs f on the event loop ahead of what is posted.
	PostUrgent(f func())
	// Now returns the loop's clock in Unix milliseconds.
	Now() float64
	// After runs f on the event loop after a delay.
	After(delayMS float64, f func())
	// Submit takes a request. Unless it returns an error, answer is called once,
	// with the pages as [][]byte if the request was served.
	Submit(r dispatch.Request, work any, answer func(dispatch.Response, any)) error
	// AbandonRequest cancels a request whose client has disconnected.
	AbandonRequest(id string)
	// SetClientDisconnected notes that a request's client may have disconnected, or that
	// it is back. While it is away no attempt begins.
	SetClientDisconnected(id string, disconnected bool)
	// DetachRequest notes that nobody waits for a request whose outcome still
	// matters: attempts in flight go on, no further one begins.
	DetachRequest(id string)
	// CountersJSON returns all counters.
	CountersJSON() []byte
}

// ClassLimits bound what a request of a class may ask for.
type ClassLimits struct {
	Name      string
	MaxWorkMS float64 // on one core; no engine could do more in time
	// RequiresIdempotencyKey makes a request without a key malformed: engines
	// recognize a repeated request by it.
	RequiresIdempotencyKey bool
}

// Options are the server's settings.
type Options struct {
	Classes        []ClassLimits
	Tenants        []string // names, in the settings' order
	MaxConnections int      // served at once
	MemoryMB       int      // of the whole process; 0: not limited
	RetryAfterMS   int      // of rejections by the server itself
}

const (
	maxBodyBytes      = 1 << 20
	minBodyBytes      = 16 << 10
	maxPipelinedBytes = 64 << 10 // sent ahead of a response
	minPipelinedBytes = 4 << 10

	// The parts of the process's memory that all connections together may fill
	// with bodies and with what is sent ahead.
	bodyMemoryDivisor      = 8
	pipelinedMemoryDivisor = 16

	// excessDivisor of the connections served may be open beyond them, so that
	// they can be answered with a rejection.
	excessDivisor = 4
)

// Server is the HTTP server. Its methods are called on the event loop, except
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
	exchanges      map[string]*exchange // by request id
	retained       []string             // ids of exchanges whose answer is retained, oldest first
	shuttingDown   bool
	draining       bool // clients are to go elsewhere
	notAccepting   bool // no connection is accepted any more
	admission      sync.Mutex
	noSlotFree     bool          // no slot came free in time; guarded by admission
	slots          chan struct{} // a token for each connection that holds a descriptor
	maxPipelined   int           // bytes kept of what a client sends ahead
	maxConnections int           // that are served; a few more are rejected
}

// New returns a server for classes of requests.
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
		// The memory must suffice when every connection sends as much as it may.
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

// SetDraining sends clients elsewhere, or ends that. While it is set, the server
// is not healthy, each request's answer is the last on its connection, and idle
// connections are closed.
func (s *Server) SetDraining(draining bool) { s.draining = draining }

// BeginShutdown makes the server unhealthy, as the process is about to end.
func (s *Server) BeginShutdown() { s.shuttingDown = true }

// StopAccepting follows the close of the listener: idle connections are closed,
// and each answer is the last on its connection, so that no request comes that
// the end of the process would cut off.
func (s *Server) StopAccepting() {
	s.notAccepting = true
	for c := range s.connections {
		if c.ending {
			_ = c.socket.SetReadDeadline(time.Now().Add(closeLinger))
		}
	}
	s.closeStalled()
}

// Idle reports whether no client is owed anything and all connections have
// ended.
func (s *Server) Idle() bool {
	for _, ex := range s.exchanges {
		if !ex.answered || ex.waiting != nil {
			return false
		}
	}
	return len(s.connections) == 0
}
