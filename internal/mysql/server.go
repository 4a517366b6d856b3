package mysql

import (
	"net"
	"sync/atomic"
	"time"

	"dewhill/internal/acceptloop"
	"dewhill/internal/dispatch"
)

// EventLoop is the event loop of the server and the pool. Post, PostUrgent and Now may
// be called from any goroutine, the other methods only on the event loop.
type EventLoop interface {
	// Post runs f on the event loop.
	Post(f func())
	// PostUrgent runs f on the event loop before functions queued by Post.
	PostUrgent(f func())
	// Now returns the loop's clock in Unix milliseconds.
	Now() float64
	// After runs f on the event loop after a delay.
	After(delayMS float64, f func())
	// Submit submits a request whose work is a *Statement. Unless Submit returns an
	// error, respond is called once, with a *Result if the request was served.
	Submit(r dispatch.Request, work any, respond func(dispatch.Response, any)) error
	// AbandonRequest cancels a request whose client has disconnected.
	AbandonRequest(id string)
	// DetachRequest records that no client waits for a request any more, although its
	// outcome still matters: running attempts continue and no further attempt begins.
	DetachRequest(id string)
	// AttemptEnded reports the end of an attempt, with a *Result if it was served. It is
	// called once for each attempt.
	AttemptEnded(ev dispatch.AttemptEnded, result any)
	// ProbeEnded reports the end of a probe.
	ProbeEnded(ev dispatch.ProbeEnded)
	// Logf writes a line to the log.
	Logf(format string, args ...any)
	// OpenRequests returns the number of requests that have not been answered yet.
	OpenRequests() int
}

const (
	loginTimeout      = 3 * time.Second
	evictableAfterMS  = 250.0 // a connection without a login may be evicted after this time
	clientIdleTimeout = 8 * time.Hour
	writeTimeout      = 5 * time.Second
)

// Server is the MySQL server. Its methods must be called on the event loop, except for
// Serve and ServeConn. Each client's connection has its own goroutines.
type Server struct {
	Counters ServerCounters
	Leases   Leases // nil: repeats of a load are recognized only by this process

	loop             EventLoop
	config           *Config
	accounts         []Account
	clients          map[*client]bool
	loads            map[string]*loadRecord // key: account and load id
	loadOrder        []string               // keys of loads, oldest first
	released         map[string]bool        // keys of loads whose last run had no effect
	releasedOrder    []string               // keys of released, oldest first
	keyOrder         keyOrder
	lastConnectionID uint32
	lastRequestID    uint64

	notAccepting           atomic.Bool // the listener is closed: the process ends
	shutdownDeadlinePassed bool        // all open statements were answered: the process is about to be killed
}

// NewServer returns a server.
func NewServer(loop EventLoop, config *Config) *Server {
	return &Server{
		loop:     loop,
		config:   config,
		accounts: config.Accounts,
		clients:  map[*client]bool{},
		loads:    map[string]*loadRecord{},
		released: map[string]bool{},
		keyOrder: newKeyOrder(),
	}
}

// Serve accepts clients until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	failed := func(error) {
		s.loop.Post(func() { s.Counters.AcceptErrors++ })
	}
	acceptloop.Run(listener, s.ServeConn, failed)
}

// ServeConn starts serving a client's connection.
func (s *Server) ServeConn(conn net.Conn) {
	s.loop.Post(func() { s.register(conn) })
}

func (s *Server) register(conn net.Conn) {
	s.Counters.Connections++
	s.lastConnectionID++
	c := &client{
		server:        s,
		stream:        newStream(conn),
		statements:    map[uint32]*preparedStatement{},
		connectedAtMS: s.loop.Now(),
		connectionID:  s.lastConnectionID,
	}
	s.clients[c] = true
	tooMany := len(s.clients) > s.config.Limits.Connections && !s.evict()
	if tooMany {
		s.Counters.TooManyConnections++
	}
	go c.serve(tooMany)
}

// evict closes the oldest connection that has not logged in within evictableAfterMS, and
// reports whether there was such a connection. Hundreds of connections that send nothing
// must not use up the limit and keep other clients out.
func (s *Server) evict() bool {
	var oldest *client
	for c := range s.clients {
		evictable := !c.loggedIn.Load() && s.loop.Now()-c.connectedAtMS > evictableAfterMS
		if evictable && (oldest == nil || c.connectedAtMS < oldest.connectedAtMS) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	s.Counters.EvictedConnections++
	delete(s.clients, oldest)
	_ = oldest.stream.conn.Close()
	return true
}
