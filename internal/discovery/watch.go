// Package discovery watches the discovery service's list of engines by long
// polls over HTTP.
//
//	watch.go      which polls are made, and what becomes of their responses
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
	// pollTimeout is how long a poll may be unanswered before another one is made
	// beside it. The slow poll is kept for a time: a slow or crowded service
	// would never be heard if each poll were abandoned just before its response.
	pollTimeout       = pollWaitMS*time.Millisecond + 500*time.Millisecond
	maxPolls          = 4 // at once; a further one replaces the oldest
	connectTimeout    = 500 * time.Millisecond
	initialBackoff    = 20 * time.Millisecond
	maxBackoff        = 250 * time.Millisecond
	emptyPollInterval = 20 * time.Millisecond // between responses without news that were not waited for
)

// errUnresponsive is reported when a poll is made beside one without response.
var errUnresponsive = errors.New("no response: polling again on another connection")

// noRevision is before all revisions.
const noRevision = -1

// Watch polls the service at addr for the events after a revision until ctx
// ends, and calls deliver with them in order, each once. Faults are passed to
// report, and polling goes on. Both are called on the caller's goroutine.
//
// An invalid endpoint makes Watch ask for the same events again. If it is
// invalid again it counts as draining, so that it does not hide the events
// after it.
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

// watcher is the state of one Watch. Its fields belong to Watch's goroutine.
type watcher struct {
	addr             string
	revision         int64 // of the last event that was delivered
	rejectedRevision int64 // revision after which a response was last refused
	deliver          func(*Updates)
	report           func(error)

	pending []*pollConn     // polls without a response, oldest first
	results chan pollResult // unbuffered
	idle    *pollConn       // has answered and can be polled again
	backoff time.Duration   // before the next poll after a failed one

	unresponsive bool      // nothing has come since the last poll was made
	answeredAt   time.Time // when the last valid response came; zero if none did
}

// pollConn is a connection to the service with at most one poll open on it.
type pollConn struct {
	conn     net.Conn // nil until connected
	buffer   *lineproto.Buffer
	polledAt time.Time
	ctx      context.Context
	cancel   context.CancelFunc // closes the connection, whatever it waits for
}

// pollResult is how a poll ended.
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

// startPoll polls on the connection that answered last, or on a new one.
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

// poll connects if necessary and asks for the events after a revision.
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

// handle takes a poll's result and returns when the next poll is due. A
// response ends all other polls: they asked for the same events.
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
	if !w.answeredAt.IsZero() {
		result.updates.SincePrevious = now.Sub(w.answeredAt)
	}
	w.answeredAt = now
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

// cancelPending ends all polls without a response.
func (w *watcher) cancelPending() {
	for _, conn := range w.pending {
		conn.cancel()
	}
	w.pending = w.pending[:0]
}

// abandon ends one poll.
func (w *watcher) abandon(conn *pollConn) {
	conn.cancel()
	w.remove(conn)
}

func (w *watcher) remove(conn *pollConn) {
	w.pending = slices.DeleteFunc(w.pending, func(other *pollConn) bool { return other == conn })
}

// check returns an error if updates can't be used. It repairs what was refused
// before at the same revision.
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
