// Package fleet decides what one front end of a large fleet uses of the
// engines, so that the fleet together spends few handshakes and probes and
// each front end learns enough of the engines it uses. It does no I/O and
// keeps no clock: the same fleet and list always give the same subset.
//
// At hundreds of front ends each sees little traffic. Spread over every engine,
// a front end sends to each so seldom that its connections fall idle and close
// between two requests (a handshake nearly every request), its controller never
// gathers enough answers of one engine to judge it, and its probes go
// everywhere. Deterministic subsetting gives each front end a few engines
// instead, chosen so that every engine is shared by about the same number of
// front ends, and so that a change of the list moves as few front ends as
// possible (rendezvous hashing). See docs/design-fleet.md.
package fleet

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// Engine is one entry of the list as the subset sees it.
type Engine struct {
	ID     string
	Usable bool // listed, neither leaving nor left: it may get new work
}

// Plan says how a front end picks its engines.
type Plan struct {
	Self, Fleet int // this front end's number and the number of front ends, Fleet >= 1
	// PerFront is how many usable engines a front end aims to use. Where the
	// fleet is small enough that each front end would use all of them, or it is
	// 0, the subset is the whole list.
	PerFront int
}

// Sharers is how many front ends share each engine under the plan with the
// given number of usable engines: the fleet's size as one engine sees it. It
// is at least 1 and at most Fleet.
func (p Plan) Sharers(usable int) int {
	if !p.on(usable) {
		return max(1, p.Fleet)
	}
	return max(1, min(p.Fleet, int(math.Ceil(float64(p.Fleet*p.PerFront)/float64(usable)))))
}

// on reports whether the plan narrows anything: the fleet is larger than the
// engines can each serve alone.
func (p Plan) on(usable int) bool {
	return p.PerFront > 0 && p.Fleet > 1 && usable > p.PerFront
}

// Subset returns the ids of the engines that this front end uses, out of the
// list, in the list's order. Engines that are not usable are never in it.
//
// Each usable engine ranks all front ends by a hash of the pair and takes the
// first Sharers of them; a front end uses the engines that took it. As a draw
// can leave a front end short, it also takes its own first PerFront/2 engines
// by the same hash (at least one), so that none is left with nothing while
// any engine is usable. A front end that leaves the list changes nothing for
// the others; an engine that leaves moves only the front ends it had.
func (p Plan) Subset(list []Engine) []string {
	usable := 0
	for _, e := range list {
		if e.Usable {
			usable++
		}
	}
	if !p.on(usable) {
		ids := make([]string, 0, usable)
		for _, e := range list {
			if e.Usable {
				ids = append(ids, e.ID)
			}
		}
		return ids
	}
	sharers := p.Sharers(usable)
	type ranked struct {
		i     int
		score uint64
	}
	own := make([]ranked, 0, usable)
	in := make([]bool, len(list))
	for i, e := range list {
		if !e.Usable {
			continue
		}
		mine := weight(e.ID, p.Self)
		own = append(own, ranked{i, mine})
		// This front end is among the engine's first sharers when fewer than
		// that many front ends rank above it.
		above := 0
		for f := 0; f < p.Fleet && above < sharers; f++ {
			if f != p.Self && weight(e.ID, f) > mine {
				above++
			}
		}
		in[i] = above < sharers
	}
	slices.SortFunc(own, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	for _, r := range own[:max(1, p.PerFront/2)] {
		in[r.i] = true
	}
	ids := make([]string, 0, p.PerFront*2)
	for i, e := range list {
		if in[i] {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// weight is the rendezvous hash of an engine and a front end: FNV-1a of the
// engine's id and the front end's number.
func weight(id string, front int) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(front))
	h.Write(b[:])
	return h.Sum64()
}
