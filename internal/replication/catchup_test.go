package replication

import (
	"fmt"
	"testing"
)

// restartResult is the result of a simulated restart.
type restartResult struct {
	acknowledged bool     // a majority has acknowledged the write
	readyTooSoon int      // observations of a replica that was ready without the acknowledged write
	failures     []string // replicas that at the end are not ready or do not have the write
}

// simulateRestart simulates a fleet in which a minority is down while an engine is
// disabled. Then the minority starts at the same time. In a fleet with disks, all front ends
// crash first, and all of them start at the same time.
func simulateRestart(seed uint64, durable bool) (result restartResult) {
	const (
		size     = 9
		majority = 5
	)
	key := Key{Engine, "s-1"}
	f := newFleet(seed, size, Options{})
	f.diskMS = 20
	if durable {
		for i := range f.replicas {
			f.kill(i)
			f.disks[i] = map[string][]byte{}
			f.start(i)
		}
	}
	f.Run(6000)
	for _, i := range f.rng.Perm(size)[:size-majority] {
		f.kill(i)
	}
	f.updateAllMembers()
	f.Run(4000)
	writer := 0
	for f.replicas[writer] == nil {
		writer++
	}
	f.lossRate = 0.2
	f.write(writer, key.ID, true, majority)
	f.Run(3500)
	result.acknowledged = len(f.results) == 1 && f.results[0].OK
	if durable { // all front ends crash
		for i := range f.replicas {
			f.kill(i)
		}
	}
	for i := range f.replicas {
		if f.replicas[i] == nil {
			f.start(i)
		}
	}
	f.updateAllMembers()
	for range 400 {
		f.Run(10)
		for _, r := range f.replicas {
			if r.Ready() && !r.IsDisabled(key) && r.Counters.CatchUpTimeouts == 0 {
				result.readyTooSoon++
			}
		}
	}
	f.Run(10_000)
	for i, r := range f.replicas {
		if !r.Ready() || !r.IsDisabled(key) {
			failure := fmt.Sprintf("front end %d: ready %v, registers %+v", i, r.Ready(), r.Registers())
			result.failures = append(result.failures, failure)
		}
	}
	return result
}

// TestReadyWithAcknowledgedWrites checks that each restarted replica has received a write
// that a majority acknowledged before the replica is ready, even if all restarted replicas
// start at the same time and only a minority kept running. In a fleet with disks,
// acknowledged writes survive a crash of all front ends.
func TestReadyWithAcknowledgedWrites(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		for _, durable := range []bool{false, true} {
			result := simulateRestart(seed, durable)
			if !result.acknowledged {
				t.Fatalf("seed %d, durable %v: the write was not acknowledged", seed, durable)
			}
			for _, failure := range result.failures {
				t.Errorf("seed %d, durable %v: %s", seed, durable, failure)
			}
			if result.readyTooSoon > 0 {
				t.Errorf("seed %d, durable %v: a replica was ready without an acknowledged write", seed, durable)
			}
		}
	}
}

// TestNotReadyTooSoon checks with a single seed only that no replica is ready without an
// acknowledged write. It passes if the simulation fails in any other way, so that the mutant
// without catch-up is found for the right reason.
func TestNotReadyTooSoon(t *testing.T) {
	result := simulateRestart(1, false)
	if result.acknowledged && len(result.failures) == 0 && result.readyTooSoon > 0 {
		t.Errorf("a replica was ready without an acknowledged write in %d observations", result.readyTooSoon)
	}
}

// TestCostOfCatchingUp checks the number of bytes sent while a restarted replica catches
// up, and the rate of bytes sent while all replicas are equal.
func TestCostOfCatchingUp(t *testing.T) {
	const (
		size              = 16
		idleMS            = 30_000
		maxIdleRate       = 50 // bytes per second and replica
		maxCatchUpCopies  = 8  // bytes sent during a catch-up, as a multiple of the encoded registers
		catchUpDeadlineMS = 10_000
	)
	f := newFleet(1, size, Options{})
	f.Run(6000)
	for k := range 400 {
		f.write(k%size, fmt.Sprintf("s-%04x", k), k%2 == 0, 1)
		f.Run(20)
	}
	if _, ok := f.runUntilEqual(20_000); !ok {
		t.Fatal("the replicas still differ after 20 s")
	}
	f.Run(20_000)
	bytesBefore := f.bytes
	f.Run(idleMS)
	idleRate := float64(f.bytes-bytesBefore) / (idleMS / 1000) / size
	f.kill(3)
	f.updateAllMembers()
	f.Run(4000)
	for k := range 200 {
		f.write((4+k%12)%size, fmt.Sprintf("s-%04x", k), k%2 != 0, 1)
		f.Run(20)
	}
	f.Run(30_000)
	copyBytes := 0
	for _, reg := range f.replicas[0].Registers() {
		copyBytes += len(appendEntry(nil, reg.Key, &reg.Current))
	}
	f.start(3)
	messagesBefore := f.messages
	bytesBefore = f.bytes
	startMS := f.NowMS
	r := f.replicas[3]
	for !r.Ready() && f.NowMS < startMS+catchUpDeadlineMS {
		f.Run(5)
	}
	catchUpBytes := f.bytes - bytesBefore
	t.Logf("idle: %.1f bytes/s per replica; catch-up of 400 writes: %.0f ms, %d datagrams, %d bytes (encoded registers: %d)",
		idleRate, f.NowMS-startMS, f.messages-messagesBefore, catchUpBytes, copyBytes)
	if !r.Ready() || r.Counters.CatchUpTimeouts > 0 || r.Digest() != f.replicas[0].Digest() {
		t.Errorf("the restarted replica has not caught up: %+v", r.Counters)
	}
	if idleRate > maxIdleRate {
		t.Errorf("an idle replica sends %.0f bytes/s, want at most %d", idleRate, maxIdleRate)
	}
	if catchUpBytes > maxCatchUpCopies*copyBytes {
		t.Errorf("the catch-up took %d bytes, want at most %d times %d", catchUpBytes, maxCatchUpCopies, copyBytes)
	}
}
