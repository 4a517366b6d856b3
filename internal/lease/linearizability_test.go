package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// leaseModel models the register of a key for the linearizability checker. Its state
// is the name of the attempt that has the lease. A lease is granted only if no attempt
// has it.
var leaseModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		holder := state.(string)
		in := input.(acquisition)
		switch in.kind {
		case release:
			if holder == in.attempt {
				return true, ""
			}
			return true, holder
		case maybeAcquire:
			if holder == "" {
				return true, in.attempt
			}
			return true, holder
		case acquire:
			if output.(bool) {
				return holder == "", in.attempt
			}
			return holder != "", holder
		default:
			return false, holder
		}
	},
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[Key][]porcupine.Operation{}
	for _, o := range history {
		key := o.Input.(acquisition).key
		byKey[key] = append(byKey[key], o)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// simulateContention simulates many clients that request few keys while the fleet is
// partitioned for a time. It returns the history of the requests.
func simulateContention(seed uint64) (history []porcupine.Operation) {
	const (
		keys          = 40
		clientsPerKey = 4
	)
	f := newFleet(seed, 5, false, Options{})
	f.Run(10_000)
	f.lossRate = 0.1
	endMS := f.NowMS + 20_000
	for n := range keys {
		for range clientsPerKey {
			c := &client{key: testKey(n), fingerprint: 9}
			f.After(8000*f.rng.Float64(), func() { f.attempt(c, &history, endMS) })
		}
	}
	f.After(3000, func() {
		f.setPartition(0, 0, 0, 1, 1)
		f.updateAllMembers()
	})
	f.After(9000, func() {
		f.setPartition(0, 0, 0, 0, 0)
		f.updateAllMembers()
	})
	f.Run(30_000)
	return history
}

// TestLeasesAreLinearizable checks that the histories of many requests for few
// leases are linearizable.
func TestLeasesAreLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			history := simulateContention(seed)
			if porcupine.CheckOperationsTimeout(leaseModel, history, 20*time.Second) != porcupine.Ok {
				t.Error("the history is not linearizable")
			}
		})
	}
}
