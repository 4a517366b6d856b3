package antientropy

// burstSeconds is the default capacity of a SendBudget, in seconds of its average rate.
const burstSeconds = 4

// SendBudget is a token bucket that bounds the average rate of sent bytes.
type SendBudget struct {
	bytesPerSecond float64
	capacityBytes  float64
	availableBytes float64
	refilledAtMS   float64
}

// NewSendBudget returns a full budget at time 0, whose capacity is the bytes of
// burstSeconds.
func NewSendBudget(bytesPerSecond float64) SendBudget {
	return NewSendBudgetWithBurst(bytesPerSecond, burstSeconds*bytesPerSecond)
}

// NewSendBudgetWithBurst returns a full budget at time 0 with the given capacity.
func NewSendBudgetWithBurst(bytesPerSecond, burstBytes float64) SendBudget {
	return SendBudget{bytesPerSecond: bytesPerSecond, capacityBytes: burstBytes, availableBytes: burstBytes}
}

// Refill adds the bytes accrued since the last call. Time must not go backwards.
func (b *SendBudget) Refill(nowMS float64) {
	accrued := (nowMS - b.refilledAtMS) * b.bytesPerSecond / 1000
	b.availableBytes = min(b.capacityBytes, b.availableBytes+accrued)
	b.refilledAtMS = nowMS
}

// AvailableBytes returns the number of bytes that may be sent now.
func (b *SendBudget) AvailableBytes() float64 { return b.availableBytes }

// Allows reports whether a message of the given size may be sent now.
func (b *SendBudget) Allows(bytes int) bool { return b.availableBytes >= float64(bytes) }

// Spend deducts a sent message from the budget. Messages that must not wait are sent
// even if the budget does not allow them; the budget never falls below zero.
func (b *SendBudget) Spend(bytes int) {
	b.availableBytes = max(0, b.availableBytes-float64(bytes))
}
