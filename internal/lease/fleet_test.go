package lease

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"dewhill/internal/virtualclock"
)

// fleet simulates front ends that acquire leases, with a lossy network and a virtual
// clock, in one goroutine. Clients attempt each load through random front ends until
// they have a final response.
type fleet struct {
	virtualclock.Clock
	rng           *rand.Rand
	options       Options
	managers      []*Manager // nil: the process is down
	paused        []bool
	deferred      [][]func() // callbacks until a paused process resumes
	partition     []int      // front ends with equal numbers reach one another
	lossRate      float64
	intercept     func(from, to int, msg []byte) bool // true: the message is lost
	disks         []map[string][]byte                 // nil: the front end has no disk
	timers        []*virtualclock.Timer
	waiting       map[uint64]func(Decision) // by request ID
	lastRequestID uint64
	runs          map[Key][]string // names of the attempts that ran a load
	grantMS       []float64        // latencies of grants
}

// maxMessageBytes is the limit that messages of the simulated fleet must not exceed.
const maxMessageBytes = 250

func newFleet(seed uint64, size int, durable bool, o Options) *fleet {
	f := &fleet{
		rng:       rand.New(rand.NewPCG(seed, 2)),
		options:   o,
		managers:  make([]*Manager, size),
		paused:    make([]bool, size),
		deferred:  make([][]func(), size),
		partition: make([]int, size),
		disks:     make([]map[string][]byte, size),
		timers:    make([]*virtualclock.Timer, size),
		waiting:   map[uint64]func(Decision){},
		runs:      map[Key][]string{},
	}
	for i := range size {
		if durable {
			f.disks[i] = map[string][]byte{}
		}
		f.start(i)
	}
	return f
}

// start starts a front end's process if the process is down.
func (f *fleet) start(i int) {
	if f.managers[i] != nil {
		return
	}
	o := f.options
	o.ProcessID = f.rng.Uint64() | 1
	o.Durable = f.disks[i] != nil
	o.Persisted = f.disks[i]
	m := New(o, f.rng.Uint64())
	f.managers[i] = m
	f.timers[i] = virtualclock.NewTimer(&f.Clock, m.NextTimerMS, func() {
		if f.managers[i] != m {
			return
		}
		f.whenRunning(i, func() {
			if f.managers[i] == m {
				f.apply(i, TimerFired{})
			}
		})
	})
	f.updateMembers(i)
	f.apply(i, Start{})
	f.updateAllMembers()
}

func (f *fleet) kill(i int) {
	f.managers[i] = nil
	f.paused[i] = false
	f.deferred[i] = nil
	f.updateAllMembers()
}

func (f *fleet) resume(i int) {
	f.paused[i] = false
	deferred := f.deferred[i]
	f.deferred[i] = nil
	for _, callback := range deferred {
		callback()
	}
}

// setPartition puts each front end on a side of a partition.
func (f *fleet) setPartition(sides ...int) {
	f.partition = sides
}

// updateAllMembers updates the fleet view of each front end 0.5 to 3.5 seconds late.
// Until then, the views are outdated.
func (f *fleet) updateAllMembers() {
	f.After(500+3000*f.rng.Float64(), func() {
		for i := range f.managers {
			f.updateMembers(i)
		}
	})
}

func (f *fleet) updateMembers(i int) {
	if f.managers[i] == nil || f.paused[i] {
		return
	}
	view := MembersChanged{Size: len(f.managers)}
	for j := range f.managers {
		if j == i {
			continue
		}
		view.All = append(view.All, Peer{Number: j})
		if f.managers[j] != nil && f.partition[i] == f.partition[j] && !f.paused[j] {
			view.Alive = append(view.Alive, Peer{Number: j})
		}
	}
	f.apply(i, view)
}

// apply passes an event to a front end and carries out its effects.
func (f *fleet) apply(i int, ev Event) {
	effects := f.managers[i].Apply(f.NowMS, ev)
	decisions := slices.Clone(effects.Decisions)
	for _, s := range effects.Sends {
		f.transmit(i, s)
	}
	for _, p := range slices.Clone(effects.Persists) {
		f.persist(i, p)
	}
	f.timers[i].Reset()
	for _, d := range decisions {
		if decided := f.waiting[d.RequestID]; decided != nil {
			delete(f.waiting, d.RequestID)
			decided(d)
		}
	}
}

// transmit delivers a message with a delay, possibly twice, out of order or not at all.
func (f *fleet) transmit(from int, s Send) {
	if len(s.Message) > maxMessageBytes {
		panic(fmt.Sprintf("message of %d bytes exceeds the limit of %d", len(s.Message), maxMessageBytes))
	}
	to := s.To.Number
	copies := 1
	if f.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		if f.partition[to] != f.partition[from] || f.rng.Float64() < f.lossRate || f.intercept != nil && f.intercept(from, to, s.Message) {
			continue
		}
		latencyMS := 1.7 + 29*f.rng.Float64()
		if f.rng.IntN(50) == 0 {
			latencyMS += 3000 * f.rng.Float64() // longer than a round
		}
		f.After(latencyMS, func() {
			f.whenRunning(to, func() { f.apply(to, MessageReceived{Peer{Number: from}, s.Message}) })
		})
	}
}

// persist writes a record to a front end's disk, unless the front end is killed before
// the write completes.
func (f *fleet) persist(i int, p Persist) {
	const diskLatencyMS = 5
	m := f.managers[i]
	f.After(diskLatencyMS, func() {
		if f.managers[i] != m {
			return
		}
		if p.Record == nil {
			delete(f.disks[i], p.Key)
		} else {
			f.disks[i][p.Key] = p.Record
		}
		f.whenRunning(i, func() { f.apply(i, Persisted{p.Token}) })
	})
}

// whenRunning calls a function in a front end's process: at once, or when the process
// resumes if it is paused, or never if it is down.
func (f *fleet) whenRunning(i int, callback func()) {
	switch {
	case f.managers[i] == nil:
	case f.paused[i]:
		f.deferred[i] = append(f.deferred[i], callback)
	default:
		callback()
	}
}

// request requests a lease from a front end and runs the fleet for runMS. If there is
// no decision by then, the returned decision's RequestID is 0.
func (f *fleet) request(i int, request AcquireRequest, timeoutMS, runMS float64) (decision Decision) {
	f.lastRequestID++
	f.waiting[f.lastRequestID] = func(got Decision) { decision = got }
	request.RequestID = f.lastRequestID
	request.DeadlineMS = f.NowMS + timeoutMS
	f.apply(i, request)
	f.Run(runMS)
	return decision
}

// client is a client that attempts one load until it has a final response.
type client struct {
	key         Key
	fingerprint uint64
	marksRetry  bool // marks its retries as retries
	attempts    int
	rejected    int // number of NoQuorum decisions
	response    string
}

// acquisition is an input of the linearizability checker.
type acquisition struct {
	key     Key
	attempt string
	kind    acquisitionKind
}

// acquisitionKind is what an attempt does to the register of a key.
type acquisitionKind int

const (
	acquire      acquisitionKind = iota // gets the lease if no attempt has it
	release                             // gives up the lease if the attempt has it
	maybeAcquire                        // may get the lease for a time, unnoticed
)

// appendPending adds an operation that takes effect at any time after the call, or
// never.
func appendPending(history *[]porcupine.Operation, in acquisition, calledMS float64) {
	*history = append(*history, porcupine.Operation{
		ClientId: len(*history), Input: in, Output: true, Call: microseconds(calledMS), Return: 1 << 60,
	})
}

func microseconds(ms float64) int64 { return int64(ms * 1000) }

// attempt is one attempt of a client through one front end.
type attempt struct {
	f         *fleet
	client    *client
	history   *[]porcupine.Operation // nil: no history is recorded
	untilMS   float64                // after which the client gives up
	frontEnd  int
	manager   *Manager
	name      string
	calledMS  float64
	responded bool
}

// attempt makes a client attempt its load through a random front end. A granted load
// runs for a random time, its engine may drop it before it runs, and its front end may
// stop at any point.
func (f *fleet) attempt(c *client, history *[]porcupine.Operation, untilMS float64) {
	i := f.rng.IntN(len(f.managers))
	c.attempts++
	a := &attempt{f: f, client: c, history: history, untilMS: untilMS, frontEnd: i, manager: f.managers[i], calledMS: f.NowMS}
	if f.managers[i] == nil || f.paused[i] {
		a.scheduleRetry()
		return
	}
	f.lastRequestID++
	a.name = fmt.Sprintf("n%d#%d", i, f.lastRequestID)
	f.After(4000, func() { a.respond("") })
	f.waiting[f.lastRequestID] = a.decided
	f.apply(i, AcquireRequest{
		Key:         c.key,
		Fingerprint: c.fingerprint,
		RequestID:   f.lastRequestID,
		DeadlineMS:  f.NowMS + 3000,
		IsRetry:     c.marksRetry && c.attempts > 1,
	})
}

// scheduleRetry schedules the client's next attempt, unless it has a response or gives
// up.
func (a *attempt) scheduleRetry() {
	if a.f.NowMS < a.untilMS && a.client.response == "" {
		a.f.After(20+400*a.f.rng.Float64(), func() { a.f.attempt(a.client, a.history, a.untilMS) })
	}
}

// respond ends the attempt with a response, or with "" if there is none. Only the first
// call has an effect.
func (a *attempt) respond(text string) {
	if a.responded {
		return
	}
	a.responded = true
	if text != "" && a.client.response == "" {
		a.client.response = text
	}
	a.scheduleRetry()
}

func (a *attempt) decided(d Decision) {
	a.record(d.Kind)
	switch d.Kind {
	case Granted:
		a.f.grantMS = append(a.f.grantMS, d.ElapsedMS)
		// A front end that is paused after a grant runs the load when it resumes.
		a.f.After(30*a.f.rng.Float64(), func() { a.f.whenRunning(a.frontEnd, a.run) })
	case AlreadyCompleted:
		a.respond(string(d.Outcome))
	case PossiblyRan:
		a.respond("may have run")
	case NoQuorum:
		a.client.rejected++
		a.respond("")
	case Forgotten:
		a.respond("unknown")
	case Conflict, RunningElsewhere:
		a.respond("")
	}
}

// record adds a decision to the history.
func (a *attempt) record(kind DecisionKind) {
	if a.history == nil {
		return
	}
	switch kind {
	case Granted, RunningElsewhere, AlreadyCompleted, PossiblyRan:
		*a.history = append(*a.history, porcupine.Operation{
			ClientId: len(*a.history),
			Input:    acquisition{a.client.key, a.name, acquire},
			Output:   kind == Granted,
			Call:     microseconds(a.calledMS),
			Return:   microseconds(a.f.NowMS),
		})
	case NoQuorum:
		appendPending(a.history, acquisition{a.client.key, a.name, maybeAcquire}, a.calledMS)
		appendPending(a.history, acquisition{a.client.key, a.name, release}, a.calledMS)
	case Conflict, Forgotten:
	}
}

// run runs a granted load.
func (a *attempt) run() {
	f, i := a.f, a.frontEnd
	if f.managers[i] != a.manager {
		return
	}
	if f.rng.IntN(10) == 0 {
		f.apply(i, Released{Key: a.client.key, Result: NeverRan})
		if a.history != nil { // another attempt may be granted the lease
			appendPending(a.history, acquisition{a.client.key, a.name, release}, a.calledMS)
		}
		a.respond("")
		return
	}
	f.runs[a.client.key] = append(f.runs[a.client.key], a.name)
	f.After(300*f.rng.Float64(), func() { f.whenRunning(i, a.complete) })
}

func (a *attempt) complete() {
	if a.f.managers[a.frontEnd] != a.manager {
		return
	}
	outcome := "of " + a.name
	a.f.apply(a.frontEnd, Released{Key: a.client.key, Result: Completed, Outcome: []byte(outcome)})
	a.respond(outcome)
}

// testKey returns a distinct key for each number.
func testKey(n int) (key Key) {
	binary.BigEndian.PutUint64(key[:], uint64(n)*0x9e3779b97f4a7c15)
	binary.BigEndian.PutUint64(key[8:], uint64(n)+1)
	return key
}
