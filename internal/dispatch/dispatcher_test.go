package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dewhill/control"
	_ "dewhill/internal/testprocess" // fixes the seed
)

// The classes of testSettings.
const (
	idempotentClass = iota
	notIdempotentClass
	keyedClass

	classCount
)

var testSettings = control.Settings{
	GatewayCount: 1, TickMS: 5, MaxAttempts: 5, CanCancel: true, SendsRetryAfter: true, MaxRetryAfterMS: 500,
	DrainGraceMS: 500, CanPrioritize: true, EngineKinds: []control.EngineKind{{Cores: 8}},
	Classes: []control.Class{
		idempotentClass: {
			LatencyObjectiveMS: 300, ObjectiveSlope: 2, DeadlineMS: 2000, PriorityWeight: 1, Threads: 1,
		},
		notIdempotentClass: {
			LatencyObjectiveMS: 300, ObjectiveSlope: 2, DeadlineMS: 3000, PriorityWeight: 6, Threads: 2,
			Idempotency: control.NotIdempotent, OrderedByKey: true, IsLoad: true,
		},
		keyedClass: {
			LatencyObjectiveMS: 300, DeadlineMS: 2000, PriorityWeight: 1, Threads: 1,
			Idempotency: control.IdempotentWithKey, IdempotencyWindowMS: 400,
		},
	},
}

// checkedDispatcher applies events to a Dispatcher and checks that the effects keep the
// invariants of the package.
type checkedDispatcher struct {
	t          *rapid.T
	dispatcher *Dispatcher
	nowMS      float64
	requests   map[string]*checkedRequest
}

// checkedRequest is the state of a request that the checks need.
type checkedRequest struct {
	Request
	answered  bool
	abandoned bool
	detached  bool

	inFlight   *StartAttempt // nil if no attempt is in flight
	cancelled  bool          // whether the attempt in flight was cancelled
	mayHaveRun bool

	// The idempotency window starts with the first attempt that may have run.
	windowStarted bool
	windowAttempt int
	windowStartMS float64
}

func newCheckedDispatcher(t *rapid.T) *checkedDispatcher {
	return &checkedDispatcher{t: t, dispatcher: New(testSettings, 1), requests: map[string]*checkedRequest{}}
}

func (d *checkedDispatcher) apply(event Event) {
	for _, effect := range slices.Clone(d.dispatcher.Apply(d.nowMS, event)) {
		switch effect := effect.(type) {
		case StartAttempt:
			d.checkStart(d.requests[effect.RequestID], effect)
		case CancelAttempt:
			r := d.requests[effect.RequestID]
			if r.inFlight == nil || r.inFlight.Attempt != effect.Attempt || r.cancelled {
				d.t.Fatalf("cancelled an attempt that is not in flight: %+v", effect)
			}
			r.cancelled = true
		case Response:
			r := d.requests[effect.RequestID]
			if r.answered {
				d.t.Fatalf("second response to a request: %+v", effect)
			}
			if effect.Outcome == Rejected && r.mayHaveRun {
				d.t.Fatalf("request rejected although an attempt may have run: %+v", effect)
			}
			r.answered = true
		}
	}
}

func (d *checkedDispatcher) checkStart(r *checkedRequest, start StartAttempt) {
	if r.answered || r.inFlight != nil || start.DeadlineAtMS > r.DeadlineAtMS || d.nowMS >= r.DeadlineAtMS {
		d.t.Fatalf("started %+v at %v: request answered %v, attempt in flight %+v",
			start, d.nowMS, r.answered, r.inFlight)
	}
	if r.Class == notIdempotentClass && r.mayHaveRun {
		d.t.Fatalf("load started again although it may have run: %+v", start)
	}
	if r.detached {
		d.t.Fatalf("attempt started although the client has detached: %+v", start)
	}
	if start.WriteByMS <= d.nowMS || start.WriteByMS > d.nowMS+WriteTimeoutMS {
		d.t.Fatalf("attempt started at %v has to be written by %v", d.nowMS, start.WriteByMS)
	}
	windowEndMS := r.windowStartMS + testSettings.Classes[keyedClass].IdempotencyWindowMS
	if r.Class == keyedClass && r.windowStarted && start.WriteByMS >= windowEndMS {
		d.t.Fatalf("repeat may be written as late as %v; the idempotency window ends at %v",
			start.WriteByMS, windowEndMS)
	}
	r.inFlight = &start
	r.mayHaveRun = true
	if !r.windowStarted {
		r.windowStarted = true
		r.windowAttempt = start.Attempt
		r.windowStartMS = d.nowMS
	}
}

// endAttempt ends the attempt in flight of a request, if there is one.
func (d *checkedDispatcher) endAttempt(id string, result control.Result) {
	r := d.requests[id]
	if r == nil || r.inFlight == nil {
		return
	}
	attempt := r.inFlight.Attempt
	r.inFlight = nil
	r.cancelled = false
	if result == control.Rejected || result == control.ConnectFailed {
		r.mayHaveRun = false
		if r.windowAttempt == attempt {
			r.windowStarted = false
		}
	}
	d.apply(AttemptEnded{RequestID: id, Attempt: attempt, Result: result})
}

// advance advances the clock and fires the timers that are due.
func (d *checkedDispatcher) advance(ms float64) {
	d.nowMS += ms
	for d.dispatcher.NextTimerMS() <= d.nowMS {
		d.apply(TimerFired{})
	}
}

func (d *checkedDispatcher) arrive() {
	t := d.t
	r := Request{
		ID:           fmt.Sprint(len(d.requests)),
		Class:        rapid.IntRange(0, classCount-1).Draw(t, "class"),
		ArrivedAtMS:  d.nowMS,
		DeadlineAtMS: d.nowMS + float64(rapid.IntRange(1, 2000).Draw(t, "waitMS")),
		WorkMS:       50,
		Key:          rapid.SampledFrom([]string{"", "k"}).Draw(t, "key"),
	}
	d.requests[r.ID] = &checkedRequest{Request: r}
	d.apply(RequestArrived{r})
}

func (d *checkedDispatcher) abandon(id string) {
	if r := d.requests[id]; r != nil && !r.answered {
		r.abandoned = true
		d.apply(RequestAbandoned{id})
	}
}

func (d *checkedDispatcher) detach(id string) {
	if r := d.requests[id]; r != nil {
		r.detached = true
	}
	d.apply(RequestDetached{id})
}

// reportStatus applies an engine's status report. The attempt may not exist and the
// kind may be unknown. A status report must not cause a response.
func (d *checkedDispatcher) reportStatus(id string) {
	event := AttemptStatus{
		RequestID: id,
		Attempt:   rapid.IntRange(-1, 3).Draw(d.t, "attempt"),
		Kind:      StatusKind(rapid.IntRange(-1, 4).Draw(d.t, "status")),
		Value:     0.5,
	}
	before := d.responseCount()
	d.apply(event)
	if d.responseCount() != before {
		d.t.Fatalf("%+v caused a response", event)
	}
}

func (d *checkedDispatcher) responseCount() int {
	count := 0
	for _, r := range d.requests {
		if r.answered {
			count++
		}
	}
	return count
}

func (d *checkedDispatcher) reachShutdownDeadline() {
	d.apply(ShutdownDeadline{})
	if open := d.dispatcher.OpenRequests(); open != 0 {
		d.t.Fatalf("%d requests are open after the shutdown deadline", open)
	}
}

func (d *checkedDispatcher) changeEndpoint() {
	d.apply(EndpointsChanged{Engines: []control.EngineInfo{{
		ID:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(d.t, "engine"),
		Draining: rapid.Bool().Draw(d.t, "draining"),
	}}})
}

// drain advances the clock past all deadlines and ends the cancelled attempts.
func (d *checkedDispatcher) drain() {
	for range 200 {
		d.advance(25)
		for id, r := range d.requests {
			if r.cancelled {
				d.endAttempt(id, control.Cancelled)
				break
			}
		}
	}
}

// The invariants of the package hold for any sequence of events.
func TestInvariants(t *testing.T) {
	results := []control.Result{
		control.Served, control.Errored, control.Rejected, control.ConnectFailed, control.Reset, control.Cancelled,
	}
	rapid.Check(t, func(t *rapid.T) {
		d := newCheckedDispatcher(t)
		d.apply(EndpointsChanged{Snapshot: true, Engines: []control.EngineInfo{{ID: "a"}, {ID: "b"}, {ID: "c"}}})
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			d.advance(float64(rapid.IntRange(0, 200).Draw(t, "ms")))
			id := fmt.Sprint(rapid.IntRange(0, max(0, len(d.requests)-1)).Draw(t, "request"))
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				d.arrive()
			case 2:
				d.endAttempt(id, rapid.SampledFrom(results).Draw(t, "result"))
			case 3:
				d.abandon(id)
			case 4:
				d.changeEndpoint()
			case 5:
				d.detach(id)
			case 6:
				if rapid.IntRange(0, 9).Draw(t, "shutdown") == 0 {
					d.reachShutdownDeadline()
				}
			case 7:
				d.reportStatus(id)
			}
		}
		d.drain()
		for id, r := range d.requests {
			if !r.answered && !r.abandoned {
				t.Fatalf("request %s has no response at %v: %+v", id, d.nowMS, r)
			}
		}
		if open := d.dispatcher.OpenRequests(); open != 0 {
			t.Fatalf("%d requests are still open at the end", open)
		}
	})
}

// A request whose engine does not answer its attempt gets a response by its deadline,
// and the attempt is cancelled. Since the attempt may have run, the response is a
// failure even if the decision logic asks for a rejection.
func TestDeadline(t *testing.T) {
	d := New(testSettings, 1)
	d.Apply(0, EndpointsChanged{Snapshot: true, Engines: []control.EngineInfo{{ID: "a"}}})
	d.Apply(1, RequestArrived{Request{ID: "x", DeadlineAtMS: 500, WorkMS: 10}})
	for nowMS := 2.0; nowMS <= 500; nowMS++ {
		for _, effect := range d.Apply(nowMS, TimerFired{}) {
			if response, ok := effect.(Response); ok {
				if response.Outcome != Failed || !response.MayHaveRun || !response.DeadlinePassed {
					t.Errorf("at %v: %+v", nowMS, response)
				}
				return
			}
		}
	}
	t.Error("no response by the deadline")
}

// A request that the decision logic does not answer in time is answered at its
// deadline.
func TestDeadlineWithoutDecision(t *testing.T) {
	d := New(testSettings, 1)
	// The decision logic has not received this request.
	d.requests["x"] = &request{Request: Request{ID: "x", DeadlineAtMS: 100}}
	d.openCount = 1
	d.timers.Add(100, timer{kind: requestDeadline, requestID: "x"})
	if effects := d.Apply(99, TimerFired{}); len(effects) != 0 {
		t.Errorf("before its deadline: %v", effects)
	}
	effects := d.Apply(100, TimerFired{})
	want := Response{RequestID: "x", Outcome: Rejected, DeadlinePassed: true}
	if len(effects) == 0 || effects[0] != want || d.OpenRequests() != 0 {
		t.Errorf("at its deadline: %v", effects)
	}
}

// Operators' tools match these texts in the log.
func TestOutcomeText(t *testing.T) {
	for outcome, want := range map[Outcome]string{
		Served: "served", Rejected: "refused", Failed: "failed", Outcome(-1): "unknown outcome",
	} {
		if got := outcome.String(); got != want {
			t.Errorf("outcome %d is %q, want %q", outcome, got, want)
		}
	}
}
