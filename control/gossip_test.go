package control

import (
	"fmt"
	"testing"
)

// A gateway broadcasts its loads in flight. The requests of its peers that such a load
// would block avoid its engine until the gateway broadcasts that the load has ended.
func TestLoadsOfPeersAreAvoided(t *testing.T) {
	s := twoEngineKinds()
	s.CanGossip = true
	s.Classes[0].BlockedByLoads = true
	s.Classes[2].IsLoad = true
	a := newScenario(t, s, engines("a", "b", "c")...)
	s.GatewayIndex = 1
	b := newScenario(t, s, engines("a", "b", "c")...)
	deliver := func(actions []Action) {
		t.Helper()
		for _, action := range actions {
			if action.Kind == Broadcast {
				b.handle(Event{Kind: GossipReceived, Peer: 0, Message: action.Message})
				return
			}
		}
		t.Error("nothing was broadcast")
	}
	count := 0
	blockedReads := func() (n int) {
		for range 12 {
			count++
			id := fmt.Sprint("r", count)
			b.handle(Event{Kind: RequestArrived, RequestID: id, Class: 0, DeadlineAtMS: b.nowMS + 2000,
				WorkMS: 50, Dataset: 7})
			if b.requests[id].attempts[0].engine == a.starts[0].Engine {
				n++
			}
			b.nowMS += 50
			b.endAttempt(id, Served)
		}
		return n
	}
	deliver(a.handle(Event{Kind: RequestArrived, RequestID: "load", Class: 2, DeadlineAtMS: a.nowMS + 5000,
		WorkMS: 50, Dataset: 7}))
	if n := blockedReads(); n != 0 {
		t.Errorf("%d reads of 12 went to the engine of the peer's load", n)
	}
	deliver(a.endAttempt("load", Served))
	if b.gateway.runsLoad(b.gateway.engineByID[a.starts[0].Engine], 7) {
		t.Error("a load still counts after the peer broadcast that it has ended")
	}
}
