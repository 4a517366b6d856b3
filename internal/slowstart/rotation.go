package slowstart

import (
	"fmt"
	"hash/fnv"
)

// slotsPerWindow is the length of an overload window in slots. As a window need not start
// with a slot, it overlaps at most one slot more.
const slotsPerWindow = 2

// slot is a time span in which a few gateways, its holders, may send more than the others.
type slot struct {
	startMS float64 // age of the engine at which the slot starts
	quotaMS float64 // work that each holder may send in the slot
	holder  bool    // this gateway is one of the holders
}

// slotAt returns the slot at an age of the engine. Gateways hold slots in rotation, in
// the order of their indices, starting with firstHolder.
func (e *Engine) slotAt(ageMS float64) slot {
	lengthMS := e.OverloadWindowMS / slotsPerWindow
	number := int(max(0, ageMS) / lengthMS)
	gatewayCount := max(1, e.GatewayCount)
	firstHolder := e.firstHolder(gatewayCount)
	holders := 0
	quotaMS := 0.0
	for n := range number + 1 {
		firstHolder += holders
		slotBudgetMS := e.budgetMS(float64(n)*e.OverloadWindowMS/slotsPerWindow) / (slotsPerWindow + 1)
		holders = min(gatewayCount, max(1, int(slotBudgetMS/max(1, e.LargestWorkMS))))
		quotaMS = slotBudgetMS / float64(holders)
	}
	offset := (e.GatewayIndex - firstHolder%gatewayCount + gatewayCount) % gatewayCount
	return slot{startMS: float64(number) * lengthMS, quotaMS: quotaMS, holder: offset < holders}
}

// firstHolder returns the index of the gateway with which the rotation begins. It depends
// only on the engine's ID and start time, so all gateways compute the same.
func (e *Engine) firstHolder(gatewayCount int) int {
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, e.ID, e.StartedAtMS) // writing to a hash never returns an error
	return int(hash.Sum32()) % gatewayCount
}
