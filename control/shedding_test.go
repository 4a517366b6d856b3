package control

import (
	"fmt"
	"strconv"
	"testing"
)

// Requests that can't be served in time are rejected, least weight per unit of work first.
func TestSheddingRejectsLeastWeightPerWork(t *testing.T) {
	s := oneGateway()
	s.Classes[1].Threads = 1
	s.Classes[0].Threads = 1
	s.Classes[1].LatencyObjectiveMS = 3000
	tr := newScenario(t, s, engines("a")...)
	for i := range 8 {
		tr.arrive(fmt.Sprint("out", i), 1, 1000, 19000)
	}
	tr.arrive("heavy", 1, 12000, 45000)
	for i := range 15 {
		tr.arrive(fmt.Sprint(i), 1, 1000, 19000)
	}
	tr.advance(50)
	if len(tr.finals) != 1 || tr.finals[0].RequestID != "heavy" || tr.finals[0].Kind != RejectRequest {
		t.Errorf("final responses %v, want only the request with the most work rejected", tr.finals)
	}
}

// A late attempt whose weight is too low for the threads it holds is cancelled once other
// requests wait for the threads, and its client is answered at once. If no request waits, or
// the request is not idempotent, the attempt continues.
func TestLateAttemptIsCancelledForOthers(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotency Idempotency
		others      int // queued requests
		ended       bool
	}{
		{"nothing queued", Idempotent, 0, false},
		{"others queued", Idempotent, 6, true},
		{"not idempotent", NotIdempotent, 6, false},
	} {
		s := oneGateway()
		s.EngineKinds[0].Cores = 4
		s.Classes[1].Idempotency = c.idempotency
		s.MaxAttempts = 1
		tr := newScenario(t, s, engines("a")...)
		tr.arrive("late", 1, 800, 19000)
		tr.advance(s.Classes[1].LatencyObjectiveMS + s.Classes[1].ObjectiveSlope*200)
		if tr.requests["late"].closedAtMS != 0 {
			t.Fatalf("%s: the request ended before it was late", c.name)
		}
		tr.advance(1000)
		for i := range c.others {
			tr.arrive(fmt.Sprint(i), 1, 800, 19000)
		}
		tr.advance(100)
		if ended := tr.requests["late"].closedAtMS != 0; ended != c.ended {
			t.Errorf("%s: ended is %v, want %v", c.name, ended, c.ended)
		}
	}
}

// A tenant far over its quota must not take the capacity of other tenants: its requests are
// shed first.
func TestTenantOverQuotaWeighsLess(t *testing.T) {
	s := oneGateway()
	s.Tenants, s.OverQuotaWeight = []Tenant{{RequestsPerSecond: 10}, {RequestsPerSecond: 10}}, 0.05
	tr := newScenario(t, s, engines("a")...)
	for range 400 { // 55 requests per second
		tr.gateway.demand.RecordDemand(0, 0)
	}
	for i := range 40 {
		tr.handle(Event{Kind: RequestArrived, RequestID: fmt.Sprint(i), Tenant: 0,
			DeadlineAtMS: tr.nowMS + 2000, WorkMS: 50})
	}
	over, within := &request{class: &tr.gateway.classes[1], estimatedWorkMS: 100,
		tenant: 0}, &request{class: &tr.gateway.classes[1], estimatedWorkMS: 300, tenant: 1}
	if tr.gateway.weightPerWork(over) >= tr.gateway.weightPerWork(within) {
		t.Error("a request over its tenant's quota does not weigh less than a request within its quota")
	}
}

// When the number of open requests is close to its limit, blocked requests are ended:
// dashboards that are too late to have any weight first, and never requests in flight that are
// not idempotent. With few open requests, none is ended.
func TestOpenRequestsAreShed(t *testing.T) {
	settings := Settings{GatewayCount: 1, TickMS: 5, MaxAttempts: 5, CanCancel: true,
		EngineKinds: []EngineKind{{Cores: 400}},
		Classes: []Class{{LatencyObjectiveMS: 300, DeadlineMS: 9000, PriorityWeight: 1, Threads: 1},
			{LatencyObjectiveMS: 300, DeadlineMS: 9000, PriorityWeight: 6, Threads: 2,
				Idempotency: NotIdempotent, IsLoad: true}}}
	for _, maxOpen := range []int{0, 100} {
		settings.MaxOpenRequests = maxOpen
		g := New(settings, 1)
		g.Handle(0, Event{Kind: EndpointSnapshot, Engines: []EngineInfo{{ID: "a"}, {ID: "b"}}})
		attemptCounts := map[string]int{}
		ended := map[string]bool{}
		handle := func(now float64, ev Event) {
			for _, a := range g.Handle(now, ev) {
				switch a.Kind {
				case StartAttempt:
					attemptCounts[a.RequestID]++
				case RejectRequest, FailRequest:
					ended[a.RequestID] = true
				default:
				}
			}
		}
		for i := range 99 {
			class := 0
			if i%9 == 0 {
				class = 1
			}
			handle(float64(i), Event{Kind: RequestArrived, RequestID: fmt.Sprint(i), Class: class,
				DeadlineAtMS: 9000, WorkMS: 50, Dataset: i})
		}
		// Some requests are served, so that the average weight of open requests is not zero.
		for i := 1; i < 9; i++ {
			handle(110, Event{Kind: AttemptEnded, RequestID: fmt.Sprint(i), Result: Served, ElapsedMS: 90,
				RequestDone: true})
		}
		for now := 125.0; now < 700; now += 25 {
			handle(now, Event{Kind: TimerFired, Timer: SweepTimer})
		}
		want := 0
		if maxOpen > 0 {
			want = 99 - 8 - int(targetOpenFraction*float64(maxOpen))
		}
		if len(ended) != want {
			t.Errorf("limit %d: %d requests ended, want %d", maxOpen, len(ended), want)
		}
		for id := range ended {
			if i, _ := strconv.Atoi(id); i%9 == 0 && attemptCounts[id] > 0 {
				t.Errorf("request %s was ended although it is in flight and not idempotent", id)
			}
		}
	}
}

// Shedding must not count threads of engines in slow start that can't take the request.
// Otherwise requests would wait for these engines until they are late instead of being
// rejected early.
func TestExpectedThreadsLeaveOutSlowStart(t *testing.T) {
	tr := newScenario(t, oneGateway(), EngineInfo{ID: "cold", StartedAtMS: 999}, EngineInfo{ID: "warm"})
	for i := range 3 {
		tr.arrive(fmt.Sprint(i), 1, 9000, 19000)
	}
	tr.advance(2 * sweepIntervalMS)
	r := &request{class: &tr.gateway.classes[1], estimatedWorkMS: 9000}
	got, warm := tr.gateway.expectedThreads(r), float64(tr.gateway.engineByID["warm"].limit.threads)
	if want := max(warm, 4); got != want {
		t.Errorf("%v threads expected, want %v, those of the warm engine", got, want)
	}
}

// If tenants are configured, a request that names none of them weighs as a request over its
// quota. If no tenants are configured, all requests have their full weight.
func TestRequestWithoutTenantWeighsAsOverQuota(t *testing.T) {
	cases := []struct {
		name    string
		tenants []Tenant
		tenant  int
		want    float64 // fraction of the tenant's requests within the quota
	}{
		{"within quota", []Tenant{{RequestsPerSecond: 10}}, 0, 1},
		{"no quota", []Tenant{{}}, 0, 1},
		{"no tenant named", []Tenant{{RequestsPerSecond: 10}}, NoTenant, 0},
		{"no tenant named, and the only tenant has no quota", []Tenant{{}}, NoTenant, 0},
		{"unknown tenant", []Tenant{{RequestsPerSecond: 10}}, 1, 0},
		{"no tenants configured", nil, NoTenant, 1},
		{"no tenants configured, but one is named", nil, 0, 1},
	}
	for _, c := range cases {
		s := oneGateway()
		s.Tenants = c.tenants
		tr := newScenario(t, s, engines("a")...)
		got := tr.gateway.withinQuota(&request{class: &tr.gateway.classes[1], tenant: c.tenant})
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
