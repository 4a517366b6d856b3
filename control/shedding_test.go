package control

import (
	"fmt"
	"strconv"
	"testing"
)

// What can't be done in time is rejected, the least weight for its work first.
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
		t.Errorf("final answers %v, want the heaviest rejected alone", tr.finals)
	}
}

// A late attempt that would earn less than the threads it holds is cancelled once
// others wait for them, and its client is answered at once; with nobody waiting it
// goes on, and so does one that is not idempotent.
func TestLateAttemptIsCancelledForOthers(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotency Idempotency
		others      int // queued
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
			t.Fatalf("%s: ended in time", c.name)
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

// A tenant far over its quota must not take the capacity of others: its work is
// shed first.
func TestTenantOverQuotaWeighsLess(t *testing.T) {
	s := oneGateway()
	s.Tenants, s.OverQuotaWeight = []Tenant{{RequestsPerSecond: 10}, {RequestsPerSecond: 10}}, 0.05
	tr := newScenario(t, s, engines("a")...)
	for range 400 { // 55 a second
		tr.gateway.demand.RecordDemand(0, 0)
	}
	for i := range 40 {
		tr.handle(Event{Kind: RequestArrived, RequestID: fmt.Sprint(i), Tenant: 0,
			DeadlineAtMS: tr.nowMS + 2000, WorkMS: 50})
	}
	over, within := &request{class: &tr.gateway.classes[1], estimatedWorkMS: 100,
		tenant: 0}, &request{class: &tr.gateway.classes[1], estimatedWorkMS: 300, tenant: 1}
	if tr.gateway.weightPerWork(over) >= tr.gateway.weightPerWork(within) {
		t.Error("work over its tenant's quota weighs more than work within")
	}
}

// Where few more requests may be open, blocked ones are ended: dashboards too late
// for any weight first, work in flight that is not idempotent never, and nothing
// while there are few open requests.
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
		// Some are answered, so that open requests have earned something.
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
				t.Errorf("request %s was ended though it is in flight and not idempotent", id)
			}
		}
	}
}

// Shedding must not count on engines in slow start that can't take the request: work
// would wait for them until it is late instead of being rejected early.
func TestExpectedThreadsLeaveOutSlowStart(t *testing.T) {
	tr := newScenario(t, oneGateway(), EngineInfo{ID: "cold", StartedAtMS: 999}, EngineInfo{ID: "warm"})
	for i := range 3 {
		tr.arrive(fmt.Sprint(i), 1, 9000, 19000)
	}
	tr.advance(2 * sweepIntervalMS)
	r := &request{class: &tr.gateway.classes[1], estimatedWorkMS: 9000}
	if got, want := tr.gateway.expectedThreads(r), float64(tr.gateway.engineByID["warm"].limit.threads); got != max(want, 4) {
		t.Errorf("counts on %v threads, want those of the warm engine, %v", got, want)
	}
}

// Where there are tenants, a request of none of them weighs as one over its quota;
// where there are none, all weigh in full.
func TestRequestWithoutTenantWeighsAsOverQuota(t *testing.T) {
	cases := []struct {
		name    string
		tenants []Tenant
		tenant  int
		want    float64 // part within the quota
	}{
		{"within", []Tenant{{RequestsPerSecond: 10}}, 0, 1},
		{"no quota", []Tenant{{}}, 0, 1},
		{"of no tenant", []Tenant{{RequestsPerSecond: 10}}, NoTenant, 0},
		{"of no tenant, beside one without a quota", []Tenant{{}}, NoTenant, 0},
		{"of one that does not exist", []Tenant{{RequestsPerSecond: 10}}, 1, 0},
		{"no tenants at all", nil, NoTenant, 1},
		{"no tenants at all, and one is named", nil, 0, 1},
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
