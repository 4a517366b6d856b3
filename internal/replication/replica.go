package replication

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"dewhill/internal/antientropy"
)

// Replica is one front end's copy of the overrides. It is not safe for concurrent use.
type Replica struct {
	options     Options
	rng         *rand.Rand
	nowMS       float64
	nextTimerMS float64
	started     bool

	registers     map[Key]*register
	tree          *antientropy.Tree[*register]
	lastTimestamp uint64 // latest timestamp of all writes made or received

	alive, all  []Peer
	clusterSize int // number of members, including this front end

	pending      []*pendingWrite
	lastSequence uint32

	persistToken uint64
	onPersisted  map[uint64][]func() // by token

	catchUp       catchUp
	nextCompareMS float64
	compareFirst  []Peer // members to compare with before random ones
	budget        antientropy.SendBudget
	effects       Effects
	Counters      Counters
}

const (
	// rngStream gives this package other random numbers than packages that use the
	// same seed.
	rngStream = 0x7265706c
	// pauseThresholdMS is the delay of a timer from which on the process is considered to
	// have been paused.
	pauseThresholdMS = 500.0
)

// New returns the replica of a process that has just started. The effects of the replica
// depend only on the options, the seed, and the events with their times.
func New(o Options, seed uint64) *Replica {
	o = o.withDefaults()
	r := &Replica{
		options:       o,
		rng:           rand.New(rand.NewPCG(seed, rngStream)),
		nextTimerMS:   math.Inf(1),
		registers:     map[Key]*register{},
		tree:          antientropy.New[*register](),
		clusterSize:   1,
		onPersisted:   map[uint64][]func(){},
		catchUp:       catchUp{equalPeers: map[Peer]bool{}},
		nextCompareMS: math.Inf(1),
		budget:        antientropy.NewSendBudget(o.Times.BytesPerSecond),
	}
	// Sequence numbers start at a random number, so that acknowledgements of an earlier
	// process's messages do not match.
	r.lastSequence = r.rng.Uint32() >> 8
	return r
}

// Apply processes an event that happened at the given time, in milliseconds, and returns
// its effects. A time before that of the previous event counts as the time of that event.
func (r *Replica) Apply(nowMS float64, ev Event) *Effects {
	r.effects = Effects{
		Sends:    r.effects.Sends[:0],
		Changed:  r.effects.Changed[:0],
		Persists: r.effects.Persists[:0],
		Results:  r.effects.Results[:0],
	}
	r.nowMS = max(nowMS, r.nowMS)
	if r.started && r.nowMS-r.nextTimerMS > pauseThresholdMS {
		// The process was paused, and its writes may have been superseded long ago:
		// compare immediately.
		r.Counters.LateTimers++
		r.nextCompareMS = r.nowMS
	}
	r.budget.Refill(r.nowMS)
	r.handle(ev)
	if r.started {
		r.runDue()
	}
	return &r.effects
}

func (r *Replica) handle(ev Event) {
	switch ev := ev.(type) {
	case Start:
		r.start()
	case TimerFired:
		// Apply calls runDue after each event.
	case MessageReceived:
		r.receive(ev)
	case MembersChanged:
		r.updateMembers(ev)
	case Write:
		r.write(ev)
	case Persisted:
		r.persisted(ev.Token)
	}
}

func (r *Replica) start() {
	r.started = true
	r.catchUp.startedAtMS = r.nowMS
	r.nextCompareMS = r.nowMS
	r.restore()
}

// updateMembers replaces the view of the fleet. Members that have become alive are compared
// with first: one of the two copies may lack writes that were made in the meantime.
func (r *Replica) updateMembers(ev MembersChanged) {
	for _, peer := range ev.Alive {
		if slices.Contains(r.alive, peer) || slices.Contains(r.compareFirst, peer) {
			continue
		}
		r.compareFirst = append(r.compareFirst, peer)
		r.nextCompareMS = min(r.nextCompareMS, r.nowMS+recompareDelayMS*r.rng.Float64())
	}
	r.alive = slices.Clone(ev.Alive)
	r.all = slices.Clone(ev.All)
	r.clusterSize = ev.Size
}

// runDue performs the actions that are due, and sets the time of the next timer.
func (r *Replica) runDue() {
	r.runPendingWrites()
	if !r.catchUp.ready {
		r.checkCaughtUp()
	}
	if r.nowMS >= r.nextCompareMS {
		r.compareCopies()
	}
	r.nextTimerMS = r.nextCompareMS
	if !r.catchUp.ready {
		r.nextTimerMS = min(r.nextTimerMS, r.catchUp.startedAtMS+r.options.Times.CatchUpTimeoutMS)
	}
	for _, p := range r.pending {
		r.nextTimerMS = min(r.nextTimerMS, p.nextSendMS)
		if p.unanswered {
			r.nextTimerMS = min(r.nextTimerMS, p.startedAtMS+r.options.Times.WriteTimeoutMS)
		}
	}
}

// NextTimerMS returns the time at which TimerFired is due.
func (r *Replica) NextTimerMS() float64 { return r.nextTimerMS }

// Digest returns a digest of all writes in the registers. Replicas with the same writes
// have equal digests.
func (r *Replica) Digest() uint64 { return r.tree.Digest() }

// Ready reports whether this replica has caught up with the others.
func (r *Replica) Ready() bool { return r.catchUp.ready }

// PendingAcks returns the number of acknowledgements that this front end has not received,
// over all its pending writes and all members.
func (r *Replica) PendingAcks() (count int) {
	for _, p := range r.pending {
		for _, peer := range r.all {
			if !p.acknowledged[peer] {
				count++
			}
		}
	}
	return count
}

// Register is the state of a key in a replica.
type Register struct {
	Key       Key
	Current   Override   // the write in effect
	Conflicts []Override // concurrent writes with another value, ordered by timestamp
}

// Registers returns the registers that have writes, ordered by kind and ID.
func (r *Replica) Registers() (list []Register) {
	for _, reg := range slices.SortedFunc(maps.Values(r.registers), compareByKey) {
		current, conflicts := reg.resolve()
		if current == nil {
			continue
		}
		listed := Register{Key: reg.key, Current: *current}
		for _, conflict := range conflicts {
			listed.Conflicts = append(listed.Conflicts, *conflict)
		}
		slices.SortFunc(listed.Conflicts, func(a, b Override) int { return cmp.Compare(a.Timestamp, b.Timestamp) })
		list = append(list, listed)
	}
	return list
}

// IsDisabled reports whether an engine or front end is disabled.
func (r *Replica) IsDisabled(key Key) bool {
	reg := r.registers[key]
	if reg == nil {
		return false
	}
	current, _ := reg.resolve()
	return current != nil && current.Disabled
}

// registerOf returns the register of a key, and creates it if it does not exist.
func (r *Replica) registerOf(key Key) *register {
	reg := r.registers[key]
	if reg == nil {
		reg = &register{key: key, hash: key.hash()}
		r.registers[key] = reg
		r.tree.Insert(reg)
	}
	return reg
}

// merge merges a write into its register, and reports whether the register has changed.
func (r *Replica) merge(key Key, w *Override) (reg *register, changed bool) {
	reg = r.registerOf(key)
	oldSum := reg.Sum()
	changed = reg.merge(w)
	if changed {
		r.tree.Update(reg, oldSum)
	}
	return reg, changed
}

// reportChange reports the current state of a key, if the key has a write.
func (r *Replica) reportChange(key Key) {
	current, _ := r.registerOf(key).resolve()
	if current == nil {
		return
	}
	r.effects.Changed = append(r.effects.Changed, OverrideChanged{
		Key:      key,
		Disabled: current.Disabled,
		Origin:   current.Origin,
	})
}
