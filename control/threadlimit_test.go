package control

import (
	"fmt"
	"math"
	"testing"
)

// intervalOf returns a control interval of ten dashboards with an objective of 500 ms and the
// given mean latency, in which queued work found no headroom.
func intervalOf(latencyMS float64) controlInterval {
	return controlInterval{samples: 10, latencySumMS: 10 * latencyMS, objectiveSumMS: 10 * 500, demandUnmet: true}
}

func TestThreadLimitFollowsErrorIntegral(t *testing.T) {
	// The engine has 8 cores, dashboardNeighbors is 3, and no light-load latency has been recorded,
	// so the objective of 500 ms is used: KI = 8/1500. C starts at 8, so E starts at 1500. The upper
	// bound is 1.0*8 = 8 threads, E = 1500.
	tr := newScenario(t, oneGateway(), engines("a")...)
	e := tr.gateway.engineByID["a"]
	if e.limit.threads != 8 || e.limit.errorSumMS != 1500 {
		t.Fatalf("start: C %d, E %v; want 8, 1500", e.limit.threads, e.limit.errorSumMS)
	}
	for _, step := range []struct {
		name    string
		latency float64 // mean latency of the interval; 0: no dashboard recorded
		unmet   bool    // demandUnmet
		e       float64
		c       int
	}{
		{"falls by 300", 800, true, 1200, 6},
		{"one objective at most", 1900, true, 700, 4},
		{"surplus without demand", 100, false, 700, 4},
		{"surplus with demand", 400, true, 800, 4},
		{"empty interval", 0, true, 800, 4},
		{"half rounds up", 447.5, true, 852.5, 5},
		{"higher", 0.1, true, 1352.4, 7},
		{"ceiling", 0.1, true, 1500, 8},
	} {
		if step.latency > 0 {
			e.limit.interval = intervalOf(step.latency)
		}
		e.limit.interval.demandUnmet = step.unmet
		tr.gateway.closeControlInterval(e)
		if diff := e.limit.errorSumMS - step.e; diff > 1e-6 || diff < -1e-6 || e.limit.threads != step.c {
			t.Errorf("%s: E %v, C %d; want %v, %d", step.name, e.limit.errorSumMS, e.limit.threads, step.e, step.c)
		}
	}
}

// A period of low latency must not leave the limit far too high, and a period of high latency
// must not keep it at one for long.
func TestThreadLimitDoesNotWindUp(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a")...)
	e := tr.gateway.engineByID["a"]
	interval := func(latencyMS float64) {
		e.limit.interval = intervalOf(latencyMS)
		tr.gateway.closeControlInterval(e)
	}
	for range 1000 {
		interval(50)
	}
	if e.limit.threads > 8 {
		t.Errorf("C %d after a period of low latency, want at most 8", e.limit.threads)
	}
	for range 100 {
		interval(3000)
	}
	if e.limit.threads != 1 {
		t.Errorf("C %d in a period of high latency, want 1", e.limit.threads)
	}
	interval(100)
	interval(100)
	if e.limit.threads < 5 {
		t.Errorf("C %d two intervals after a period of high latency, want 5 or more", e.limit.threads)
	}
}

func TestControlIntervalClosesByCountAndTime(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a")...)
	e := tr.gateway.engineByID["a"]
	for i := range dashboardsPerInterval {
		tr.arrive(fmt.Sprint(i), 0, 100, 2000)
		tr.advance(100)
		if e.limit.interval.samples != i {
			t.Fatalf("%d dashboards recorded, want %d", e.limit.interval.samples, i)
		}
		tr.endAttempt(fmt.Sprint(i), Served)
	}
	if e.limit.interval.samples != 0 {
		t.Error("interval still open after dashboardsPerInterval")
	}
	since := e.limit.interval.startedAtMS
	tr.advance(maxIntervalMS + 100)
	if e.limit.interval.startedAtMS == since {
		t.Error("interval still open after maxIntervalMS")
	}
}

// Without gossip, quotas are even, and a gateway with several times the mean demand may exceed
// its quota while dashboards meet their objective. With gossip, the quota itself follows demand.
func TestThreadLimitCeilingFollowsQuota(t *testing.T) {
	for _, gossips := range []bool{false, true} {
		s := oneGateway()
		s.GatewayCount = 8
		s.CanGossip = gossips
		tr := newScenario(t, s, engines("a")...)
		e := tr.gateway.engineByID["a"]
		for range 20 {
			e.limit.interval = intervalOf(50)
			tr.gateway.closeControlInterval(e)
		}
		// The engine has 8 cores, so an even quota is one thread.
		want := evenQuotaSlack
		if gossips {
			want = demandQuotaSlack
		}
		if got := e.limit.errorSumMS * tr.gateway.integralGain(e); math.Abs(got-want) > 1e-9 {
			t.Errorf("gossip %v: KI*E is %v, want %v", gossips, got, want)
		}
		for range 100 {
			e.limit.interval = intervalOf(3000)
			tr.gateway.closeControlInterval(e)
		}
		if e.limit.threads != 1 {
			t.Errorf("gossip %v: C is %d while dashboards are slow, want 1", gossips, e.limit.threads)
		}
	}
}

// A gateway's quota follows the demand that its peers gossip, once demand has been summed for
// long enough.
func TestEngineQuotaFollowsDemand(t *testing.T) {
	s := oneGateway()
	s.GatewayCount = 4
	s.CanGossip = true
	tr := newScenario(t, s, engines("a")...)
	tr.gateway.demand.RecordDemand(300*(1-math.Exp2(-2000/5000.0)), -1)
	tr.handle(Event{Kind: GossipReceived, Peer: 1, Message: demandMessage(100)})
	if got := tr.gateway.engineQuota(tr.gateway.engines[0]); got != 0.25 {
		t.Errorf("quota %v just after the start, want 0.25", got)
	}
	// The gateway's own sums started at zero; those of its peers have grown for long.
	tr.nowMS += 2000
	tr.handle(Event{Kind: EndpointListFailed})
	if got := tr.gateway.engineQuota(tr.gateway.engines[0]); math.Abs(got-0.75) > 1e-9 {
		t.Errorf("quota %v once all gateways had time to gossip, want 0.75", got)
	}
}

// In a large fleet, a gateway's quota of an engine depends on the number of gateways that use the
// engine by the latest endpoint list, not on the size of the fleet. The minimum limits of one
// thread per gateway then sum to no more than the engine's cores.
func TestEngineQuotaFollowsGatewaysUsingIt(t *testing.T) {
	s := oneGateway()
	s.GatewayCount = 80
	s.CanProbe = true
	s.LoadReportsInProbes = true
	tr := newScenario(t, s, EngineInfo{ID: "a", GatewayCount: 4, GatewayIndex: 3}, EngineInfo{ID: "b"})
	a, b := tr.gateway.engineByID["a"], tr.gateway.engineByID["b"]
	quota, index := tr.gateway.engineQuota(a), tr.gateway.slowStart(a).GatewayIndex
	if quota != 0.25 || a.sharesThreadLimit || index != 3 {
		t.Errorf("quota %v, shared limit %v, index %d where four gateways use the engine", quota,
			a.sharesThreadLimit, index)
	}
	if tr.gateway.engineQuota(b) != 1.0/80 || !b.sharesThreadLimit {
		t.Errorf("quota %v, shared limit %v where all 80 gateways use the engine",
			tr.gateway.engineQuota(b), b.sharesThreadLimit)
	}
	tr.handle(Event{Kind: EndpointUpdate, Engines: []EngineInfo{{ID: "a", GatewayCount: 2}}})
	if tr.gateway.engineQuota(a) != 0.5 {
		t.Errorf("quota %v once two gateways use the engine, want 0.5", tr.gateway.engineQuota(a))
	}
}

// Dashboards that would overload the engines on their own are limited, and rejected early.
func TestDashboardConcurrencyIsLimited(t *testing.T) {
	tr := newScenario(t, oneGateway(), engines("a")...)
	for i := range 100 {
		tr.arrive(fmt.Sprint(i), 0, 50, 2000)
	}
	if n := tr.gateway.engineByID["a"].load.dashboardThreads; n != 8 {
		t.Errorf("%d dashboards in flight before the first response, want 8, one thread per core", n)
	}
	tr.advance(500*maxDashboardWaitFraction + 2*sweepIntervalMS)
	if k := countActions(tr.actions, RejectRequest); k != 92 {
		t.Errorf("%d rejected, want 92", k)
	}
	// Late dashboards on an engine at its limit are cancelled.
	tr.advance(1000)
	if k := countActions(tr.actions, CancelAttempt); k != 8 {
		t.Errorf("%d cancelled, want 8", k)
	}
}

// A late dashboard gives way where engines share a thread limit, too: the limit of dashboards
// is for all these engines together, and so are the threads compared with it.
func TestLateDashboardsUnderASharedLimit(t *testing.T) {
	tr := newScenario(t, manyGateways(), engines("a", "b", "c", "d")...)
	const deadlineMS = 2000
	for i := range 2 {
		tr.arrive(fmt.Sprint(i), 0, 50, deadlineMS)
	}
	g := tr.gateway
	r := g.requestByID["0"]
	a := &r.attempts[0]
	if a.engine.load.dashboardThreads != 1 || !g.dashboardsAtLimit(r.class, a.engine) {
		t.Fatalf("%d threads on the engine, want 1, and the two dashboards at the limit", a.engine.load.dashboardThreads)
	}
	if g.isLateAtLimit(r, a) {
		t.Error("a dashboard within its objective gives way")
	}
	g.nowMS += deadlineMS
	if !g.isLateAtLimit(r, a) {
		t.Error("a late dashboard keeps its threads although the dashboards are at their limit")
	}
}

// A gateway's own threads count once beside a load report, which contains them.
func TestOwnThreadsCountOnceBesideALoadReport(t *testing.T) {
	tr := newScenario(t, manyGateways(), engines("a", "b")...)
	own, peers := tr.gateway.engineByID["a"], tr.gateway.engineByID["b"]
	own.load = engineLoad{secondaryThreads: 2, reportedThreads: 2, reportedAtMS: tr.nowMS}
	peers.load = engineLoad{reportedThreads: 3, reportedAtMS: tr.nowMS}
	started := tr.arrive("dashboard", 0, 50, 2000)
	for _, a := range started {
		if a.Kind == StartAttempt && a.Engine != "a" {
			t.Errorf("started on engine %s, which runs 3 threads, and not on a, which runs 2", a.Engine)
		}
	}
	if countActions(started, StartAttempt) != 1 {
		t.Errorf("%d attempts started, want 1", countActions(started, StartAttempt))
	}
}
