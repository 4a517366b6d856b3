package lease

import (
	"math"
	"math/rand/v2"
	"slices"

	"dewhill/internal/antientropy"
)

// Key is the hash of a load's idempotency key.
type Key [16]byte

// Manager is the state machine with which one front end takes part in granting leases.
// It is not safe for concurrent use.
type Manager struct {
	options     Options
	rng         *rand.Rand
	nowMS       float64
	nextTimerMS float64
	started     bool

	members    members
	records    recordTable
	operations []*operation
	expired    bool      // no request is granted any more
	announcing []*record // outcomes that not all members have acknowledged
	recovery   recovery

	budget        antientropy.SendBudget
	catchUpBudget antientropy.SendBudget // for comparisons if this member, or the other one, catches up
	nextCompareMS float64
	persistToken  uint64
	onPersisted   map[uint64]func() // by token
	effects       Effects
	Counters      Counters
}

// bytesPerSecond is the limit on the average rate of sent bytes, apart from those of
// catch-ups. Messages that must not wait may exceed it.
const bytesPerSecond = 32_768.0

// rngStream separates the random numbers of this package from those of other packages
// that use the same seed.
const rngStream = 0x636c6169

// New returns the manager of a process that has just started. Its effects depend only
// on the options, the seed and the events.
func New(o Options, seed uint64) *Manager {
	m := &Manager{
		options:       o.withDefaults(),
		rng:           rand.New(rand.NewPCG(seed, rngStream)),
		nextTimerMS:   math.Inf(1),
		members:       newMembers(),
		records:       newRecordTable(),
		budget:        antientropy.NewSendBudget(bytesPerSecond),
		catchUpBudget: antientropy.NewSendBudgetWithBurst(catchUpBytesPerSecond, catchUpBurstBytes),
		onPersisted:   map[uint64]func(){},
	}
	m.recovery = newRecovery(m.rng.Uint32() | 1)
	return m
}

// Apply processes one event, which occurred at a time in milliseconds, and returns its
// effects. Time does not go backwards: an earlier time counts as the time of the
// previous event.
func (m *Manager) Apply(nowMS float64, ev Event) *Effects {
	m.effects = Effects{
		Sends:     m.effects.Sends[:0],
		Persists:  m.effects.Persists[:0],
		Decisions: m.effects.Decisions[:0],
	}
	m.nowMS = max(nowMS, m.nowMS)
	m.budget.Refill(m.nowMS)
	m.catchUpBudget.Refill(m.nowMS)
	m.handle(ev)
	if m.started {
		m.runDueActions()
	}
	return &m.effects
}

func (m *Manager) handle(ev Event) {
	switch ev := ev.(type) {
	case Start:
		m.start()
	case TimerFired:
		// Apply calls runDueActions after each event.
	case MessageReceived:
		m.receive(ev)
	case MembersChanged:
		m.members.update(ev)
	case AcquireRequest:
		m.acquire(ev)
	case RequestsExpired:
		m.expireRequests()
	case Released:
		m.handleReleased(ev)
	case Persisted:
		m.handlePersisted(ev.Token)
	}
}

// NextTimerMS returns the time at which TimerFired is due.
func (m *Manager) NextTimerMS() float64 { return m.nextTimerMS }

// CanVote reports whether this front end votes: it has all its earlier votes, or has
// caught up after it lost them.
func (m *Manager) CanVote() bool { return m.recovery.canVote }

// Digest returns a digest of all records. Managers with equal records have equal
// digests.
func (m *Manager) Digest() uint64 { return m.records.tree.Digest() }

// RecordCount returns the number of records.
func (m *Manager) RecordCount() int { return len(m.records.byKey) }

// UptimeMS returns the time from the start of this process to the last event.
func (m *Manager) UptimeMS() float64 { return m.nowMS - m.recovery.startedAtMS }

// CountByState returns the number of records in each State.
func (m *Manager) CountByState() (counts [Ended + 1]int) {
	for _, r := range m.records.byKey {
		counts[r.value.State]++
	}
	return counts
}

func (m *Manager) start() {
	m.started = true
	m.recovery.startedAtMS = m.nowMS
	m.nextCompareMS = m.nowMS
	m.restore()
}

// runDueActions runs all actions that are due and sets the time of the next timer.
func (m *Manager) runDueActions() {
	m.runOperations()
	m.announceOutcomes()
	m.evictExpired()
	if !m.CanVote() {
		m.finishRecoveryIfCaughtUp()
	}
	if m.nowMS >= m.nextCompareMS {
		m.startComparison()
	}
	m.nextTimerMS = m.nextCompareMS
	for _, op := range m.operations {
		m.nextTimerMS = min(m.nextTimerMS, op.nextActionMS, op.endMS(m.options.Times.NoQuorumAfterMS))
	}
	for _, r := range m.announcing {
		m.nextTimerMS = min(m.nextTimerMS, r.announceAtMS)
	}
}

// members is this front end's view of the fleet.
type members struct {
	alive, all   []Peer
	clusterSize  int             // number of members, including this front end
	processIDs   map[Peer]uint64 // process ID in the last message received from a member
	peerStatuses map[Peer]peerStatus
}

// peerStatus is the time of the last message received from a member, and whether the
// member could vote then.
type peerStatus struct {
	receivedAtMS float64
	canVote      bool
}

func newMembers() members {
	return members{clusterSize: 1, processIDs: map[Peer]uint64{}, peerStatuses: map[Peer]peerStatus{}}
}

func (s *members) update(ev MembersChanged) {
	s.alive = slices.Clone(ev.Alive)
	s.all = slices.Clone(ev.All)
	s.clusterSize = ev.Size
}

// majority returns the smallest number of members that is a majority of a cluster.
func majority(clusterSize int) int { return clusterSize/2 + 1 }
