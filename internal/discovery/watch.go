// Package discovery watches the discovery service's list of engines by long
// polls over HTTP.
//
//	watch.go      scheduling polls and handling their results
//	poll.go       one poll and its response
//	endpoints.go  the service's JSON, its validation and repair
package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"dewhill/internal/lineproto"
)

const (
	// pollTimeout is the time without a response after which another poll is made in
	// parallel. The slow poll stays open: no response would ever be received from a
	// slow or overloaded service if each poll were abandoned just before its response.
	pollTimeout       = pollWaitMS*time.Millisecond + 500*time.Millisecond
	maxPolls          = 4 // open in parallel; a further poll replaces the oldest
	connectTimeout    = 500 * time.Millisecond
	initialBackoff    = 20 * time.Millisecond
	maxBackoff        = 250 * time.Millisecond
	emptyPollInterval = 20 * time.Millisecond // delay after an immediate response without new events
)

// errUnresponsive is reported when a poll is made because an earlier one has timed out.
var errUnresponsive = errors.New("no response: polling again on another connection")

// noRevision is lower than all revisions.
const noRevision = -1

// Watch polls the service at addr for the events after a revision until ctx is done.
// It calls deliver with the events, in order and each exactly once. It passes faults to
// report and continues polling. Both functions are called on Watch's goroutine.
//
// If an endpoint is invalid, Watch requests the same events again. If it is invalid
// again, the endpoint counts as draining, so that it does not hide later events.
func Watch(ctx context.Context, addr string, revision int64, deliver func(*Updates), report func(error)) {
	w := watcher{
		addr:             addr,
		revision:         revision,
		rejectedRevision: noRevision,
		deliver:          deliver,
		report:           report,
		backoff:          initialBackoff,
		results:          make(chan pollResult),
	}
	w.run(ctx)
}

// watcher is the state of one call of Watch. Only Watch's goroutine uses its fields.
type watcher struct {
	addr             string
	revision         int64 // of the last response that was delivered
	rejectedRevision int64 // value of revision when a response was last rejected
	deliver          func(*Updates)
	report           func(error)

	pending []*pollConn     // connections whose poll has no result yet, oldest first
	results chan pollResult // unbuffered
	idle    *pollConn       // connection of the last valid response, for the next poll
	backoff time.Duration   // delay of the next poll after a failed one

	unresponsive bool      // no result has arrived since the last poll was made
	respondedAt  time.Time // when the last valid response arrived; zero: none yet
}

// pollConn is a connection to the service with at most one poll open on it.
type pollConn struct {
	conn     net.Conn // nil until connected
	buffer   *lineproto.Buffer
	polledAt time.Time
	ctx      context.Context
	cancel   context.CancelFunc // closes the connection, which ends a dial, read or write
}

// pollResult is the result of a poll.
type pollResult struct {
	source  *pollConn
	updates *Updates
	err     error
}

func (w *watcher) run(ctx context.Context) {
	nextPoll := time.NewTimer(0)
	defer nextPoll.Stop()
	defer w.cancelPending()
	for {
		select {
		case <-ctx.Done():
			return
		case <-nextPoll.C:
			if w.unresponsive {
				w.report(errUnresponsive)
			}
			w.startPoll(ctx)
			nextPoll.Reset(pollTimeout)
		case result := <-w.results:
			if ctx.Err() != nil {
				return
			}
			if slices.Contains(w.pending, result.source) {
				nextPoll.Reset(w.handle(result))
			}
		}
	}
}

// startPoll polls on the idle connection, or on a new one.
func (w *watcher) startPoll(ctx context.Context) {
	if len(w.pending) == maxPolls {
		w.abandon(w.pending[0])
	}
	conn := w.idle
	w.idle = nil
	if conn == nil {
		conn = &pollConn{}
		conn.ctx, conn.cancel = context.WithCancel(ctx)
	}
	conn.polledAt = time.Now()
	w.unresponsive = true
	w.pending = append(w.pending, conn)
	revision := w.revision
	go func() {
		updates, err := conn.poll(w.addr, revision)
		select {
		case w.results <- pollResult{conn, updates, err}:
		case <-conn.ctx.Done():
		}
	}()
}

// poll connects if necessary and requests the events after a revision.
func (c *pollConn) poll(addr string, revision int64) (*Updates, error) {
	if c.conn == nil {
		dialer := net.Dialer{Timeout: connectTimeout}
		conn, err := dialer.DialContext(c.ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		c.conn = conn
		c.buffer = lineproto.New(conn, maxHeadBytes)
		context.AfterFunc(c.ctx, func() { _ = conn.Close() })
	}
	return poll(c.conn, c.buffer, addr, revision, maxPolls*pollTimeout)
}

// handle handles a poll's result and returns the delay until the next poll. A valid
// response cancels all other polls, because they requested the same events.
func (w *watcher) handle(result pollResult) time.Duration {
	w.unresponsive = false
	err := result.err
	if err == nil {
		err = w.check(result.updates)
	}
	if err != nil {
		w.report(err)
		w.abandon(result.source)
		wait := w.backoff
		w.backoff = min(2*w.backoff, maxBackoff)
		return wait
	}
	w.backoff = initialBackoff
	w.remove(result.source)
	w.idle = result.source
	w.cancelPending()
	now := time.Now()
	if !w.respondedAt.IsZero() {
		result.updates.SincePrevious = now.Sub(w.respondedAt)
	}
	w.respondedAt = now
	if result.updates.Revision > w.revision {
		w.revision = result.updates.Revision
		w.deliver(result.updates)
		return 0
	}
	if time.Since(result.source.polledAt) < emptyPollInterval {
		return emptyPollInterval
	}
	return 0
}

// cancelPending cancels all polls without a result.
func (w *watcher) cancelPending() {
	for _, conn := range w.pending {
		conn.cancel()
	}
	w.pending = w.pending[:0]
}

// abandon cancels one poll.
func (w *watcher) abandon(conn *pollConn) {
	conn.cancel()
	w.remove(conn)
}

func (w *watcher) remove(conn *pollConn) {
	w.pending = slices.DeleteFunc(w.pending, func(other *pollConn) bool { return other == conn })
}

// check returns an error if updates are invalid. If a response was already rejected at
// the same revision, check repairs the updates instead.
func (w *watcher) check(updates *Updates) error {
	updates.SortByRevision()
	err := updates.Validate()
	if err == nil {
		return nil
	}
	if w.rejectedRevision != w.revision {
		w.rejectedRevision = w.revision
		return err
	}
	w.report(fmt.Errorf("%w, listed twice: %d engines count as draining", err, updates.repair()))
	return updates.Validate()
}
