package engineclient

import (
	"sync/atomic"

	"dewhill/control"
	"dewhill/internal/dispatch"
)

// The stages of an exchange. The event loop and the connection's writer each
// leave stageQueued by compare-and-swap, so that no request is both written and
// withdrawn.
const (
	stageQueued    int32 = iota // waits for its connection or its writer
	stageWritten                // being written, or written completely
	stageWithdrawn              // never to be written
	stageTruncated              // not written completely: the engine ignores it
)

// exchange is an attempt or a probe that is open on a connection.
type exchange struct {
	id           string // of the request or probe
	attempt      int
	isProbe      bool
	connection   *connection
	startCommand command  // that starts it
	request      *request // nil for a probe
	startedMS    float64
	writeByMS    float64 // it must not be written later; 0: any time
	stage        atomic.Int32
	cancelled    bool

	acknowledged  bool     // the query is done; pages may be outstanding
	pages         [][]byte // nil where a page is outstanding
	pagesReceived int
	bytesReceived int
	workMS        float64
	memoryMB      float64
	loadReport    *control.LoadReport
}

// request is what is sent to an engine.
type request struct {
	id             string
	class          string
	idempotencyKey string
	deadlineMS     float64
	priority       int
	statement      []byte
}

// command is a line to an engine.
type command struct {
	line       string    // unless it starts a request
	exchange   *exchange // that it starts; nil if none
	afterWrite func()    // runs on the event loop; may be nil
}

// attemptKey names an attempt among those of its engine.
type attemptKey struct {
	requestID string
	attempt   int
}

// expired reports whether the exchange must not be written any more.
func (ex *exchange) expired(nowMS float64) bool {
	if ex.writeByMS > 0 && nowMS > ex.writeByMS {
		return true
	}
	return ex.request != nil && nowMS >= ex.request.deadlineMS
}

// withdraw ends an exchange that is not written yet, and reports whether it did:
// such a request never ran.
func (p *Pool) withdraw(ex *exchange) bool {
	if ex.connection.exchanges[ex.id] != ex || !ex.stage.CompareAndSwap(stageQueued, stageWithdrawn) {
		return false
	}
	p.Counters.Withdrawn++
	p.endExchange(ex, control.NotSent)
	return true
}

// cancel tells the engine that an attempt is cancelled. Its end is reported only
// when the command has had time to arrive, unless a reply comes first: the next
// attempt must not overtake the command on its way to another engine.
func (p *Pool) cancel(ex *exchange, result control.Result) {
	c := ex.connection
	ex.cancelled = true
	c.cancelledIDs[ex.id] = true
	p.loop.After(staleReplyWindowMS, func() { delete(c.cancelledIDs, ex.id) })
	line := cancelLine(ex.id)
	if ex.acknowledged {
		line = discardPagesLine(ex.id)
		p.Counters.Discards++
	} else {
		p.Counters.Cancels++
	}
	p.enqueue(c, command{line: line, afterWrite: func() {
		p.endAfterDelivery(ex, result)
	}})
}

// endAfterDelivery ends an exchange, unless it ends before, once what was last
// written to its connection has had time to arrive.
func (p *Pool) endAfterDelivery(ex *exchange, result control.Result) {
	p.loop.After(deliveryDelayMS, func() {
		if ex.connection.exchanges[ex.id] == ex {
			p.endExchange(ex, result)
		}
	})
}

// endExchange closes an exchange and reports how it ended.
func (p *Pool) endExchange(ex *exchange, result control.Result) {
	c := ex.connection
	if c == nil {
		p.reportEnd(ex, result)
		return
	}
	p.removeExchange(ex, result)
	closing := len(c.exchanges) == 0 && !c.closed && c.outdated()
	p.reportEnd(ex, result)
	if closing {
		p.closeConnection(c, nil)
	}
}

func (p *Pool) removeExchange(ex *exchange, result control.Result) {
	c := ex.connection
	if c.exchanges[ex.id] == ex {
		delete(c.exchanges, ex.id)
	}
	delete(c.engine.attempts, attemptKey{ex.id, ex.attempt})
	mayBeAnswered := result != control.Served && !ex.cancelled && ex.stage.Load() != stageWithdrawn
	if mayBeAnswered && !c.closed {
		c.endedIDs[ex.id] = true
		p.loop.After(staleReplyWindowMS, func() { delete(c.endedIDs, ex.id) })
	}
	c.idleSinceMS = p.loop.Now()
}

func (p *Pool) reportEnd(ex *exchange, result control.Result) {
	if ex.isProbe {
		p.loop.ProbeEnded(dispatch.ProbeEnded{
			Engine:     ex.connection.engine.id,
			Result:     result,
			ElapsedMS:  p.loop.Now() - ex.startedMS,
			LoadReport: ex.loadReport,
		})
		return
	}
	var pages any
	if result == control.Served {
		pages = ex.pages
	}
	p.loop.AttemptEnded(dispatch.AttemptEnded{
		RequestID:  ex.id,
		Attempt:    ex.attempt,
		Result:     result,
		WorkMS:     ex.workMS,
		MemoryMB:   ex.memoryMB,
		LoadReport: ex.loadReport,
	}, pages)
}
