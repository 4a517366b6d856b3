package mysql

import (
	"net"
	"sync/atomic"
	"time"

	"dewhill/internal/acceptloop"
	"dewhill/internal/dispatch"
	"dewhill/internal/lineproto"
)

// EventLoop is the event loop of server and pool. Post, PostUrgent and Now may be
// called from any goroutine, the rest only on the event loop.
type EventLoop interface {
	// Post runs f on the event loop.
	Post(f func())
	// PostUrgent runs f on the event loop ahead of what is posted.
	PostUrgent(f func())
	// Now returns the loop's clock in Unix milliseconds.
	Now() float64
	// After runs f on the event loop after a delay.
	After(delayMS float64, f func())
	// Submit takes a request whose work is a *Statement. Unless it returns an
	// error, answer is called once, with a *Result if the request was served.
	Submit(r dispatch.Request, work any, answer func(dispatch.Response, any)) error
	// AbandonRequest cancels a request whose client has disconnected.
	AbandonRequest(id string)
	// DetachRequest notes that nobody waits for a request whose outcome still
	// matters: attempts in flight go on, no further one begins.
	DetachRequest(id string)
	// AttemptEnded takes how an attempt ended, once for each.
	AttemptEnded(ev dispatch.AttemptEnded, result any)
	// ProbeEnded takes how a probe ended.
	ProbeEnded(ev dispatch.ProbeEnded)
	// Logf writes a line to the log.
	Logf(format string, args ...any)
	// OpenRequests returns how many requests are owed an answer.
	OpenRequests() int
}

const (
	loginTimeout      = 3 * time.Second
	evictableAfterMS  = 250.0 // without a login
	clientIdleTimeout = 8 * time.Hour
	writeTimeout      = 5 * time.Second
)

// Server is the MySQL server. Its methods are called on the event loop, except
// for Serve and ServeConn; each client's connection has goroutines of its own.
type Server struct {
	Counters ServerCounters
	Leases   Leases // nil: ids of loads are known to this process only

	loop             EventLoop
	config           *Config
	accounts         []Account
	clients          map[*client]bool
	loads            map[string]*loadRecord // by account and id
	loadOrder        []string               // their names, oldest first
	lastConnectionID uint32
	lastRequestID    uint64
	shuttingDown     atomic.Bool
}

// NewServer returns a server.
func NewServer(loop EventLoop, config *Config) *Server {
	return &Server{
		loop:     loop,
		config:   config,
		accounts: config.Accounts,
		clients:  map[*client]bool{},
		loads:    map[string]*loadRecord{},
	}
}

// Serve accepts clients until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	failed := func(error) {
		s.loop.Post(func() { s.Counters.AcceptErrors++ })
	}
	acceptloop.Run(listener, s.ServeConn, failed)
}

// ServeConn serves a connection.
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

// evict closes the oldest connection that has not logged in, and reports whether
// there was one: those that connect by the hundred and send nothing must not keep
// clients out.
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

// BeginShutdown ends the connections of idle clients, and others after their
// answer. A client whose command has arrived but is not read yet is not idle.
func (s *Server) BeginShutdown() {
	s.shuttingDown.Store(true)
	for c := range s.clients {
		if !c.busy && !lineproto.HasUnread(c.stream.conn) {
			_ = c.stream.conn.SetReadDeadline(time.Now())
		}
	}
}

// Idle reports whether no client waits for an answer.
func (s *Server) Idle() bool {
	for c := range s.clients {
		if c.busy {
			return false
		}
	}
	return true
}
