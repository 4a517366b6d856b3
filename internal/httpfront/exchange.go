package httpfront

import (
	"fmt"
	"math"
	"slices"

	"dewhill/internal/dispatch"
)

const (
	pollAfterMS   = 5000     // without a response the client is sent a poll path
	pollTimeoutMS = 1000.0   // within which a client with a poll path must poll
	maxChunkBytes = 64 << 10 // row data in one response
	retainMS      = 5000     // how long a completed exchange is retained
	maxRetained   = 256      // completed exchanges
)

// exchange is a client's request, from its first message to its last response. A
// request can span several messages: the client polls for the result.
type exchange struct {
	id            string
	class         int
	waiting       *connection // whose message waits for a response; nil if none
	messageCount  int         // messages received so far
	nextChunk     int         // chunk requested by the waiting message
	completed     bool
	chunks        [][][]byte // the result's pages, grouped by response; nil unless served
	errorResponse response   // set if completed and not served

	pollPathsSent      int         // chunks up to the last one whose poll path was sent; 0: none
	pollPathConnection *connection // on which the poll path was last sent; nil once polled
	clientDisconnected bool        // the client's connection has closed and it has not polled since
	pollDueMS          float64     // if the client has not polled by then, it is not expected to
}

// detach ends a connection's wait for an exchange's response.
func (ex *exchange) detach() {
	ex.waiting.exchange = nil
	ex.waiting = nil
}

// pollPath returns the path of a chunk of the result.
func (ex *exchange) pollPath(chunk int) string {
	return fmt.Sprintf("%s%s/%d", pollPrefix, ex.id, chunk)
}

// givePollPath returns the path of a chunk for a response to the client, which may call it
// from then on.
func (ex *exchange) givePollPath(chunk int) string {
	ex.pollPathsSent = max(ex.pollPathsSent, chunk+1)
	return ex.pollPath(chunk)
}

// attach makes a connection wait for an exchange's response. If no response is
// available within pollAfterMS, the client is sent a poll path.
func (s *Server) attach(c *connection, ex *exchange, chunk int) {
	ex.waiting = c
	ex.nextChunk = chunk
	ex.pollPathConnection = nil
	ex.pollDueMS = 0
	ex.messageCount++
	c.exchange = ex
	// The timer must not refer to the exchange, which would keep its rows in memory.
	id := ex.id
	messageCount := ex.messageCount
	s.loop.After(pollAfterMS, func() { s.sendPollPath(id, messageCount) })
}

// sendPollPath responds with a poll path to a message that still waits. messageCount
// identifies the message, since each later message of the exchange has its own timer.
func (s *Server) sendPollPath(id string, messageCount int) {
	ex := s.exchanges[id]
	if ex == nil || ex.waiting == nil || ex.messageCount != messageCount || ex.completed {
		return
	}
	c := ex.waiting
	ex.waiting = nil
	path := ex.givePollPath(0)
	ex.pollDueMS = s.loop.Now() + pollTimeoutMS
	ex.pollPathConnection = c
	c.pollPathExchange = ex
	s.Counters.PollPathsSent++
	s.respond(c, &response{status: 200, pollPath: path})
}

// handleResponse stores the final response of the event loop and delivers it to the
// waiting message. Without a waiting message the exchange is retained.
func (s *Server) handleResponse(ex *exchange, final dispatch.Response, result any) {
	ex.completed = true
	class := &s.Counters.Classes[ex.class]
	switch final.Outcome {
	case dispatch.Served:
		s.Counters.Served++
		class.Served++
		pages, _ := result.([][]byte)
		ex.chunks = groupPages(pages)
	case dispatch.Rejected:
		s.Counters.Rejected++
		class.Rejected++
		retryAfterMS := int(math.Ceil(final.RetryAfterMS))
		ex.errorResponse = response{status: 503, retryAfterMS: retryAfterMS, body: errorBody(errorRejected)}
	default:
		s.Counters.Failed++
		class.Failed++
		ex.errorResponse = failureResponse(final)
	}
	if ex.waiting != nil {
		s.deliver(ex)
		return
	}
	s.retain(ex)
}

// failureResponse returns the HTTP response for a request that was neither served nor
// rejected.
func failureResponse(final dispatch.Response) response {
	if final.DeadlinePassed {
		return response{status: 504, body: errorBody(errorDeadline)}
	}
	return response{status: 502, body: errorBody(errorFailed)}
}

// groupPages groups pages into responses of at most maxChunkBytes; a larger page is a
// group of its own. It returns at least one group.
func groupPages(pages [][]byte) [][][]byte {
	groups := [][][]byte{nil}
	size := 0
	for _, page := range pages {
		last := len(groups) - 1
		if len(groups[last]) > 0 && size+len(page) > maxChunkBytes {
			groups = append(groups, nil)
			last++
			size = 0
		}
		groups[last] = append(groups[last], page)
		size += len(page)
	}
	return groups
}

// deliver responds to the waiting message with the result. An exchange whose client
// has a poll path is retained, since the client may poll again.
func (s *Server) deliver(ex *exchange) {
	c := ex.waiting
	ex.waiting = nil
	s.respond(c, ex.nextResponse())
	if ex.pollPathsSent > 0 {
		s.retain(ex)
		return
	}
	delete(s.exchanges, ex.id)
}

func (ex *exchange) nextResponse() *response {
	if ex.chunks == nil {
		r := ex.errorResponse
		return &r
	}
	r := &response{status: 200, pages: ex.chunks[ex.nextChunk]}
	if ex.nextChunk+1 < len(ex.chunks) {
		r.pollPath = ex.givePollPath(ex.nextChunk + 1)
	}
	return r
}

// retain keeps a completed exchange for a client that polls again on a new
// connection. If more than maxRetained are kept, the oldest is released.
func (s *Server) retain(ex *exchange) {
	if !slices.Contains(s.retained, ex.id) {
		s.retained = append(s.retained, ex.id)
	}
	if len(s.retained) > maxRetained {
		s.release(s.retained[0])
	}
	messageCount := ex.messageCount
	s.loop.After(retainMS, func() {
		if ex.messageCount == messageCount && s.exchanges[ex.id] == ex {
			s.release(ex.id)
		}
	})
}

func (s *Server) release(id string) {
	s.retained = slices.DeleteFunc(s.retained, func(retained string) bool { return retained == id })
	ex := s.exchanges[id]
	if ex != nil && ex.completed {
		delete(s.exchanges, id)
	}
}

// clientDisconnected records that the connection of a client with a poll path has
// closed. The client may have disconnected for good, or may poll on a new connection at
// once; no attempt begins until it polls.
func (s *Server) clientDisconnected(ex *exchange) {
	s.Counters.DisconnectedWithPollPath++
	ex.clientDisconnected = true
	ex.pollPathConnection = nil
	now := s.loop.Now()
	if ex.pollDueMS == 0 || now <= ex.pollDueMS {
		ex.pollDueMS = now + pollTimeoutMS
	}
	s.loop.SetClientDisconnected(ex.id, true)
}

// abandon ends an exchange whose client no longer waits for the response.
func (s *Server) abandon(ex *exchange) {
	delete(s.exchanges, ex.id)
	if ex.completed {
		return
	}
	s.Counters.Abandoned++
	s.loop.AbandonRequest(ex.id)
}
