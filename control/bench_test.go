package control

import (
	"fmt"
	"math"
	"testing"
)

// BenchmarkHandle measures the handling of a dashboard and a sweep at one of 300 gateways
// with 66 engines, while secondary work is queued.
func BenchmarkHandle(b *testing.B) {
	s := manyGateways()
	s.GatewayCount = 300
	s.CanGossip = true
	g := New(s, 1)
	list := make([]EngineInfo, 66)
	for i := range list {
		list[i] = EngineInfo{ID: fmt.Sprint("e", i), Zone: i % 2}
	}
	now := 1000.0
	g.Handle(now, Event{Kind: EndpointSnapshot, Engines: list})
	for i := range 5 {
		g.Handle(now, Event{Kind: RequestArrived, RequestID: fmt.Sprint("queued", i), Class: 1, WorkMS: 3000,
			DeadlineAtMS: math.Inf(1), Dataset: i})
	}
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint(i)
		now += sweepIntervalMS
		for _, a := range g.Handle(now, Event{Kind: RequestArrived, RequestID: id, WorkMS: 50,
			DeadlineAtMS: now + 2000, Dataset: i % 40}) {
			if a.Kind == StartAttempt {
				g.Handle(now, Event{Kind: AttemptEnded, RequestID: id, Engine: a.Engine, Result: Served,
					ElapsedMS: 90, RequestDone: true})
			}
		}
		g.Handle(now, Event{Kind: TimerFired, Timer: SweepTimer})
	}
}

// BenchmarkLargeFleet measures the handling of a request, its outcome and the sweeps until
// the next request, at one of 80 gateways with 60 engines listed, four of which are in
// its subset.
func BenchmarkLargeFleet(b *testing.B) {
	s := oneGateway()
	s.GatewayCount = 80
	list := make([]EngineInfo, 60)
	for i := range list {
		list[i] = EngineInfo{ID: fmt.Sprint("e", i), GatewayCount: 6, GatewayIndex: i % 6, Draining: i >= 4}
	}
	g, now := New(s, 1), 0.0
	g.Handle(now, Event{Kind: EndpointSnapshot, Engines: list})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint(i)
		for _, a := range g.Handle(now, Event{Kind: RequestArrived, RequestID: id, Class: i % 2,
			DeadlineAtMS: now + 2000, WorkMS: 100}) {
			if a.Kind == StartAttempt {
				g.Handle(now+40, Event{Kind: AttemptEnded, RequestID: id, Engine: a.Engine, Result: Served,
					ElapsedMS: 40, RequestDone: true})
			}
		}
		for range 6 { // about seven requests per second
			now += sweepIntervalMS
			g.Handle(now, Event{Kind: TimerFired, Timer: SweepTimer})
		}
	}
}
