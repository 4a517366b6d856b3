package httpfront

import (
	"errors"
	"strings"

	"dewhill/control"
	"dewhill/internal/dispatch"
	"dewhill/internal/sqlscan"
)

// The paths of the protocol.
const (
	healthPath    = "/-/healthy"
	countersPath  = "/-/counters"
	requestPrefix = "/api/v2/"
	pollPrefix    = "/polls/"
)

// The header fields of requests and responses.
const (
	headerRequestID      = "Req-Id"
	headerWaitMS         = "Req-Wait-Ms"
	headerWorkMS         = "Req-Cost"
	headerMemoryMB       = "X-Mb"
	headerKey            = "Req-Key"
	headerIdempotencyKey = "Req-Token"
	headerTenant         = "Req-Owner"
	headerRetryAfterMS   = "Srv-Wait-Ms"
)

// The values of err in a response body, by outcome.
const (
	errorRejected = "Rejected"
	errorFailed   = "Failed"
	errorDeadline = "Deadline"
)

const (
	maxWaitMS   = 3600_000
	maxMemoryMB = 1 << 20

	// Delivery of a response may take some time on a busy core, and a response that
	// arrives after the client's deadline is lost. So the deadline of a request is
	// earlier than the client's by deliveryAllowanceMS, or by a tenth of the wait if
	// that is less.
	deliveryAllowanceMS      = 80.0
	deliveryAllowanceDivisor = 10
)

// handle dispatches a message from a connection by its method and path.
func (s *Server) handle(c *connection, m *request) {
	s.Counters.Messages++
	c.requestCount++
	c.pollDueMS = 0
	switch {
	case c.closed || c.ending: // the last response is already queued, for example 408 for a slow message
	case m.method == "GET" && m.path == healthPath:
		s.respondHealth(c, m)
	case m.method == "GET" && m.path == countersPath:
		s.respond(c, &response{status: 200, body: s.loop.CountersJSON(), closeAfter: m.closeAfter})
	case strings.HasPrefix(m.path, pollPrefix):
		s.handlePoll(c, m)
	case strings.HasPrefix(m.path, requestPrefix):
		s.handleRequest(c, m)
	default:
		s.reject(c, &requestError{404, "no such path"})
	}
}

func (s *Server) respondHealth(c *connection, m *request) {
	status := 200
	if s.shuttingDown || s.draining {
		status = 503
	}
	s.respond(c, &response{status: status, body: emptyBody, closeAfter: m.closeAfter})
}

func (s *Server) handleRequest(c *connection, m *request) {
	if m.method != "POST" {
		s.reject(c, &requestError{405, "only POST"})
		return
	}
	err := s.submit(c, m)
	if err == nil {
		return
	}
	if class, found := s.classIndexes[strings.TrimPrefix(m.path, requestPrefix)]; found {
		s.Counters.Classes[class].Failed++
	}
	var malformed *requestError
	if !errors.As(err, &malformed) {
		malformed = &requestError{409, err.Error()}
	}
	s.reject(c, malformed)
}

// reject responds to a malformed message with an error and closes the connection.
func (s *Server) reject(c *connection, malformed *requestError) {
	if c.ending {
		return
	}
	s.Counters.Malformed++
	s.Counters.MalformedByReason[malformed.reason]++
	s.respond(c, &response{status: malformed.status, body: errorBody(malformed.reason), closeAfter: true})
}

// submit parses a request and submits it to the event loop.
func (s *Server) submit(c *connection, m *request) error {
	r, err := s.parseRequest(m)
	if err != nil {
		return err
	}
	key, err := m.idempotencyKey(s.classLimits[r.Class].RequiresIdempotencyKey)
	if err != nil {
		return err
	}
	s.Counters.Requests++
	if c.overLimit {
		s.rejectOverload(c, r.Class)
		return nil
	}
	if s.exchanges[r.ID] != nil {
		return requestErrorf(409, "Req-Id is in use")
	}
	ex := &exchange{id: r.ID, class: r.Class}
	s.exchanges[r.ID] = ex
	s.attach(c, ex, 0)
	query := dispatch.Query{Statement: m.body, IdempotencyKey: key}
	err = s.loop.Submit(r, query, func(final dispatch.Response, result any) {
		s.handleResponse(ex, final, result)
	})
	if err != nil {
		delete(s.exchanges, r.ID)
		ex.detach()
	}
	return err
}

func (s *Server) rejectOverload(c *connection, class int) {
	s.Counters.Overload++
	s.Counters.Rejected++
	s.Counters.Classes[class].Rejected++
	s.respond(c, s.rejection())
}

// rejection returns a response that asks the client to retry after retryAfterMS.
func (s *Server) rejection() *response {
	return &response{status: 503, retryAfterMS: s.retryAfterMS, body: errorBody(errorRejected), closeAfter: true}
}

// parseRequest parses the fields of a request. The error for a malformed or
// out-of-range field is a *requestError. Such values never reach an engine: one
// extreme value would influence the statistics behind the decisions more than a day
// of valid values.
func (s *Server) parseRequest(m *request) (dispatch.Request, error) {
	class, found := s.classIndexes[strings.TrimPrefix(m.path, requestPrefix)]
	if !found {
		return dispatch.Request{}, requestErrorf(404, "unknown class")
	}
	id, err := m.requestID()
	if err != nil {
		return dispatch.Request{}, err
	}
	waitMS, err := m.waitMS()
	if err != nil {
		return dispatch.Request{}, err
	}
	workMS, err := m.numberField(headerWorkMS, s.classLimits[class].MaxWorkMS)
	if err != nil {
		return dispatch.Request{}, err
	}
	memoryMB, err := m.numberField(headerMemoryMB, maxMemoryMB)
	if err != nil {
		return dispatch.Request{}, err
	}
	key, err := m.orderKey()
	if err != nil {
		return dispatch.Request{}, err
	}
	tenant, err := m.field(headerTenant)
	if err != nil {
		return dispatch.Request{}, err
	}
	if len(m.body) == 0 {
		return dispatch.Request{}, requestErrorf(400, "no statement")
	}
	return dispatch.Request{
		ID:           id,
		Class:        class,
		Tenant:       s.tenantIndex(tenant),
		Key:          key,
		ArrivedAtMS:  m.arrivedAtMS,
		DeadlineAtMS: m.arrivedAtMS + waitMS - min(deliveryAllowanceMS, waitMS/deliveryAllowanceDivisor),
		WorkMS:       workMS,
		MemoryMB:     memoryMB,
		Dataset:      sqlscan.TableGroup(string(m.body)),
	}, nil
}

// tenantIndex returns the index of the tenant with the given name, or 0 if no tenants
// are configured. A request without a tenant, or of a tenant that is not configured,
// is served like any other request; only its weight in overload differs.
func (s *Server) tenantIndex(name string) int {
	if len(s.tenantIndexes) == 0 {
		return 0
	}
	index, found := s.tenantIndexes[name]
	if !found {
		s.Counters.UnknownTenants++
		return control.NoTenant
	}
	return index
}

// handlePoll handles a message to a poll path: GET polls for a chunk of the result,
// DELETE cancels the request. A path that no response has given is unknown, and calling
// it has no effect on the request that it names.
func (s *Server) handlePoll(c *connection, m *request) {
	ex, chunk := s.findPollPath(m.path)
	if ex == nil {
		s.reject(c, &requestError{404, "no such result"})
		return
	}
	switch m.method {
	case "GET":
		s.pollResult(c, ex, chunk)
	case "DELETE":
		s.disconnectWaiting(ex)
		s.abandon(ex)
		s.respond(c, &response{status: 200, body: emptyBody, closeAfter: m.closeAfter})
	default:
		s.reject(c, &requestError{405, "only GET or DELETE"})
	}
}

// findPollPath returns the exchange and the chunk of a poll path, or nil if no response
// has given the path.
func (s *Server) findPollPath(path string) (ex *exchange, chunk int) {
	id, number, _ := strings.Cut(strings.TrimPrefix(path, pollPrefix), "/")
	ex = s.exchanges[id]
	chunk, err := parseDigits(number)
	if ex == nil || err != nil || chunk >= ex.pollPathsSent || path != ex.pollPath(chunk) {
		return nil, 0
	}
	return ex, chunk
}

func (s *Server) pollResult(c *connection, ex *exchange, chunk int) {
	// A client that polls again on a new connection has lost its previous one.
	s.disconnectWaiting(ex)
	s.attach(c, ex, chunk)
	if ex.clientDisconnected {
		ex.clientDisconnected = false
		s.loop.SetClientDisconnected(ex.id, false)
	}
	if ex.completed {
		s.deliver(ex)
	}
}

// disconnectWaiting disconnects the connection that waits for an exchange's response.
func (s *Server) disconnectWaiting(ex *exchange) {
	waiting := ex.waiting
	if waiting == nil {
		return
	}
	ex.detach()
	s.disconnect(waiting)
}
