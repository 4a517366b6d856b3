package dispatch

import (
	"testing"

	"dewhill/control"
)

const startCasesNowMS = 100

// Attempts of the requests in startCases.
var (
	attemptInFlight   = attempt{engine: "a", inFlight: true}
	attemptMayHaveRun = attempt{engine: "a", result: control.Errored}
	attemptNeverRan   = attempt{engine: "a", result: control.Rejected, neverRan: true}
)

// startCases are requests at startCasesNowMS, and whether their next attempt may start.
var startCases = []struct {
	name         string
	request      request
	deadlineAtMS float64 // of the attempt; 0: the deadline of the request
	wantStart    bool
}{
	{"first attempt", request{}, 0, true},
	{"retry", request{attempts: []attempt{attemptMayHaveRun}}, 0, true},
	{"closed request", request{closed: true}, 0, false},
	{"detached client", request{detached: true}, 0, false},
	{"attempt in flight", request{attempts: []attempt{attemptInFlight}}, 0, false},
	{"deadline of the attempt passed", request{}, startCasesNowMS, false},
	{"deadline of the request passed", request{Request: Request{DeadlineAtMS: startCasesNowMS}}, 0, false},
	{
		"not idempotent, an attempt may have run",
		request{Request: Request{Class: notIdempotentClass}, attempts: []attempt{attemptMayHaveRun}}, 0, false,
	},
	{
		"not idempotent, no attempt ran",
		request{Request: Request{Class: notIdempotentClass}, attempts: []attempt{attemptNeverRan}}, 0, true,
	},
	{
		"the window of the key has passed",
		request{Request: Request{Class: keyedClass}, attempts: []attempt{{startedAtMS: -400}}}, 0, false,
	},
	{
		"within the window of the key",
		request{Request: Request{Class: keyedClass}, attempts: []attempt{{startedAtMS: 0}}}, 0, true,
	},
}

// An attempt that the decision logic asks for, but that would break an invariant, is
// not started: it ends at once with the result NotSent.
func TestForbiddenAttemptsAreNotStarted(t *testing.T) {
	for _, c := range startCases {
		t.Run(c.name, func(t *testing.T) {
			d := New(testSettings, 1)
			d.nowMS = startCasesNowMS
			r := c.request
			r.ID = "x"
			if r.DeadlineAtMS == 0 {
				r.DeadlineAtMS = 1000
			}
			d.requests[r.ID] = &r
			index := len(r.attempts)
			d.perform(&control.Action{
				Kind: control.StartAttempt, RequestID: r.ID, Engine: "b", DeadlineAtMS: c.deadlineAtMS,
			})
			started := false
			for _, effect := range d.effects {
				if _, ok := effect.(StartAttempt); ok {
					started = true
				}
			}
			if started != c.wantStart {
				t.Errorf("started: %v, want %v; effects %+v", started, c.wantStart, d.effects)
			}
			if a := r.attempts[index]; !c.wantStart && (a.inFlight || !a.neverRan || a.result != control.NotSent) {
				t.Errorf("the attempt is %+v, want one that ended as NotSent", a)
			}
		})
	}
}

// A closed request gets no second response, and actions on unknown requests and
// attempts have no effect.
func TestActionsOnClosedAndUnknownRequestsAreIgnored(t *testing.T) {
	d := New(testSettings, 1)
	closed := &request{Request: Request{ID: "closed"}, closed: true, attempts: []attempt{{engine: "a", inFlight: true}}}
	d.requests[closed.ID] = closed
	for _, action := range []control.Action{
		{Kind: control.RejectRequest, RequestID: "closed"},
		{Kind: control.FailRequest, RequestID: "closed"},
		{Kind: control.CancelAttempt, RequestID: "closed", Attempt: 1},
		{Kind: control.CancelAttempt, RequestID: "closed", Attempt: -1},
		{Kind: control.StartAttempt, RequestID: "unknown"},
		{Kind: control.RejectRequest, RequestID: "unknown"},
		{Kind: control.FailRequest, RequestID: "unknown"},
		{Kind: control.CancelAttempt, RequestID: "unknown"},
		{Kind: control.SetResources, RequestID: "unknown"},
	} {
		d.perform(&action)
		if len(d.effects) != 0 {
			t.Errorf("%+v has effects %+v", action, d.effects)
		}
	}
}
