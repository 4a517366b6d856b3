package engineclient

import (
	"sync/atomic"

	"dewhill/control"
	"dewhill/internal/dispatch"
)

// The stages of an exchange. The event loop and the connection's writer both change
// stageQueued by compare-and-swap, so that no request is both written and withdrawn.
const (
	stageQueued    int32 = iota // waits for its connection or the connection's writer
	stageWritten                // being written, or written completely
	stageWithdrawn              // will not be written
	stageTruncated              // not written completely: the engine ignores it
)

// exchange is an attempt or a probe that is open on a connection.
type exchange struct {
	id           string // of the request or probe
	attempt      int
	isProbe      bool
	connection   *connection
	startCommand command  // its first command
	request      *request // nil for a probe
	startedMS    float64
	writeByMS    float64 // latest time at which the request may be written; 0: any time
	stage        atomic.Int32
	cancelled    bool

	acknowledged  bool     // the result's first page was received; others may be outstanding
	pages         [][]byte // nil for each page that is outstanding
	pagesReceived int
	bytesReceived int
	workMS        float64
	memoryMB      float64
	loadReport    *control.LoadReport
}

// request is the content of a request to an engine.
type request struct {
	id             string
	class          string
	idempotencyKey string
	deadlineMS     float64
	priority       int
	statement      []byte
}

// command is a line to an engine, or a request with its statement.
type command struct {
	line       string    // empty if the command starts a request
	exchange   *exchange // the exchange that the command starts; nil if none
	afterWrite func()    // runs on the event loop; may be nil
}

// attemptKey identifies an attempt among those of its engine.
type attemptKey struct {
	requestID string
	attempt   int
}

// expired reports whether it is too late to write the exchange's request.
func (ex *exchange) expired(nowMS float64) bool {
	if ex.writeByMS > 0 && nowMS > ex.writeByMS {
		return true
	}
	return ex.request != nil && nowMS >= ex.request.deadlineMS
}

// withdraw ends an exchange if it is not written yet, and reports whether it did. A
// withdrawn request never ran.
func (p *Pool) withdraw(ex *exchange) bool {
	if ex.connection.exchanges[ex.id] != ex || !ex.stage.CompareAndSwap(stageQueued, stageWithdrawn) {
		return false
	}
	p.Counters.Withdrawn++
	p.endExchange(ex, control.NotSent)
	return true
}

// cancel sends the cancellation of an attempt to its engine. The attempt's end is
// reported only deliveryDelayMS after the command was written, unless a reply
// arrives first: otherwise the next attempt could reach another engine before the
// cancellation reaches this one.
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

// endAfterDelivery ends an exchange after deliveryDelayMS, by which time the last
// write to its connection should have reached the engine, unless it ends before.
func (p *Pool) endAfterDelivery(ex *exchange, result control.Result) {
	p.loop.After(deliveryDelayMS, func() {
		if ex.connection.exchanges[ex.id] == ex {
			p.endExchange(ex, result)
		}
	})
}

// endExchange removes an exchange from its connection and reports the result. It
// closes an outdated connection after its last exchange.
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
