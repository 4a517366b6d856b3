package membership

import (
	"math"
	"math/rand/v2"

	"dewhill/internal/antientropy"
)

// Counters count events since the start of the process.
type Counters struct {
	Probes            int `json:"Probes"`
	FailedProbes      int `json:"Failed"`
	Suspicions        int `json:"Suspicions"`
	Refutations       int `json:"Refutations"`
	FalseSuspicions   int `json:"FalseSuspicions"` // suspicions of members that were alive
	Deaths            int `json:"Deaths"`          // declared by this front end
	DatagramsSent     int `json:"Sent"`
	DatagramsReceived int `json:"Received"`
	BytesSent         int `json:"BytesSent"`
	BytesReceived     int `json:"BytesReceived"`
	Malformed         int `json:"Spoilt"`
	OtherList         int `json:"OtherList"` // datagrams from members with another configured list
	Pauses            int `json:"Pauses"`
	Tombstoned        int `json:"Tombstoned"` // rejected updates about forgotten members
}

// View is one front end's view of the fleet.
type View struct {
	options     Options
	rng         *rand.Rand
	nowMS       float64
	nextTimerMS float64
	started     bool
	startedAtMS float64
	leaving     bool
	bootID      uint32 // distinguishes this process from others with the same name

	// Members.
	self         *entry
	ring         []*entry // listed members by number, then unlisted ones by name
	byName       map[string]*entry
	live         []*entry // alive or suspect members, without self
	suspects     []*entry
	stateCounts  [Left + 1]int
	rangeDigests [rangeCount]uint64
	tombstones   tombstones

	detector        failureDetector
	health          localHealth
	queue           gossipQueue
	recentSenders   recentSenders
	budget          sendBudget
	nextReconnectMS float64

	// Convergence.
	digestChangedAtMS float64
	agreements        []agreement // members with this front end's digest

	effects  Effects
	Counters Counters
}

// Constants of the random sequence. A change of them changes the results of
// simulations with the same seed.
const (
	rngStream        = 0x6d656d62
	maxFirstProbeSeq = 1 << 13
)

// New returns the view of a front end that has just started, in which all listed
// members are unknown. The seed determines all random choices.
func New(options Options, seed uint64) *View {
	options = options.withDefaults()
	v := &View{
		options:     options,
		rng:         rand.New(rand.NewPCG(seed, rngStream)),
		byName:      map[string]*entry{},
		tombstones:  newTombstones(),
		health:      localHealth{fixed: options.FixedTimeouts},
		detector:    failureDetector{sweepWidth: 1},
		budget:      sendBudget{tokens: maxBurstDatagrams},
		queue:       gossipQueue{flushAtMS: math.Inf(1)},
		nextTimerMS: math.Inf(1),
	}
	v.bootID = v.rng.Uint32() | 1
	// Sequence numbers start at a random number, so that an ack to the previous process
	// is not mistaken for an ack to this process.
	v.detector.lastProbeSeq = v.rng.Uint32N(maxFirstProbeSeq)
	for i, addr := range options.Peers {
		member := Member{Number: i, Addr: addr}
		v.ring = append(v.ring, &entry{Member: member, key: antientropy.Mix(uint64(i) + 1), liveIndex: -1, ringIndex: i})
	}
	v.stateCounts[Unknown] = len(v.ring)
	if v.isListed(options.Self) {
		v.self = v.ring[options.Self]
		v.self.Name = options.Name
	} else {
		v.self = v.insert(options.Name, options.Addr)
	}
	return v
}

// isListed reports whether a number is an index in the configured list.
func (v *View) isListed(number int) bool {
	return number >= 0 && number < len(v.options.Peers)
}

// Roster returns the other members that have not left.
func (v *View) Roster() Roster {
	roster := Roster{Size: v.Size()}
	for _, e := range v.ring {
		if e == v.self || e.State == Left {
			continue
		}
		peer := Peer{Number: e.Number}
		if e.Number < 0 {
			peer.Addr = e.Addr
		}
		roster.All = append(roster.All, peer)
		if e.isLive() {
			roster.Alive = append(roster.Alive, peer)
		}
	}
	return roster
}

// Size returns the configured fleet size or, without one, the number of members in
// the view.
func (v *View) Size() int {
	if v.options.Size > 0 {
		return v.options.Size
	}
	return len(v.ring)
}

// HasQuorum reports whether more than half of the fleet, including this front end,
// is alive or suspect in this view.
func (v *View) HasQuorum() bool { return 2*(len(v.live)+1) > v.Size() }

// Incarnation returns this front end's own incarnation.
func (v *View) Incarnation() uint32 { return v.self.Incarnation }

// Members returns all members: the listed ones by number, then the unlisted ones by
// name.
func (v *View) Members() []Member {
	members := make([]Member, len(v.ring))
	for i, e := range v.ring {
		members[i] = e.Member
	}
	return members
}

// State returns the state of a listed member; Unknown for any other number.
func (v *View) State(number int) State {
	if !v.isListed(number) {
		return Unknown
	}
	return v.ring[number].State
}

// Health returns the local health score. 0 is healthy; time-outs are multiplied by
// the score + 1.
func (v *View) Health() int { return v.health.score }
