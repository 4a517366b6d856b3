package mysql

import (
	"strings"
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

// TestKeptPacketIsThatOfTheRun guards against a repeat that is told another number of rows
// than the first run, because the engine's OK packet had a long message.
func TestKeptPacketIsThatOfTheRun(t *testing.T) {
	const affectedRows, insertID = 70_000, 1 << 40
	engineOK := append(okPacket(affectedRows, insertID), strings.Repeat("x", 300)...)
	result, kept := outcome{result: &Result{OK: engineOK}}.runResult()
	if result != lease.Completed || len(kept) > lease.MaxOutcomeBytes {
		t.Fatalf("recorded as %v with %d bytes, want completed with at most %d",
			result, len(kept), lease.MaxOutcomeBytes)
	}
	fields := payloadReader{rest: kept[1:]}
	rows, _ := fields.lengthEncodedInt()
	id, _ := fields.lengthEncodedInt()
	if rows != affectedRows || id != insertID || fields.malformed {
		t.Errorf("kept %d rows and the id %d, want %d and %d", rows, id, affectedRows, insertID)
	}
}
