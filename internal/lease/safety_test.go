package lease

import (
	"fmt"
	"slices"
	"testing"
)

// violation is a rule that a simulated run has broken.
type violation struct {
	safety bool // false: the load has no response, although a majority was up for long enough
	text   string
}

// simulateFaults simulates loads and faults, and returns the violations: loads that ran
// twice, responses that do not match the run, and loads without a response.
func simulateFaults(seed uint64, size, loads int, durable bool) (f *fleet, violations []violation) {
	const faultPeriodMS = 20_000
	f = newFleet(seed, size, durable, Options{})
	f.Run(10_000) // until the members, which start without state, vote
	f.lossRate = 0.1 * f.rng.Float64()
	endMS := f.NowMS + faultPeriodMS
	var clients []*client
	for n := range loads {
		c := &client{key: testKey(n), fingerprint: uint64(n) + 7}
		clients = append(clients, c)
		f.After(faultPeriodMS*f.rng.Float64(), func() { f.attempt(c, nil, endMS+60_000) })
	}
	for range 6 {
		f.After(faultPeriodMS*f.rng.Float64(), func() { f.injectMinorityFaults() })
	}
	f.Run(endMS + 61_000 - f.NowMS)
	for _, c := range clients {
		if v := f.check(c); v != nil {
			violations = append(violations, *v)
		}
	}
	return f, violations
}

// injectMinorityFaults kills, pauses or partitions some front ends for a time. A
// majority stays healthy.
func (f *fleet) injectMinorityFaults() {
	size := len(f.managers)
	minority := (size - 1) / 2
	isHealthy := func(i int) bool {
		return f.managers[i] != nil && !f.paused[i] && f.partition[i] == 0 && f.managers[i].CanVote()
	}
	targets := f.rng.Perm(size)[:1+f.rng.IntN(minority)]
	faulty := 0
	for i := range f.managers {
		if !isHealthy(i) {
			faulty++
		}
	}
	for _, i := range targets {
		if faulty >= minority || !isHealthy(i) {
			continue
		}
		faulty++
		f.injectFault(i, 200+8000*f.rng.Float64())
	}
}

func (f *fleet) injectFault(i int, durationMS float64) {
	switch f.rng.IntN(3) {
	case 0:
		f.kill(i)
		f.After(durationMS, func() { f.start(i) })
	case 1:
		f.paused[i] = true
		f.updateAllMembers()
		f.After(durationMS, func() {
			f.resume(i)
			f.updateAllMembers()
		})
	default:
		f.partition[i] = 1 + f.rng.IntN(2)
		f.updateAllMembers()
		f.After(durationMS, func() {
			f.partition[i] = 0
			f.updateAllMembers()
		})
	}
}

// check returns the violation for a client's load, or nil.
func (f *fleet) check(c *client) *violation {
	runs := f.runs[c.key]
	switch {
	case len(runs) > 1:
		return &violation{safety: true, text: fmt.Sprintf("load %x ran by %v", c.key[:4], runs)}
	case c.response == "":
		return &violation{text: fmt.Sprintf("load %x has no response after %d attempts, rejected %d times",
			c.key[:4], c.attempts, c.rejected)}
	case c.response != "may have run" && (len(runs) != 1 || c.response != "of "+runs[0]):
		text := fmt.Sprintf("load %x: response %q, ran by %v", c.key[:4], c.response, runs)
		return &violation{safety: true, text: text}
	default:
		return nil
	}
}

// TestNoLoadRunsTwice checks that each load runs at most once and has one response,
// while its client retries through other front ends and front ends are killed, paused
// and partitioned.
func TestNoLoadRunsTwice(t *testing.T) {
	var grantMS []float64
	for seed := uint64(1); seed <= 20; seed++ {
		f, violations := simulateFaults(seed, []int{3, 5, 7, 16}[seed%4], 600, seed%2 == 0)
		grantMS = append(grantMS, f.grantMS...)
		if len(violations) > 0 {
			t.Errorf("seed %d: %d violations, the first: %s", seed, len(violations), violations[0].text)
		}
	}
	slices.Sort(grantMS)
	p50, p99 := grantMS[len(grantMS)/2], grantMS[len(grantMS)*99/100]
	t.Logf("%d leases granted, latency p50 %.0f ms, p99 %.0f ms", len(grantMS), p50, p99)
}

// TestSafetyOfThreeFrontEnds checks in the smallest fleets, without disks, that no load
// runs twice and that each response matches the run. Without a guard, few seeds show it.
func TestSafetyOfThreeFrontEnds(t *testing.T) {
	const seeds = 180
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			_, violations := simulateFaults(seed, 3, 600, false)
			for _, v := range violations {
				if v.safety {
					t.Error(v.text)
				}
			}
		})
	}
}

// simulateLostVote simulates a front end that restarts without its state after it has
// voted for a lease. No other running member has a record of the lease. It returns the
// decisions on requests before and after the restart.
func simulateLostVote(t *testing.T) (f *fleet, before, after Decision) {
	t.Helper()
	f = newFleet(5, 3, false, Options{})
	f.Run(10_000)
	request := AcquireRequest{Key: testKey(1), Fingerprint: 1}
	f.setPartition(0, 0, 1)
	before = f.request(0, request, 2500, 3000)
	f.kill(0) // while the load runs
	f.kill(1)
	f.start(1)
	f.setPartition(0, 0, 0)
	f.Run(10_000)
	after = f.request(2, request, 2500, 3000)
	return f, before, after
}

// TestNoVoteWithoutState checks that a front end that lost its votes does not vote
// again. Otherwise, the lease would be granted twice.
func TestNoVoteWithoutState(t *testing.T) {
	f, before, after := simulateLostVote(t)
	wasGranted := func(d Decision) bool { return d.RequestID != 0 && d.Kind == Granted }
	if wasGranted(before) && wasGranted(after) && f.managers[1].CanVote() {
		t.Errorf("the lease is granted twice: %+v, %+v", before, after)
	}
}

// TestNoGrantAfterLostVote checks the run of simulateLostVote in detail: the first
// request is granted, the second request is decided but not granted, and the front end
// that lost its votes does not vote.
func TestNoGrantAfterLostVote(t *testing.T) {
	f, before, after := simulateLostVote(t)
	if before.RequestID != 1 || before.Kind != Granted {
		t.Fatalf("before the restart: %+v, want a grant", before)
	}
	if after.RequestID != 2 || after.Kind == Granted {
		t.Errorf("after the restart: %+v, want a decision that grants nothing", after)
	}
	if f.managers[1].CanVote() {
		t.Error("a front end without state votes")
	}
}

// TestDelayedProposal checks that a recovered acceptor keeps the promises of its previous
// process. The acceptor promises a round to one proposer and restarts without its state.
// Its new vote grants the lease to another proposer. Then the first proposer's proposal,
// which was delayed, arrives. The chosen value must not be overridden: otherwise the
// first proposer would regard the lease as its own, granted unnoticed.
func TestDelayedProposal(t *testing.T) {
	f := newFleet(8, 5, false, Options{})
	f.Run(10_000)
	request := AcquireRequest{Key: testKey(1), Fingerprint: 1}
	var delayed [][]byte
	f.managers[0].recordOf(testKey(1)).maxOwnBallot = 5 // its ballots are above those of others
	f.intercept = func(from, to int, msg []byte) bool {
		if m, _ := decode(msg); from == 0 && m.verb == verbAccept {
			delayed = append(delayed, msg)
			return true
		}
		return from == 0 && to > 2 // only front ends 1 and 2 promise
	}
	f.request(0, request, 400, 500)
	f.setPartition(1, 0, 0, 0, 0)
	f.kill(1)
	f.start(1)
	f.Run(10_000)
	if !f.managers[1].CanVote() || len(delayed) == 0 {
		t.Fatalf("front end 1 votes: %v; %d proposals are delayed", f.managers[1].CanVote(), len(delayed))
	}
	f.intercept = func(from, to int, _ []byte) bool { return from == 2 || to == 2 } // 2 has promised too
	if d := f.request(3, request, 2000, 2100); d.RequestID == 0 || d.Kind != Granted {
		t.Fatalf("request to front end 3: %+v, want a grant", d)
	}
	f.intercept = nil
	for _, to := range []int{1, 2, 3, 4} {
		f.apply(to, MessageReceived{Peer{Number: 0}, delayed[0]})
	}
	f.setPartition(0, 0, 0, 0, 0)
	f.Run(4000)
	if d := f.request(0, request, 2000, 2100); d.RequestID != 0 && d.Kind == Granted {
		t.Error("a lease that is held is granted again")
	}
}
