package mysql

import (
	"testing"

	"dewhill/internal/lease"
)

// TestEngineErrorIsNotCompleted checks that a load that its engine answers with an error
// packet is not recorded as completed. If it were, a repeat of the load through another
// front end would get an OK packet although the load did nothing.
func TestEngineErrorIsNotCompleted(t *testing.T) {
	const noSuchTable = 1146
	o := outcome{result: &Result{Err: &Error{Code: noSuchTable, State: "42S02", Message: "no such table"}}}
	result, ok := o.runResult()
	if result == lease.Completed || ok != nil {
		t.Errorf("recorded as %v with the OK packet %x, want a result other than completed", result, ok)
	}
}
