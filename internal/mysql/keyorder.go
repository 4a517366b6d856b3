package mysql

import "slices"

// turnMarginMS is how long before its deadline a statement that still waits for its turn is
// rejected, so that its client gets the answer in time.
const turnMarginMS = 100.0

// keyOrder keeps statements with the same order key in the order in which they were read until
// they are submitted to the event loop, which keeps that order afterwards. A load with an id
// waits for its lease before it can be submitted; statements that were read after it wait
// for it here.
type keyOrder struct {
	turns map[string][]*turn // by order key; the first one is next
}

// turn is the place of a statement among those with its order key.
type turn struct {
	key   string // empty: the statement waits for no other
	begin func() // submits or answers the statement; nil until it may be submitted
}

func newKeyOrder() keyOrder { return keyOrder{turns: map[string][]*turn{}} }

// take gives a statement its place, behind all that have been read before.
func (o *keyOrder) take(key string) *turn {
	t := &turn{key: key}
	if key != "" {
		o.turns[key] = append(o.turns[key], t)
	}
	return t
}

// await calls begin once all statements before this one have been submitted or answered, which
// may be at once. It reports whether begin is still to be called.
func (o *keyOrder) await(t *turn, begin func()) (waits bool) {
	t.begin = begin
	if t.key == "" {
		begin()
		return false
	}
	o.advance(t.key)
	return o.isWaiting(t)
}

// leave gives up the place of a statement. It has no effect on one that has begun.
func (o *keyOrder) leave(t *turn) {
	if !o.isWaiting(t) {
		return
	}
	o.remove(t)
	o.advance(t.key)
}

// beginNow lets a statement begin out of turn, so that it can be answered. It has no effect on
// one that has begun.
func (o *keyOrder) beginNow(t *turn) {
	if !o.isWaiting(t) {
		return
	}
	o.remove(t)
	t.begin()
	o.advance(t.key)
}

// beginAll lets all statements begin that wait only for others, so that they can be answered.
func (o *keyOrder) beginAll() {
	for _, turns := range o.turns {
		for _, t := range slices.Clone(turns) {
			if t.begin != nil {
				o.beginNow(t)
			}
		}
	}
}

func (o *keyOrder) isWaiting(t *turn) bool { return slices.Contains(o.turns[t.key], t) }

// advance lets the first statements of a key begin, as far as they may.
func (o *keyOrder) advance(key string) {
	for len(o.turns[key]) > 0 {
		first := o.turns[key][0]
		if first.begin == nil {
			return
		}
		o.remove(first)
		first.begin()
	}
}

func (o *keyOrder) remove(t *turn) {
	rest := slices.DeleteFunc(o.turns[t.key], func(other *turn) bool { return other == t })
	if len(rest) == 0 {
		delete(o.turns, t.key)
		return
	}
	o.turns[t.key] = rest
}

// takeTurn gives a statement its place in the order of its key, if its class keeps one.
func (s *Server) takeTurn(options requestOptions) *turn {
	if !s.class(options).OrderedByKey {
		return s.keyOrder.take("")
	}
	return s.keyOrder.take(options.orderKey)
}

// startInTurn submits a statement to the event loop when its turn has come. A statement whose
// turn does not come in time, or that nobody waits for any more, is rejected: nothing ran.
func (s *Server) startInTurn(t *turn, u submission, done func(outcome)) {
	waitMS := u.options.deadlineMS
	expiresAtMS := s.loop.Now() + waitMS
	waits := s.keyOrder.await(t, func() {
		remainingMS := expiresAtMS - s.loop.Now()
		isLate := remainingMS < waitMS && remainingMS <= turnMarginMS
		switch {
		case !u.isAwaited():
			done(outcome{err: s.rejection()})
		case isLate || s.shutdownDeadlinePassed:
			s.Counters.Rejected++
			done(outcome{err: s.rejection()})
		default:
			u.options.deadlineMS = remainingMS
			s.start(u, done)
		}
	})
	if waits {
		s.loop.After(waitMS-turnMarginMS, func() { s.keyOrder.beginNow(t) })
	}
}
