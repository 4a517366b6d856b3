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
	queueLength      = 1024  // events that wait for the loop; whoever posts more waits
	stallThresholdMS = 100.0 // an event that blocks the loop for longer is logged
)

// engineBackend is the side towards the engines. It is called in the loop only.
type engineBackend interface {
	StartAttempt(s dispatch.StartAttempt, class int, work any)
	CancelAttempt(dispatch.CancelAttempt)
	SetPriority(dispatch.SetPriority)
	Probe(engine string)
}

// clock gives Unix milliseconds that never go back: the wall clock at the
// start, and the monotonic clock from there.
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

// EventLoop is the goroutine that owns a dispatcher and everything around it.
// Events are applied in the order in which they were posted. Now, Post, PostUrgent
// and Logf may be called from any goroutine; all else belongs to the loop's own.
type EventLoop struct {
	clock
	name       string
	dispatcher *dispatch.Dispatcher
	backend    engineBackend

	queue  chan func()
	urgent chan func() // goes before queue
	timers timerheap.Queue[func()]

	applying      bool             // an event is being applied
	pendingEvents []dispatch.Event // to apply after it

	requests  map[string]*openRequest // by id
	recentIDs recentIDs

	broadcast      func([]byte) // to the other front ends; nil: there are none
	countersReport func() any   // what CountersJSON encodes; nil: nothing
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

// Post hands a function to the loop. It may be called from any goroutine but
// the loop's own, and waits while the queue is full.
func (l *EventLoop) Post(f func()) { l.queue <- f }

// PostUrgent hands a function to the loop ahead of what is posted. Its effect must
// be right whichever of the posted functions run after it. It guards requests whose
// client has disconnected against attempts that begin while the loop works through
// its queue.
func (l *EventLoop) PostUrgent(f func()) { l.urgent <- f }

// runAndWait runs a function in the loop ahead of what is posted, and waits for its
// end. It may be called from any goroutine but the loop's own.
func (l *EventLoop) runAndWait(f func()) {
	done := make(chan struct{})
	l.urgent <- func() {
		f()
		close(done)
	}
	<-done
}

// Now is the loop's clock, in Unix milliseconds.
func (l *EventLoop) Now() float64 { return l.now() }

// After calls f in the loop after a time in milliseconds. Every request sets several
// timers, so they share the loop's one runtime timer: a runtime timer for each
// would cost more than the request's other work.
func (l *EventLoop) After(ms float64, f func()) { l.timers.Add(l.Now()+ms, f) }

// nextDueMS is when something is due; infinite if nothing is.
func (l *EventLoop) nextDueMS() float64 {
	return min(l.dispatcher.NextTimerMS(), l.timers.NextDueMS())
}

// Logf writes a line to the log. It may be called from any goroutine.
func (l *EventLoop) Logf(format string, args ...any) {
	now := time.Now().UTC().Format("15:04:05.000")
	fmt.Fprintf(os.Stderr, "%s %s: %s\n", now, l.name, fmt.Sprintf(format, args...))
}

// run applies events until stop returns true, which it asks after each.
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

// fireDueTimers fires the dispatcher's timer and the loop's own that are due.
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

// runTimed runs a function of the loop and records for how long it blocked the
// loop: meanwhile nothing is read, answered or cancelled.
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

// apply gives an event to the dispatcher and carries out the effects. An event that
// an effect brings is applied after the one that brought it.
func (l *EventLoop) apply(ev dispatch.Event) {
	if l.applying {
		l.pendingEvents = append(l.pendingEvents, ev)
		return
	}
	l.applying = true
	l.applyEffects(ev)
	for len(l.pendingEvents) > 0 {
		next := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.applyEffects(next)
	}
	l.applying = false
}

func (l *EventLoop) applyEffects(ev dispatch.Event) {
	for _, effect := range l.dispatcher.Apply(l.Now(), ev) {
		l.carryOut(effect)
	}
}

// carryOut does what the dispatcher has decided.
func (l *EventLoop) carryOut(effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.StartAttempt:
		l.startAttempt(e)
	case dispatch.CancelAttempt:
		l.Counters.AttemptsCancelled++
		l.backend.CancelAttempt(e)
	case dispatch.SetPriority:
		l.backend.SetPriority(e)
	case dispatch.Response:
		l.answer(e)
	case dispatch.RequestClosed:
		l.requestLog.requestClosed(l.Now(), e)
	case dispatch.ProbeEngine:
		l.backend.Probe(e.Engine)
	case dispatch.Broadcast:
		if l.broadcast != nil {
			l.broadcast(e.Message)
		}
	case dispatch.WatchEndpoints:
		// Not asked for: updates are watched from the start (endpoints.go).
	case dispatch.WriteLog:
		l.Logf("%s", e.Text)
	default:
		l.Logf("unknown effect %T ignored", effect)
	}
}
