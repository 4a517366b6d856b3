package lease

import (
	"testing"

	"dewhill/internal/mutanttest"
)

var (
	// singleVoteMajority counts a front end's own vote as a quorum.
	singleVoteMajority = mutanttest.Mutant{
		Name: "single vote majority",
		File: "internal/lease/proposer.go",
		Old:  "return majority(m.members.clusterSize)",
		New:  "return 1",
	}
	// ownerMayLoseLease grants a lease to another process once its owner has left.
	ownerMayLoseLease = mutanttest.Mutant{
		Name: "owner may lose lease",
		File: "internal/lease/proposer.go",
		Old:  "case m.ownerHasLeft(read.Owner):",
		New: "case m.ownerHasLeft(read.Owner):\n" +
			"\t\top.decision = Granted\n" +
			"\t\top.round.proposal = m.newLease(op, read.Generation)\n" +
			"\tcase false:",
	}
	// voteWithoutState lets members that lost their votes vote at once.
	voteWithoutState = mutanttest.Mutant{
		Name: "vote without state",
		File: "internal/lease/persistence.go",
		Old:  "m.recovery.canVote = hasVoterMark",
		New:  "m.recovery.canVote = hasVoterMark || true",
	}
	// voteBesideRunningVoters lets members vote after a majority has lost its state, although
	// they have not copied the records of a voter that runs.
	voteBesideRunningVoters = mutanttest.Mutant{
		Name: "vote beside running voters",
		File: "internal/lease/recovery.go",
		Old:  "case m.membersWithoutState() >= needed && m.caughtUpWithRunningVoters():",
		New:  "case m.membersWithoutState() >= needed && (true || m.caughtUpWithRunningVoters()):",
	}
)

// TestMutantsAreCaught checks that the tests of this package fail on a manager
// without one of its guards.
func TestMutantsAreCaught(t *testing.T) {
	mutanttest.ExpectAllKilled(t, "./internal/lease", []mutanttest.Case{
		{Mutant: singleVoteMajority, Test: "TestSafetyOfThreeFrontEnds"},
		{Mutant: singleVoteMajority, Test: "TestLeasesAreLinearizable"},
		{Mutant: ownerMayLoseLease, Test: "TestSafetyOfThreeFrontEnds"},
		{Mutant: voteWithoutState, Test: "TestNoVoteWithoutState"},
		{Mutant: voteBesideRunningVoters, Test: "TestRunningVotersAreCopied"},
	}, "-failfast")
}
