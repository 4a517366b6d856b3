package replication

import (
	"testing"

	"dewhill/internal/mutanttest"
)

var (
	// lastWriteWins gives precedence to the concurrent write with the later timestamp.
	lastWriteWins = mutanttest.Mutant{
		Name: "last write wins",
		File: "internal/replication/register.go",
		Old:  "if w.Disabled != o.Disabled {\n\t\treturn w.Disabled",
		New:  "return w.Timestamp > o.Timestamp\n\tif w.Disabled != o.Disabled {\n\t\treturn w.Disabled",
	}
	// withoutCatchUp makes restarted replicas ready immediately.
	withoutCatchUp = mutanttest.Mutant{
		Name: "without catch-up",
		File: "internal/replication/replica.go",
		Old:  "r.started = true",
		New:  "r.started = true\n\tr.catchUp.ready = true",
	}
)

// TestMutantsAreCaught checks that the tests of this package fail if the merge rule or the
// catch-up is removed from the replica.
func TestMutantsAreCaught(t *testing.T) {
	mutanttest.ExpectAllKilled(t, "./internal/replication", []mutanttest.Case{
		{Mutant: lastWriteWins, Test: "TestReplicasConverge"},
		{Mutant: withoutCatchUp, Test: "TestNotReadyTooSoon"},
	}, "-failfast")
}
