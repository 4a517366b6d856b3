package subset

import (
	"cmp"
	"math"
	"slices"
)

// Selector selects subsets again and again while the endpoint list changes. It keeps
// what a change does not affect: each gateway's preferred engines, in order. A change
// of a few engines costs a step for each gateway, not one for each pair of a gateway
// and an engine. The zero value is ready; it is not safe for concurrent use.
type Selector struct {
	gatewayCount int
	byID         map[string]*candidate
	candidates   []*candidate
	generation   int       // counts calls of update
	rankings     []ranking // by gateway
	unmatched    []int     // gateways whose subset is not full, in match
}

// candidate is a usable engine.
type candidate struct {
	id         string
	hash       uint64
	generation int        // the last generation whose list had it
	capacity   int        // gateways that it may have
	accepted   []proposal // those that it has, by falling weight
}

// proposal is a gateway that wants an engine, with the weight of the pair.
type proposal struct {
	weight  uint64
	gateway int
}

// ranking is a gateway's preferences by falling weight: every candidate whose weight
// is not under the floor.
type ranking struct {
	preferences []preference
	minWeight   uint64
	next        int // index of the preference that the gateway proposes to next, in match
	matched     int // engines that have accepted the gateway, in match
}

type preference struct {
	weight    uint64
	candidate *candidate
}

const (
	initialRankingLength = 24 // mean number of preferences that a ranking begins with
	rankingGrowth        = 4  // factor by which a ranking that does not suffice is deepened
)

// Select returns the same as Plan.Select. The plan may differ from that of the call
// before.
func (s *Selector) Select(plan Plan, list []Engine) []Member {
	usable, cores := usableEngines(list)
	gatewayCount, index := plan.participants()
	size := plan.size(gatewayCount, len(usable), cores)
	members := make([]Member, 0, len(usable))
	if size == len(usable) {
		for _, engine := range usable {
			members = append(members, Member{
				EngineID: engine.ID, GatewayCount: max(1, gatewayCount), Selected: true, GatewayIndex: index,
			})
		}
		return members
	}
	s.update(plan.GatewayCount, usable)
	for _, engine := range usable {
		share := float64(gatewayCount*size) * engine.Cores / cores
		s.byID[engine.ID].capacity = min(gatewayCount, int(math.Ceil(share)))
	}
	s.match(plan, size)
	for _, engine := range usable {
		members = append(members, s.byID[engine.ID].member(plan.GatewayIndex))
	}
	return members
}

// usableEngines returns the usable engines, with at least one core each, and the
// cores of all of them.
func usableEngines(list []Engine) (usable []Engine, cores float64) {
	for _, engine := range list {
		if !engine.Usable {
			continue
		}
		engine.Cores = max(1, engine.Cores)
		usable = append(usable, engine)
		cores += engine.Cores
	}
	return usable, cores
}

// member returns the candidate as a gateway sees it.
func (c *candidate) member(gateway int) Member {
	index := slices.IndexFunc(c.accepted, func(p proposal) bool { return p.gateway == gateway })
	return Member{
		EngineID:     c.id,
		GatewayCount: len(c.accepted),
		Selected:     index >= 0,
		GatewayIndex: max(0, index),
	}
}

// update brings candidates and rankings up to a list of usable engines.
func (s *Selector) update(gatewayCount int, usable []Engine) {
	if s.gatewayCount != gatewayCount {
		*s = Selector{gatewayCount: gatewayCount, byID: map[string]*candidate{}, generation: s.generation}
	}
	s.generation++
	added := s.addCandidates(usable)
	removed := s.removeCandidates()
	s.candidates = append(s.candidates, added...)
	if len(s.rankings) != gatewayCount || len(added)+removed > len(s.candidates)/2 {
		s.rankAll()
		return
	}
	for gateway := range s.rankings {
		s.adjustRanking(gateway, added, removed > 0)
	}
}

// addCandidates marks the candidates of a list as of this generation, makes those that are
// new, and returns the latter.
func (s *Selector) addCandidates(usable []Engine) []*candidate {
	var added []*candidate
	for _, engine := range usable {
		c := s.byID[engine.ID]
		if c == nil {
			c = &candidate{id: engine.ID, hash: hashOf(engine.ID)}
			s.byID[engine.ID] = c
			added = append(added, c)
		}
		c.generation = s.generation
		c.accepted = c.accepted[:0]
	}
	return added
}

// removeCandidates removes the candidates that are not of this generation, and returns
// how many there were.
func (s *Selector) removeCandidates() int {
	before := len(s.candidates)
	s.candidates = slices.DeleteFunc(s.candidates, s.isStale)
	removed := before - len(s.candidates)
	if removed > 0 {
		for id, c := range s.byID {
			if s.isStale(c) {
				delete(s.byID, id)
			}
		}
	}
	return removed
}

func (s *Selector) isStale(c *candidate) bool { return c.generation != s.generation }

// rankAll ranks all candidates for all gateways anew.
func (s *Selector) rankAll() {
	s.rankings = make([]ranking, s.gatewayCount)
	minWeight := uint64(0)
	if count := uint64(len(s.candidates)); count > initialRankingLength {
		minWeight = math.MaxUint64 - math.MaxUint64/count*initialRankingLength
	}
	// Candidates outermost: the inner loop, which runs for every pair of a gateway and
	// an engine, then reads memory only for the pairs that are ranked.
	for _, c := range s.candidates {
		hash := c.hash
		for gateway := range s.gatewayCount {
			if weight := pairWeight(hash, gateway); weight >= minWeight {
				r := &s.rankings[gateway]
				r.preferences = append(r.preferences, preference{weight, c})
			}
		}
	}
	for gateway := range s.rankings {
		s.rankings[gateway].minWeight = minWeight
		slices.SortFunc(s.rankings[gateway].preferences, byDescendingWeight)
	}
}

// appendPreferences appends, to a gateway's ranking, the candidates whose weight is
// from lowest to highest. All that are in the ranking have a greater weight.
func (s *Selector) appendPreferences(gateway int, lowest, highest uint64) {
	r := &s.rankings[gateway]
	first := len(r.preferences)
	for _, c := range s.candidates {
		if weight := c.weight(gateway); lowest <= weight && weight <= highest {
			r.preferences = append(r.preferences, preference{weight, c})
		}
	}
	slices.SortFunc(r.preferences[first:], byDescendingWeight)
}

// byDescendingWeight orders preferences; candidates of one weight, by id.
func byDescendingWeight(a, b preference) int {
	if a.weight != b.weight {
		return cmp.Compare(b.weight, a.weight)
	}
	return cmp.Compare(a.candidate.id, b.candidate.id)
}

// adjustRanking removes stale candidates from a gateway's ranking and inserts those
// that were added.
func (s *Selector) adjustRanking(gateway int, added []*candidate, hasStale bool) {
	r := &s.rankings[gateway]
	if hasStale {
		r.preferences = slices.DeleteFunc(r.preferences, func(p preference) bool { return s.isStale(p.candidate) })
	}
	for _, c := range added {
		p := preference{c.weight(gateway), c}
		if p.weight < r.minWeight {
			continue
		}
		index, _ := slices.BinarySearchFunc(r.preferences, p, byDescendingWeight)
		r.preferences = slices.Insert(r.preferences, index, p)
	}
}

// match gives each gateway its engines by deferred acceptance: every gateway proposes
// to its preferences in order until it has enough; an engine that is full keeps the
// proposals of the greatest weight, and a gateway that it drops proposes on. As both
// sides go by the weight of the pair, the result is that of accepting all pairs by
// falling weight, whoever proposes first.
func (s *Selector) match(plan Plan, size int) {
	s.unmatched = s.unmatched[:0]
	for gateway := range s.rankings {
		s.rankings[gateway].next = 0
		s.rankings[gateway].matched = 0
		if plan.participates(gateway) {
			s.unmatched = append(s.unmatched, gateway)
		}
	}
	for len(s.unmatched) > 0 {
		last := len(s.unmatched) - 1
		gateway := s.unmatched[last]
		s.unmatched = s.unmatched[:last]
		s.fillSubset(gateway, size)
	}
}

// fillSubset has a gateway propose until its subset has the size or it has no preference
// left. Gateways that lose an engine by it become unmatched.
func (s *Selector) fillSubset(gateway, size int) {
	for s.rankings[gateway].matched < size {
		p, ok := s.nextPreference(gateway)
		if !ok {
			return
		}
		rejected := p.candidate.propose(proposal{p.weight, gateway})
		if rejected == gateway {
			continue
		}
		s.rankings[gateway].matched++
		if rejected != noneRejected {
			s.rankings[rejected].matched--
			s.unmatched = append(s.unmatched, rejected)
		}
	}
}

// nextPreference returns the engine to which a gateway proposes next, false if it has
// proposed to all.
func (s *Selector) nextPreference(gateway int) (preference, bool) {
	r := &s.rankings[gateway]
	for r.next == len(r.preferences) {
		if r.minWeight == 0 {
			return preference{}, false
		}
		s.extendRanking(gateway)
	}
	r.next++
	return r.preferences[r.next-1], true
}

// extendRanking lowers the floor of a gateway's ranking, which is above 0. The preferences
// above the floor keep their indices.
func (s *Selector) extendRanking(gateway int) {
	r := &s.rankings[gateway]
	highest := r.minWeight - 1
	span := math.MaxUint64 - r.minWeight
	r.minWeight = 0
	if span < math.MaxUint64/rankingGrowth {
		r.minWeight = math.MaxUint64 - span*rankingGrowth
	}
	s.appendPreferences(gateway, r.minWeight, highest)
}

// noneRejected says that an engine accepted a proposal and dropped none.
const noneRejected = -1

// propose accepts a proposal if the engine is not full or has one of less weight,
// which it drops. It returns the gateway that goes without: the one that proposed, the
// one that was dropped, or noneRejected.
func (c *candidate) propose(p proposal) (rejected int) {
	index, _ := slices.BinarySearchFunc(c.accepted, p, func(a, b proposal) int {
		return cmp.Compare(b.weight, a.weight)
	})
	if index >= c.capacity {
		return p.gateway
	}
	c.accepted = slices.Insert(c.accepted, index, p)
	if len(c.accepted) <= c.capacity {
		return noneRejected
	}
	last := len(c.accepted) - 1
	rejected = c.accepted[last].gateway
	c.accepted = c.accepted[:last]
	return rejected
}
