package httpfront

import (
	"fmt"
	"math"
	"slices"

	"dewhill/internal/dispatch"
)

const (
	pollAfterMS   = 5000     // without an answer a client is given a path to poll
	pollTimeoutMS = 1000.0   // for a client to poll a path
	maxChunkBytes = 64 << 10 // of rows in one response
	retainMS      = 5000     // for which an answer is retained
	maxRetained   = 256
)

// exchange is a request from its first message to its last response.
type exchange struct {
	id            string
	class         int
	waiting       *connection // whose message waits for an answer; nil if none does
	callCount     int         // messages so far
	nextChunk     int         // that the waiting message asks for
	answered      bool
	chunks        [][][]byte // pages by response; nil unless served
	errorResponse response   // unless served

	pathGiven          bool
	pathConnection     *connection // on which the path was last given, until it is polled
	clientDisconnected bool        // that connection has closed, and the client has not polled since
	pollDueMS          float64     // by when the client polls, or does not come any more
}

// detach parts an exchange from the connection that waits for it.
func (ex *exchange) detach() {
	ex.waiting.exchange = nil
	ex.waiting = nil
}

// pollPath is the path of a chunk of the result.
func (ex *exchange) pollPath(chunk int) string {
	return fmt.Sprintf("%s%s/%d", pollPrefix, ex.id, chunk)
}

// awaitAnswer makes a connection wait for an exchange's answer. If that takes
// long, the client is given a path to poll.
func (s *Server) awaitAnswer(c *connection, ex *exchange, chunk int) {
	ex.waiting = c
	ex.nextChunk = chunk
	ex.pathConnection = nil
	ex.pollDueMS = 0
	ex.callCount++
	c.exchange = ex
	// The timer must not hold the exchange itself: its rows would stay in memory.
	id := ex.id
	callCount := ex.callCount
	s.loop.After(pollAfterMS, func() { s.givePath(id, callCount) })
}

// givePath answers a message that still waits with a path to poll.
func (s *Server) givePath(id string, callCount int) {
	ex := s.exchanges[id]
	if ex == nil || ex.waiting == nil || ex.callCount != callCount || ex.answered {
		return
	}
	c := ex.waiting
	ex.waiting = nil
	ex.pathGiven = true
	ex.pollDueMS = s.loop.Now() + pollTimeoutMS
	ex.pathConnection = c
	c.pathExchange = ex
	s.Counters.PathsGiven++
	s.respond(c, &response{status: 200, pollPath: ex.pollPath(0)})
}

// handleAnswer takes the final answer and delivers it to the message that waits.
func (s *Server) handleAnswer(ex *exchange, answer dispatch.Response, result any) {
	ex.answered = true
	class := &s.Counters.Classes[ex.class]
	switch answer.Outcome {
	case dispatch.Served:
		s.Counters.Served++
		class.Served++
		pages, _ := result.([][]byte)
		ex.chunks = groupPages(pages)
	case dispatch.Rejected:
		s.Counters.Rejected++
		class.Rejected++
		retryAfterMS := int(math.Ceil(answer.RetryAfterMS))
		ex.errorResponse = response{status: 503, retryAfterMS: retryAfterMS, body: errorBody(errorRejected)}
	default:
		s.Counters.Failed++
		class.Failed++
		ex.errorResponse = failure(answer)
	}
	if ex.waiting != nil {
		s.deliver(ex)
		return
	}
	s.retain(ex)
}

func failure(answer dispatch.Response) response {
	if answer.DeadlinePassed {
		return response{status: 504, body: errorBody(errorDeadline)}
	}
	return response{status: 502, body: errorBody(errorFailed)}
}

// groupPages groups pages by response; there is at least one group.
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

// deliver responds to the waiting message with the answer.
func (s *Server) deliver(ex *exchange) {
	c := ex.waiting
	ex.waiting = nil
	s.respond(c, ex.nextResponse())
	if ex.pathGiven {
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
		r.pollPath = ex.pollPath(ex.nextChunk + 1)
		ex.pathGiven = true
	}
	return r
}

// retain keeps an answer for a client that polls again on a new connection.
func (s *Server) retain(ex *exchange) {
	if !slices.Contains(s.retained, ex.id) {
		s.retained = append(s.retained, ex.id)
	}
	if len(s.retained) > maxRetained {
		s.release(s.retained[0])
	}
	callCount := ex.callCount
	s.loop.After(retainMS, func() {
		if ex.callCount == callCount && s.exchanges[ex.id] == ex {
			s.release(ex.id)
		}
	})
}

func (s *Server) release(id string) {
	s.retained = slices.DeleteFunc(s.retained, func(retained string) bool { return retained == id })
	ex := s.exchanges[id]
	if ex != nil && ex.answered {
		delete(s.exchanges, id)
	}
}

// clientDisconnected notes that the connection of a client with a path has
// closed. The client may be gone with it, or poll on a new one at once: until
// that is known no attempt begins.
func (s *Server) clientDisconnected(ex *exchange) {
	s.Counters.DisconnectedWithPath++
	ex.clientDisconnected = true
	ex.pathConnection = nil
	now := s.loop.Now()
	if ex.pollDueMS == 0 || now <= ex.pollDueMS {
		ex.pollDueMS = now + pollTimeoutMS
	}
	s.loop.SetClientDisconnected(ex.id, true)
}

// abandon ends an exchange whose client does not come back.
func (s *Server) abandon(ex *exchange) {
	delete(s.exchanges, ex.id)
	if ex.answered {
		return
	}
	s.Counters.Abandoned++
	s.loop.AbandonRequest(ex.id)
}
