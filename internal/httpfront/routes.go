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

// The names of a request's header fields.
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

// The words for the outcomes in a response's body.
const (
	errorRejected = "Rejected"
	errorFailed   = "Failed"
	errorDeadline = "Deadline"
)

const (
	maxWaitMS   = 3600_000
	maxMemoryMB = 1 << 20

	// A response may be on its way for some time on a busy core, and after the
	// client's deadline it is lost. So a request's deadline is earlier by this,
	// or by a tenth of the wait if that is less.
	deliveryAllowanceMS      = 80.0
	deliveryAllowanceDivisor = 10
)

// handle takes a message from a connection.
func (s *Server) handle(c *connection, m *request) {
	s.Counters.Messages++
	c.requestCount++
	c.pollDueMS = 0
	switch {
	case c.closed || c.ending: // it was answered meanwhile, for being too slow
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

// reject answers a malformed message.
func (s *Server) reject(c *connection, malformed *requestError) {
	if c.ending {
		return
	}
	s.Counters.Malformed++
	s.Counters.MalformedByReason[malformed.reason]++
	s.respond(c, &response{status: malformed.status, body: errorBody(malformed.reason), closeAfter: true})
}

// submit hands a request to the event loop.
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
	s.awaitAnswer(c, ex, 0)
	query := dispatch.Query{Statement: m.body, IdempotencyKey: key}
	err = s.loop.Submit(r, query, func(answer dispatch.Response, result any) { s.handleAnswer(ex, answer, result) })
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

// rejection is the response that tells a client to come again.
func (s *Server) rejection() *response {
	return &response{status: 503, retryAfterMS: s.retryAfterMS, body: errorBody(errorRejected), closeAfter: true}
}

// parseRequest reads a request's fields. What is malformed or out of range is a
// *requestError and never reaches an engine: by a wild figure the decisions
// would learn more than by a day's true ones.
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

// tenantIndex returns the index of a tenant by its name; 0 where no tenants are
// configured. A request of a tenant that is not configured, or that names none, is
// served like any other: only its weight in overload differs.
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

// handlePoll takes a message to a path that an earlier response gave.
func (s *Server) handlePoll(c *connection, m *request) {
	id, number, _ := strings.Cut(strings.TrimPrefix(m.path, pollPrefix), "/")
	chunk, err := parseDigits(number)
	ex := s.exchanges[id]
	if err != nil || ex == nil || ex.answered && ex.chunks != nil && chunk >= len(ex.chunks) {
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

func (s *Server) pollResult(c *connection, ex *exchange, chunk int) {
	// A client that polls again on a new connection has lost the old one.
	s.disconnectWaiting(ex)
	s.awaitAnswer(c, ex, chunk)
	if ex.clientDisconnected {
		ex.clientDisconnected = false
		s.loop.SetClientDisconnected(ex.id, false)
	}
	if ex.answered {
		s.deliver(ex)
	}
}

// disconnectWaiting closes the connection that waits for an exchange's answer.
func (s *Server) disconnectWaiting(ex *exchange) {
	waiting := ex.waiting
	if waiting == nil {
		return
	}
	ex.detach()
	s.disconnect(waiting)
}
