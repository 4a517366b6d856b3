package replication

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"dewhill/internal/virtualclock"
)

// fleet simulates replicas with a lossy network and a virtual clock, in one goroutine.
// Replicas are notified of changes of the live members 3 s late, as by a membership protocol.
type fleet struct {
	virtualclock.Clock
	rng       *rand.Rand
	options   Options
	replicas  []*Replica // nil: the process is down
	partition []int      // replicas with equal numbers can reach one another
	lossRate  float64
	timers    []*virtualclock.Timer
	disks     []map[string][]byte // nil: the front end has no disk
	diskMS    float64             // duration of a write to disk
	results   []WriteResult
	messages  int
	bytes     int
}

func newFleet(seed uint64, size int, o Options) *fleet {
	f := &fleet{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		options:   o,
		replicas:  make([]*Replica, size),
		partition: make([]int, size),
		timers:    make([]*virtualclock.Timer, size),
		disks:     make([]map[string][]byte, size),
	}
	for i := range size {
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	o := f.options
	o.Name = fmt.Sprint("n", i)
	o.ProcessID = f.rng.Uint64() | 1
	o.Durable = f.disks[i] != nil
	o.Persisted = f.disks[i]
	r := New(o, f.rng.Uint64())
	f.replicas[i] = r
	f.timers[i] = virtualclock.NewTimer(&f.Clock, r.NextTimerMS, func() {
		if f.replicas[i] == r {
			f.apply(i, TimerFired{})
		}
	})
	f.updateMembers(i)
	f.apply(i, Start{})
}

func (f *fleet) kill(i int) { f.replicas[i] = nil }

// updateMembers notifies a replica of the live members.
func (f *fleet) updateMembers(i int) {
	view := MembersChanged{Size: len(f.replicas)}
	for j := range f.replicas {
		if j == i {
			continue
		}
		view.All = append(view.All, Peer{Number: j})
		if f.replicas[j] != nil && f.partition[j] == f.partition[i] {
			view.Alive = append(view.Alive, Peer{Number: j})
		}
	}
	f.apply(i, view)
}

// updateAllMembers notifies all replicas of the live members, after the delay of failure
// detection.
func (f *fleet) updateAllMembers() {
	const detectionMS = 3000
	f.After(detectionMS, func() {
		for i := range f.replicas {
			if f.replicas[i] != nil {
				f.updateMembers(i)
			}
		}
	})
}

// setPartition assigns each replica to a side of a partition.
func (f *fleet) setPartition(side func(i int) int) {
	for i := range f.partition {
		f.partition[i] = side(i)
	}
	f.updateAllMembers()
}

func (f *fleet) heal() { f.setPartition(func(int) int { return 0 }) }

// apply passes an event to a replica and carries out its effects.
func (f *fleet) apply(i int, ev Event) {
	r := f.replicas[i]
	effects := r.Apply(f.NowMS, ev)
	f.results = append(f.results, effects.Results...)
	for _, s := range effects.Sends {
		f.transmit(i, s)
	}
	for _, p := range slices.Clone(effects.Persists) {
		f.After(f.diskMS, func() {
			if f.replicas[i] != r { // the process was killed before the write
				return
			}
			f.disks[i][p.Key] = p.Record
			f.apply(i, Persisted{p.Token})
		})
	}
	f.timers[i].Reset()
}

// transmit delivers a message after a random delay, so that messages are reordered, or
// loses it.
func (f *fleet) transmit(from int, s Send) {
	f.messages++
	f.bytes += len(s.Message)
	if len(s.Message) > maxMessageBytes {
		panic(fmt.Sprintf("message of %d bytes, limit %d", len(s.Message), maxMessageBytes))
	}
	to := s.To.Number
	if f.partition[to] != f.partition[from] || f.rng.Float64() < f.lossRate {
		return
	}
	f.After(1.7+29*f.rng.Float64(), func() {
		if f.replicas[to] != nil && f.partition[to] == f.partition[from] {
			f.apply(to, MessageReceived{Peer{Number: from}, s.Message})
		}
	})
}

// runUntilEqual runs the simulation until all replicas have the same digest. It returns the
// time that this took, or false if the replicas still differ at the limit.
func (f *fleet) runUntilEqual(limitMS float64) (tookMS float64, ok bool) {
	for startMS := f.NowMS; f.NowMS < startMS+limitMS; f.Run(50) {
		digests := map[uint64]bool{}
		for _, r := range f.replicas {
			if r != nil {
				digests[r.Digest()] = true
			}
		}
		if len(digests) == 1 {
			return f.NowMS - startMS, true
		}
	}
	return 0, false
}

// write passes an operator's override of an engine to a front end.
func (f *fleet) write(i int, engine string, disabled bool, required int) {
	f.apply(i, Write{
		Key:              Key{Engine, engine},
		Disabled:         disabled,
		RequiredReplicas: required,
		WallClockMS:      1.7e12 + f.NowMS,
		RequestID:        uint64(len(f.results)),
	})
}
