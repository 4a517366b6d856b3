package engineclient

import (
	"fmt"

	"dewhill/control"
	"dewhill/internal/dispatch"
)

// handleReply handles a reply that was read from a connection.
func (p *Pool) handleReply(c *connection, r *reply) {
	if c.closed {
		return
	}
	c.lastActivityMS = p.loop.Now()
	p.countReply(c, r)
	ex := c.exchanges[r.id]
	if ex == nil {
		p.handleLateReply(c, r)
		return
	}
	p.recordLoadReport(ex, r)
	if ex.isProbe {
		p.endProbe(ex, r)
		return
	}
	switch r.kind {
	case replyResult:
		p.handleResult(c, ex, r)
	case replyPage:
		p.handlePage(c, ex, r)
	case replyRejected:
		p.endExchange(ex, control.Rejected)
	case replyExpired:
		p.endExchange(ex, control.NotSent)
	case replyError:
		if ex.acknowledged {
			p.Counters.PagesLost++
		}
		p.endExchange(ex, control.Errored)
	case replyStatus:
		p.handleStatus(ex, r)
	case replyHealthy, replyUnhealthy, replyUnknown:
		// The attempt may still be running, so it is cancelled before another starts.
		if !ex.cancelled {
			p.cancel(ex, control.Reset)
		}
	}
}

// handleLateReply handles a reply to an exchange that has ended: a duplicate, or a
// reply that crossed a cancellation on the network. Such a reply is ignored, except
// that the engine is asked to free the pages of a cancelled result.
func (p *Pool) handleLateReply(c *connection, r *reply) {
	p.Counters.LateReplies++
	if r.kind == replyResult && c.cancelledIDs[r.id] && r.numberField(fieldPageCount) > 1 {
		p.discardPages(c, r.id)
	}
}

func (p *Pool) recordLoadReport(ex *exchange, r *reply) {
	report, malformed := r.loadReport()
	if malformed {
		p.Counters.MalformedLoadReports++
	}
	if report != nil {
		ex.loadReport = report
	}
}

func (p *Pool) endProbe(ex *exchange, r *reply) {
	if r.kind == replyHealthy || r.kind == replyUnhealthy {
		p.endExchange(ex, control.Served)
		return
	}
	p.endExchange(ex, control.Errored)
}

// handleStatus passes on an engine's status reply about a running attempt.
func (p *Pool) handleStatus(ex *exchange, r *reply) {
	kind, level, ok := r.status()
	if !ok {
		p.Counters.MalformedStatuses++
		return
	}
	p.Counters.StatusReplies++
	if ex.cancelled || ex.acknowledged {
		return
	}
	p.loop.AttemptStatus(dispatch.AttemptStatus{RequestID: ex.id, Attempt: ex.attempt, Kind: kind, Value: level})
}

// countReply counts a reply by its verb. An unknown verb is logged with its request,
// because the log would not otherwise show why the attempt was cancelled.
func (p *Pool) countReply(c *connection, r *reply) {
	if r.kind != replyUnknown {
		p.Counters.RepliesByVerb[r.verb]++
		return
	}
	p.Counters.UnknownVerbs++
	if p.Counters.UnknownVerbs < maxLoggedFaults {
		p.loop.Logf("engine %s: reply to %.40q with unknown verb %.20q", c.engine.id, r.id, r.verb)
	}
}

// handleResult handles page 0 of a result and requests all other pages at once. The
// attempt counts as served only when the last page has arrived, so that the request
// can still be retried if a page is lost.
func (p *Pool) handleResult(c *connection, ex *exchange, r *reply) {
	if ex.acknowledged {
		p.Counters.DuplicateReplies++
		return
	}
	pageCount, err := r.pageCount()
	if err == nil {
		err = checkPage(r.body)
	}
	if err != nil {
		p.closeConnection(c, err)
		return
	}
	ex.acknowledged = true
	ex.workMS = r.numberField(fieldWorkMS)
	ex.memoryMB = r.numberField(fieldMemoryMB)
	ex.pages = make([][]byte, pageCount)
	ex.addPage(0, r.body)
	if ex.cancelled && pageCount > 1 {
		// The cancellation crossed this reply, so the engine still holds the pages.
		p.discardPages(c, ex.id)
		return
	}
	for page := 1; page < pageCount; page++ {
		p.Counters.PageRequests++
		p.enqueue(c, command{line: pageLine(ex.id, page)})
	}
	p.serveIfComplete(c, ex)
}

// pageCount returns the number of pages of a result.
func (r *reply) pageCount() (int, error) {
	count, err := r.positiveField(fieldPageCount)
	if err != nil {
		return 0, err
	}
	if count > maxPages {
		return 0, fmt.Errorf("%w: %d pages", errMalformedReply, count)
	}
	return count, nil
}

func (p *Pool) handlePage(c *connection, ex *exchange, r *reply) {
	page, err := r.positiveField(fieldPageNumber)
	if err == nil && page < len(ex.pages) && ex.pages[page] != nil {
		p.Counters.DuplicateReplies++
		return
	}
	if err == nil && (page >= len(ex.pages) || ex.bytesReceived+len(r.body) > maxResultBytes) {
		err = fmt.Errorf("%w: page %d of %d after %d bytes", errMalformedReply, page, len(ex.pages), ex.bytesReceived)
	}
	if err == nil {
		err = checkPage(r.body)
	}
	if err != nil {
		p.closeConnection(c, err)
		return
	}
	ex.addPage(page, append([]byte{}, r.body...)) // not nil, which would mean outstanding
	p.serveIfComplete(c, ex)
}

func (ex *exchange) addPage(page int, body []byte) {
	ex.pages[page] = body
	ex.pagesReceived++
	ex.bytesReceived += len(body)
}

// serveIfComplete ends an exchange as served if all its pages have arrived.
func (p *Pool) serveIfComplete(c *connection, ex *exchange) {
	if ex.pagesReceived < len(ex.pages) || c.closed {
		return
	}
	if len(ex.pages) > 1 {
		p.discardPages(c, ex.id)
	}
	if !c.closed {
		p.endExchange(ex, control.Served)
	}
}

// discardPages asks the engine to free the pages of a result.
func (p *Pool) discardPages(c *connection, id string) {
	p.Counters.Discards++
	p.enqueue(c, command{line: discardPagesLine(id)})
}
