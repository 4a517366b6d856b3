package demand

import (
	"bytes"
	"slices"
	"testing"

	"dewhill/internal/goldentest"
)

// compatNowMS is so long after the start that the steady-state correction of the recorded
// demand has no effect.
const compatNowMS = 1e9

// TestCompatMessages guards the encoding of messages, which gateways of the previous
// version must be able to decode. A message has no header: it is a complete datagram.
func TestCompatMessages(t *testing.T) {
	var many []Load
	for i := range 30 {
		many = append(many, Load{Engine: uint32(i) << 24, Dataset: uint32(i)})
	}
	state := func(demand []float64, loads ...Load) peerState {
		return peerState{demand: demand, loads: loads, receivedAtMS: compatNowMS}
	}
	cases := []goldentest.Case[peerState]{
		{Name: "nothing", Value: state([]float64{0, 0, 0})},
		{Name: "asked", Value: state([]float64{1234.5, 7, 0.25})},
		{Name: "loads", Value: state([]float64{1, 2, 3},
			Load{Engine: 0x01020304, Dataset: 5}, Load{Engine: 0xfffefdfc, Dataset: 0xffffffff})},
		{Name: "longest", Value: state([]float64{1, 2, 3}, many...)},
	}
	encode := func(state peerState) []byte {
		tracker := New(8, 2, true)
		tracker.Start(0, 0)
		tracker.ownDemand = slices.Clone(state.demand)
		return tracker.Encode(compatNowMS, slices.Values(state.loads))
	}
	decode := func(message []byte) (peerState, error) {
		tracker := New(8, 2, true)
		tracker.Start(0, 0)
		tracker.Receive(compatNowMS, 1, message)
		return tracker.peers[1], nil
	}
	goldentest.Check(t, "messages.txt", cases, encode, decode)
}

// TestCompatOrder guards the order of the demand vector in a message: the work comes
// first, then the requests of each tenant. A message has at most 256 bytes, and holds no
// loads in a fleet of more than 8 gateways.
func TestCompatOrder(t *testing.T) {
	golden := goldentest.Read(t, "order.txt")
	for name, gatewayCount := range map[string]int{"small-fleet": 8, "large-fleet": 9} {
		t.Run(name, func(t *testing.T) {
			tracker := New(gatewayCount, 2, true)
			tracker.Start(0, 0)
			tracker.RecordDemand(40, 1)
			tracker.RecordDemand(2.5, 0)
			tracker.RecordDemand(0, 1)
			loads := make([]Load, 100)
			for i := range loads {
				loads[i] = Load{Engine: 1, Dataset: uint32(i)}
			}
			got := tracker.Encode(5000, slices.Values(loads))
			if !bytes.Equal(got, golden[name]) || len(got) > 256 {
				t.Errorf("encoded %x, golden message %x; at most 256 bytes", got, golden[name])
			}
		})
	}
}
