package antientropy

import "testing"

// TestSendBudget checks that a budget starts full, that every sent message is deducted
// from it, including messages that it does not allow, and that it refills with time up
// to its capacity.
func TestSendBudget(t *testing.T) {
	const capacity = burstSeconds * 1000
	budget := NewSendBudget(1000)
	if !budget.Allows(capacity) || budget.Allows(capacity+1) {
		t.Errorf("new budget: %.0f bytes available, want %d", budget.AvailableBytes(), capacity)
	}
	budget.Spend(capacity + 500)
	if budget.AvailableBytes() != 0 {
		t.Errorf("after a message larger than the budget: %.0f bytes available, want 0", budget.AvailableBytes())
	}
	budget.Refill(250)
	if budget.AvailableBytes() != 250 {
		t.Errorf("after 250 ms: %.0f bytes available, want 250", budget.AvailableBytes())
	}
	budget.Refill(1_000_000)
	if budget.AvailableBytes() != capacity {
		t.Errorf("after a long time: %.0f bytes available, want %d", budget.AvailableBytes(), capacity)
	}
}
