// Package adminapi serves the operators' HTTP API on a separate address, with one
// request per connection. A 2xx status means that the request was carried out; a 4xx or
// 5xx status means that it was not.
//
//	server.go   connections, their limits, responses
//	request.go  reading a request
//	routes.go   paths and their handlers
package adminapi

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"dewhill/internal/acceptloop"
	"dewhill/internal/httpresponse"
)

const (
	requestTimeout  = 3 * time.Second
	responseTimeout = time.Second
	minIncomplete   = 2
	lingerBytes     = 512 // read after the response, so that closing does not reset the connection
)

// Controller carries out requests. Its methods are called from the server's
// goroutines.
type Controller interface {
	// Ready reports whether this process accepts clients.
	Ready() bool
	// CountersJSON returns the counters as JSON.
	CountersJSON() []byte
	// SetEngineOverride disables an engine by administrative override, or removes
	// the override. A *RefusalError determines the response; any other error leads
	// to status 404.
	SetEngineOverride(engine string, disabled bool) error
	// SetInService puts the front end in service, or drains it. Errors lead to the
	// same responses as those of SetEngineOverride.
	SetInService(inService bool) error
	// FleetJSON returns the view of the fleet as JSON, or nil if there is none.
	FleetJSON() []byte
	// StateJSON returns the replicated state as JSON, or nil if there is none.
	StateJSON() []byte
}

// RefusalError is an error that determines the status and body of the response.
type RefusalError struct {
	Status int
	Body   []byte // JSON
}

// Error returns the body.
func (e *RefusalError) Error() string { return string(e.Body) }

// Server serves operators' requests.
type Server struct {
	controller    Controller
	maxIncomplete int
	mu            sync.Mutex
	incomplete    []net.Conn // connections whose request is not complete, oldest first
}

// New returns a server that keeps at most maxIncomplete connections with an incomplete
// request. A limit below minIncomplete is raised to minIncomplete.
func New(controller Controller, maxIncomplete int) *Server {
	return &Server{controller: controller, maxIncomplete: max(minIncomplete, maxIncomplete)}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	handle := func(conn net.Conn) {
		s.addIncomplete(conn)
		go s.serveConn(conn)
	}
	ignore := func(error) {} // the connection waits in the backlog until accepting succeeds
	acceptloop.Run(listener, handle, ignore)
}

// addIncomplete adds a connection. At the limit it closes the oldest connection, so that
// operators are not locked out by connections on which nothing is sent.
func (s *Server) addIncomplete(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.incomplete) >= s.maxIncomplete {
		_ = s.incomplete[0].Close()
		s.incomplete = s.incomplete[1:]
	}
	s.incomplete = append(s.incomplete, conn)
}

// removeIncomplete removes a connection whose request has been read or has failed.
func (s *Server) removeIncomplete(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incomplete = slices.DeleteFunc(s.incomplete, func(other net.Conn) bool { return other == conn })
}

// serveConn serves one request. Errors of SetDeadline are ignored: they mean that the
// connection is closed, which the following read or write reports.
func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	request, err := readRequest(conn)
	s.removeIncomplete(conn)
	if err != nil && !errors.Is(err, errMalformedRequest) {
		return // the connection was closed, or the request did not arrive in time
	}
	resp := response{status: statusBadRequest}
	if err == nil {
		resp = s.handle(request)
	}
	_ = conn.SetDeadline(time.Now().Add(responseTimeout))
	if err := resp.write(conn); err != nil {
		return
	}
	linger(conn)
}

// linger reads what the client still sends. Closing a connection with unread bytes would
// reset it, and the client could lose the response.
func linger(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.CloseWrite()
	_, _ = tcp.Read(make([]byte, lingerBytes))
}

// The status codes of responses.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusNotFound           = 404
	statusMethodNotAllowed   = 405
	statusServiceUnavailable = 503
)

// response is a status and a JSON body. A nil body is sent as an empty object.
type response struct {
	status int
	body   []byte
}

func (r response) write(conn net.Conn) error {
	message := httpresponse.Response{Status: r.status, Body: r.body, CloseAfter: true}
	if r.body == nil {
		message.Body = []byte("{}")
	}
	return message.Write(conn)
}
