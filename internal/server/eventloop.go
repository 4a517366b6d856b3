package server

import (
	"fmt"
	"math"
	"os"
	"time"

	"dewhill/control"
	"dewhill/internal/dispatch"
	"dewhill/internal/timerheap"
)

const (
	queueLength      = 1024  // capacity of each queue; Post blocks while the queue is full
	stallThresholdMS = 100.0 // an event that blocks the loop for longer is logged
)

// engineBackend sends attempts and health checks to engines. It is called on the loop only.
type engineBackend interface {
	StartAttempt(s dispatch.StartAttempt, class int, work any)
	CancelAttempt(dispatch.CancelAttempt)
	SetPriority(dispatch.SetPriority)
	Probe(engine string)
}

// clock returns Unix milliseconds that never go back: the wall clock at the start, plus the
// time that has passed since by the monotonic clock.
type clock struct {
	start       time.Time
	startUnixMS float64
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, startUnixMS: float64(now.UnixMicro()) / 1000}
}

func (c clock) now() float64 {
	return c.startUnixMS + float64(time.Since(c.start).Microseconds())/1000
}

// EventLoop owns a dispatcher, its timers and the open requests, and applies events to
// them on one goroutine. Events are applied in the order in which they were posted, urgent
// ones first. Now, Post, PostUrgent and Logf may be called from any goroutine, except Post
// from the loop's own. All other exported methods must be called on the loop.
type EventLoop struct {
	clock
	name       string
	dispatcher *dispatch.Dispatcher
	backend    engineBackend

	queue  chan func()
	urgent chan func() // taken before queue
	timers timerheap.Queue[func()]

	applying      bool             // an event is being applied
	pendingEvents []dispatch.Event // to apply after that event

	requests  map[string]*openRequest // by id
	recentIDs recentIDs

	broadcast      func([]byte) // sends a message to the other front ends; nil: there are none
	countersReport func() any   // returns the value that CountersJSON encodes; nil: there is none
	requestLog     *requestLog
	Counters       RequestCounters
}

func newEventLoop(name string, settings control.Settings, seed uint64) *EventLoop {
	l := &EventLoop{
		clock:      newClock(),
		name:       name,
		dispatcher: dispatch.New(settings, seed),
		queue:      make(chan func(), queueLength),
		urgent:     make(chan func(), queueLength),
		requests:   map[string]*openRequest{},
		recentIDs:  newRecentIDs(),
		Counters:   RequestCounters{AttemptResults: map[string]int{}},
	}
	l.requestLog = newRequestLog(l.Logf)
	return l
}

// Post queues a function for the loop. It blocks while the queue is full. It may be called
// from any goroutine but the loop's own.
func (l *EventLoop) Post(f func()) { l.queue <- f }

// PostUrgent queues a function for the loop ahead of functions queued by Post. Its effect
// must be correct whichever of these functions run after it. It is for a client's
// disconnect: otherwise attempts of its request could start while the loop works through
// its queue.
func (l *EventLoop) PostUrgent(f func()) { l.urgent <- f }

// runAndWait runs a function on the loop ahead of functions queued by Post, and waits until
// it returns. It may be called from any goroutine but the loop's own.
func (l *EventLoop) runAndWait(f func()) {
	done := make(chan struct{})
	l.urgent <- func() {
		f()
		close(done)
	}
	<-done
}

// Now returns the time by the loop's clock, in Unix milliseconds.
func (l *EventLoop) Now() float64 { return l.now() }

// After calls f on the loop after a delay in milliseconds. Every request sets several
// timers, so they share the loop's single runtime timer: a runtime timer for each would
// cost more than the rest of the request's work.
func (l *EventLoop) After(ms float64, f func()) { l.timers.Add(l.Now()+ms, f) }

// nextDueMS returns when the next timer is due, or infinity if there is no timer.
func (l *EventLoop) nextDueMS() float64 {
	return min(l.dispatcher.NextTimerMS(), l.timers.NextDueMS())
}

// Logf writes a line to the log. It may be called from any goroutine.
func (l *EventLoop) Logf(format string, args ...any) {
	now := time.Now().UTC().Format("15:04:05.000")
	fmt.Fprintf(os.Stderr, "%s %s: %s\n", now, l.name, fmt.Sprintf(format, args...))
}

// run applies events until stop returns true. It calls stop before each event.
func (l *EventLoop) run(stop func() bool) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	wakeAtMS := math.Inf(-1)
	for !stop() {
		if next := l.nextDueMS(); next != wakeAtMS && !math.IsInf(next, 1) {
			wakeAtMS = next
			wake.Reset(toDuration(max(0, next-l.Now())))
		}
		select {
		case f := <-l.urgent:
			l.runTimed(f)
			continue
		default:
		}
		select {
		case f := <-l.urgent:
			l.runTimed(f)
		case f := <-l.queue:
			l.Counters.Events++
			l.runTimed(f)
		case <-wake.C:
			wakeAtMS = math.Inf(-1)
		}
		l.fireDueTimers()
	}
}

// fireDueTimers fires the dispatcher's timer and the loop's own timers if they are due.
func (l *EventLoop) fireDueTimers() {
	now := l.Now()
	if due := l.dispatcher.NextTimerMS(); due <= now {
		l.Counters.MaxTimerDelayMS = max(l.Counters.MaxTimerDelayMS, now-due)
		l.apply(dispatch.TimerFired{})
	}
	now = l.Now()
	for fire, ok := l.timers.PopDue(now); ok; fire, ok = l.timers.PopDue(now) {
		fire()
	}
}

// runTimed runs a function and records how long it blocked the loop: in that time no
// request is read, answered or cancelled.
func (l *EventLoop) runTimed(f func()) {
	startMS := l.Now()
	f()
	elapsedMS := l.Now() - startMS
	l.Counters.MaxEventMS = max(l.Counters.MaxEventMS, elapsedMS)
	if elapsedMS < stallThresholdMS {
		return
	}
	l.Counters.Stalls++
	if l.Counters.Stalls < maxLinesPerKind {
		l.Logf("event loop blocked for %.0f ms by one event", elapsedMS)
	}
}

// apply applies an event to the dispatcher and executes its effects. An event that is
// caused by an effect is applied after the event that is being applied.
func (l *EventLoop) apply(ev dispatch.Event) {
	if l.applying {
		l.pendingEvents = append(l.pendingEvents, ev)
		return
	}
	l.applying = true
	l.applyEvent(ev)
	for len(l.pendingEvents) > 0 {
		next := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.applyEvent(next)
	}
	l.applying = false
}

// applyEvent applies one event and executes its effects.
func (l *EventLoop) applyEvent(ev dispatch.Event) {
	for _, effect := range l.dispatcher.Apply(l.Now(), ev) {
		l.executeEffect(effect)
	}
}

// executeEffect executes an effect of the dispatcher.
func (l *EventLoop) executeEffect(effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.StartAttempt:
		l.startAttempt(e)
	case dispatch.CancelAttempt:
		l.Counters.AttemptsCancelled++
		l.backend.CancelAttempt(e)
	case dispatch.SetPriority:
		l.backend.SetPriority(e)
	case dispatch.Response:
		l.respond(e)
	case dispatch.RequestClosed:
		l.requestLog.requestClosed(l.Now(), e)
	case dispatch.ProbeEngine:
		l.backend.Probe(e.Engine)
	case dispatch.Broadcast:
		if l.broadcast != nil {
			l.broadcast(e.Message)
		}
	case dispatch.WatchEndpoints:
		// Ignored: the endpoint list is watched without a request (endpoints.go).
	case dispatch.WriteLog:
		l.Logf("%s", e.Text)
	default:
		l.Logf("unknown effect %T ignored", effect)
	}
}
