package subset

import (
	"cmp"
	"math"
	"slices"
)

// Selector selects subsets repeatedly while the endpoint list changes. Between calls it
// keeps each gateway's ranking of engines, which a change of the list affects little: a
// change of a few engines costs a step for each gateway, not one for each pair of a
// gateway and an engine. The zero value is ready to use. A Selector is not safe for
// concurrent use.
type Selector struct {
	gatewayCount int
	byID         map[string]*candidate
	candidates   []*candidate
	generation   int       // number of calls of update
	rankings     []ranking // by gateway index
	unmatched    []int     // used by match: gateways that still propose
}

// candidate is a usable engine.
type candidate struct {
	id         string
	hash       uint64
	generation int        // Selector.generation when the list last had the engine
	capacity   int        // maximum number of gateways that share the engine
	accepted   []proposal // gateways that share the engine, by descending weight
}

// proposal is the proposal of a gateway to an engine, with the weight of the pair.
type proposal struct {
	weight  uint64
	gateway int
}

// ranking holds a gateway's preferences by descending weight. Candidates whose weight is
// below minWeight are left out until extendRanking lowers it.
type ranking struct {
	preferences []preference
	minWeight   uint64
	next        int // used by match: index of the preference that the gateway proposes to next
	matched     int // used by match: number of engines that have accepted the gateway
}

// preference is a candidate, with the weight of its pair with the gateway.
type preference struct {
	weight    uint64
	candidate *candidate
}

const (
	initialRankingLength = 24 // mean number of preferences in a new ranking
	rankingGrowth        = 4  // factor by which a ranking that is exhausted is extended
)

// Select returns the same result as Plan.Select. The plan may differ from that of the
// previous call.
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

// usableEngines returns the usable engines, each with at least one core, and the sum of
// their cores.
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

// member returns the Member of the candidate for a gateway.
func (c *candidate) member(gateway int) Member {
	index := slices.IndexFunc(c.accepted, func(p proposal) bool { return p.gateway == gateway })
	return Member{
		EngineID:     c.id,
		GatewayCount: len(c.accepted),
		Selected:     index >= 0,
		GatewayIndex: max(0, index),
	}
}

// update updates candidates and rankings to a new list of usable engines.
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

// addCandidates sets the generation of all candidates in the list, creates the candidates
// that are new, and returns the new ones.
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

// removeCandidates removes the stale candidates, and returns their number.
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

// isStale reports whether the current list does not have the candidate.
func (s *Selector) isStale(c *candidate) bool { return c.generation != s.generation }

// rankAll builds the rankings of all gateways from scratch.
func (s *Selector) rankAll() {
	s.rankings = make([]ranking, s.gatewayCount)
	minWeight := uint64(0)
	if count := uint64(len(s.candidates)); count > initialRankingLength {
		minWeight = math.MaxUint64 - math.MaxUint64/count*initialRankingLength
	}
	// The outer loop is over the candidates, so that the inner loop, which runs for every
	// pair of a gateway and an engine, accesses memory only for the pairs that are ranked.
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

// appendPreferences appends to a gateway's ranking the candidates whose weight is from
// lowest to highest. All candidates already in the ranking have a greater weight.
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

// byDescendingWeight compares preferences by descending weight, then by the ID of the
// candidate.
func byDescendingWeight(a, b preference) int {
	if a.weight != b.weight {
		return cmp.Compare(b.weight, a.weight)
	}
	return cmp.Compare(a.candidate.id, b.candidate.id)
}

// adjustRanking removes stale candidates from a gateway's ranking and inserts the added
// ones.
func (s *Selector) adjustRanking(gateway int, added []*candidate, hasStale bool) {
	r := &s.rankings[gateway]
	if hasStale {
		isStale := func(p preference) bool { return s.isStale(p.candidate) }
		r.preferences = slices.DeleteFunc(r.preferences, isStale)
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

// match assigns engines to gateways by deferred acceptance (Gale-Shapley): every gateway
// proposes to its preferences in order until its subset is full; an engine that is full
// keeps the proposals with the greatest weights, and a gateway that it drops continues
// to propose. As gateways and engines both rank by the weight of the pair, the result
// equals that of accepting all pairs by descending weight; gateways may propose in any
// order.
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

// fillSubset lets a gateway propose until its subset has the given size or its preferences
// are exhausted. Gateways that lose an engine to it become unmatched.
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

// nextPreference returns the preference to which a gateway proposes next, or false if the
// gateway has proposed to all engines.
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

// extendRanking lowers the minWeight of a gateway's ranking, which must be above 0, and
// appends the candidates that this adds. The present preferences keep their indices.
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

// noneRejected is the result of propose if the engine had a free slot.
const noneRejected = -1

// propose proposes a gateway to the engine. An engine that is full keeps the proposals
// with the greatest weights. It returns the gateway that is rejected, which is the
// proposing gateway or the one whose proposal is dropped, or noneRejected.
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
