package control_test

import (
	"fmt"

	"dewhill/control"
)

// A gateway is created from its settings and a seed. It takes events and returns the
// actions that the caller must carry out.
func Example() {
	g := control.New(control.Settings{
		GatewayCount: 1,
		TickMS:       5,
		EngineKinds:  []control.EngineKind{{Cores: 8}},
		Classes: []control.Class{
			{LatencyObjectiveMS: 500, ObjectiveSlope: 2, DeadlineMS: 2000, PriorityWeight: 1, Threads: 1},
			{LatencyObjectiveMS: 2000, ObjectiveSlope: 2, DeadlineMS: 20000, PriorityWeight: 10, Threads: 4},
		},
	}, 1)

	// The caller's event loop passes each event with the time of its clock, in milliseconds.
	handle := func(now float64, ev control.Event) {
		for _, a := range g.Handle(now, ev) {
			switch a.Kind {
			case control.StartAttempt:
				fmt.Printf("%.0f: send %s to %s\n", now, a.RequestID, a.Engine)
			case control.RejectRequest, control.FailRequest:
				fmt.Printf("%.0f: end %s\n", now, a.RequestID)
			case control.SetTimer:
				// Pass TimerFired with a.Timer after a.DelayMS.
			default:
				// Carry out the other kinds of actions.
			}
		}
	}
	handle(0, control.Event{Kind: control.EndpointSnapshot, Engines: []control.EngineInfo{{ID: "db1:5432"}}})
	handle(10, control.Event{Kind: control.RequestArrived, RequestID: "r1", Class: 0,
		DeadlineAtMS: 2010, WorkMS: 80})
	handle(11, control.Event{Kind: control.RequestArrived, RequestID: "r2", Class: 1,
		DeadlineAtMS: 20011, WorkMS: 3000})
	handle(95, control.Event{Kind: control.AttemptEnded, RequestID: "r1", Engine: "db1:5432",
		Result: control.Served, ElapsedMS: 85, RequestDone: true})
	// Output:
	// 10: send r1 to db1:5432
	// 11: send r2 to db1:5432
}
