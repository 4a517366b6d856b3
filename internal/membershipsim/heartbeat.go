package membershipsim

import (
	"math/rand/v2"

	"dewhill/internal/timerheap"
)

// Constants of the baseline: each process sends a heartbeat per second to every other
// process, and declares a process dead after three missing heartbeats.
const (
	heartbeatRNGStream  = 0x616c6c
	heartbeatIntervalMS = 1000.0
	heartbeatTimeoutMS  = 3500.0
	heartbeatWarmUpMS   = 5000
	heartbeatCrashMS    = 8000.0
	heartbeatEndMS      = 16_000.0
)

// HeartbeatResults are the figures of a run of all-to-all heartbeats.
type HeartbeatResults struct {
	CrashDetectionMS   []float64 // time until each running process detected the crash
	FalseDeaths        int       // declarations of running processes as dead
	DatagramsPerSecond float64   // sent by each process
}

// heartbeatFleet is a fleet in which every process sends heartbeats to every other
// process.
type heartbeatFleet struct {
	rng            *rand.Rand
	lossRate       float64
	victim         int         // the process that crashes
	lastReceivedMS [][]float64 // by receiver and sender
	dead           [][]bool    // by observer and member
	queue          timerheap.Queue[event]
	sent           int // datagrams
	results        HeartbeatResults
}

// RunHeartbeats simulates a fleet with all-to-all heartbeats in which one process
// crashes.
func RunHeartbeats(size int, seed uint64, lossRate float64) HeartbeatResults {
	f := &heartbeatFleet{rng: rand.New(rand.NewPCG(seed, heartbeatRNGStream)), lossRate: lossRate}
	for i := range size {
		f.lastReceivedMS = append(f.lastReceivedMS, make([]float64, size))
		f.dead = append(f.dead, make([]bool, size))
		f.queue.Add(heartbeatIntervalMS*f.rng.Float64(), event{kind: timerEvent, to: i})
	}
	f.victim = f.rng.IntN(size)
	for f.queue.NextDueMS() < heartbeatEndMS {
		nowMS := f.queue.NextDueMS()
		e, _ := f.queue.PopDue(nowMS)
		switch {
		case e.kind == datagramEvent:
			f.lastReceivedMS[e.to][e.from] = nowMS
		case e.to != f.victim || nowMS < heartbeatCrashMS:
			f.sendHeartbeats(e.to, nowMS)
		}
	}
	f.results.DatagramsPerSecond = float64(f.sent) / (heartbeatEndMS / 1000) / float64(size)
	return f.results
}

// sendHeartbeats sends a process's heartbeats and checks those of the others.
func (f *heartbeatFleet) sendHeartbeats(process int, nowMS float64) {
	for other := range f.dead {
		if other == process {
			continue
		}
		f.sent++
		f.checkTimeout(process, other, nowMS)
		if f.rng.Float64() >= f.lossRate {
			delayMS := defaultMinDelayMS + (defaultMaxDelayMS-defaultMinDelayMS)*f.rng.Float64()
			f.queue.Add(nowMS+delayMS, event{kind: datagramEvent, to: other, from: process})
		}
	}
	f.queue.Add(nowMS+heartbeatIntervalMS, event{kind: timerEvent, to: process})
}

// checkTimeout declares a member dead if its heartbeats have timed out at an observer.
func (f *heartbeatFleet) checkTimeout(observer, member int, nowMS float64) {
	timedOut := nowMS-f.lastReceivedMS[observer][member] > heartbeatTimeoutMS
	if nowMS <= heartbeatWarmUpMS || !timedOut || f.dead[observer][member] {
		return
	}
	f.dead[observer][member] = true
	if member == f.victim && nowMS > heartbeatCrashMS {
		f.results.CrashDetectionMS = append(f.results.CrashDetectionMS, nowMS-heartbeatCrashMS)
	} else {
		f.results.FalseDeaths++
	}
}
