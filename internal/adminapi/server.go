// Package adminapi serves the operators' HTTP API on an address of its own, one
// request a connection. A 2xx status means that the request was carried out; a
// 4xx or 5xx status means that it was not.
//
//	server.go   connections, their bounds, responses
//	request.go  reading a request
//	routes.go   what each path does
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
	lingerBytes     = 512 // read after the response, so that closing resets nothing
)

// Controller carries requests out. Its methods are called from the server's
// goroutines.
type Controller interface {
	// Ready reports whether this process takes clients.
	Ready() bool
	// CountersJSON returns the counters.
	CountersJSON() []byte
	// SetEngineOverride disables an engine by administrative override, or lifts
	// the override. An error is answered with 404, a *RefusalError as it says.
	SetEngineOverride(engine string, disabled bool) error
	// SetInService lets the front end serve, or drains it. Errors as above.
	SetInService(inService bool) error
	// FleetJSON returns the view of the fleet; nil if there is none.
	FleetJSON() []byte
	// StateJSON returns the replicated state; nil if there is none.
	StateJSON() []byte
}

// RefusalError is an error with a response of its own.
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
	incomplete    []net.Conn // callers whose request is not complete, oldest first
}

// New returns a server for at most maxCallers whose requests are incomplete.
func New(controller Controller, maxIncomplete int) *Server {
	return &Server{controller: controller, maxIncomplete: max(minIncomplete, maxIncomplete)}
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	handle := func(conn net.Conn) {
		s.addIncomplete(conn)
		go s.serveConn(conn)
	}
	ignore := func(error) {} // the caller waits in the backlog
	acceptloop.Run(listener, handle, ignore)
}

// addWaiting adds a caller. At the limit the oldest one is closed: callers that
// connect and send nothing must not keep others out.
func (s *Server) addIncomplete(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.incomplete) >= s.maxIncomplete {
		_ = s.incomplete[0].Close()
		s.incomplete = s.incomplete[1:]
	}
	s.incomplete = append(s.incomplete, conn)
}

func (s *Server) removeIncomplete(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incomplete = slices.DeleteFunc(s.incomplete, func(other net.Conn) bool { return other == conn })
}

// serveConn answers one request. Deadlines that can't be set belong to a
// connection that is closed, which the read or write after them reports.
func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	request, err := readRequest(conn)
	s.removeIncomplete(conn)
	if err != nil && !errors.Is(err, errMalformedRequest) {
		return // the connection ended, or its request did not come in time
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

// linger reads what the caller still sends: closing over unread bytes would
// reset the connection under its response.
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

// response is a status and a JSON body; an empty object where that is nil.
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
