package mysql

import "slices"

// orderMarginMS is how long before its deadline a statement that still waits for its turn is
// rejected, so that its client gets the answer in time.
const orderMarginMS = 100.0

// keyOrder keeps statements with the same order key in the order in which they were read until
// they are submitted to the event loop, which keeps that order afterwards. A load with an id
// waits for its lease before it can be submitted; statements that were read after it wait
// for it here.
type keyOrder struct {
	tickets map[string][]*ticket // by order key; the first one is next
}

// ticket is the place of a statement among those with its order key.
type ticket struct {
	key   string // empty: the statement waits for no other
	begin func() // submits or answers the statement; nil until it may be submitted
}

func newKeyOrder() keyOrder { return keyOrder{tickets: map[string][]*ticket{}} }

// issue gives a statement its place, behind all that have been read before.
func (o *keyOrder) issue(key string) *ticket {
	t := &ticket{key: key}
	if key != "" {
		o.tickets[key] = append(o.tickets[key], t)
	}
	return t
}

// await calls begin once all statements before this one have been submitted or answered, which
// may be at once. It reports whether begin is still to be called.
func (o *keyOrder) await(t *ticket, begin func()) (waits bool) {
	t.begin = begin
	if t.key == "" {
		begin()
		return false
	}
	o.advance(t.key)
	return o.isWaiting(t)
}

// withdraw removes the ticket of a statement that is answered. It has no effect on one that has begun.
func (o *keyOrder) withdraw(t *ticket) {
	if !o.isWaiting(t) {
		return
	}
	o.remove(t)
	o.advance(t.key)
}

// beginNow lets a statement begin out of turn, so that it can be answered. It has no effect on
// one that has begun.
func (o *keyOrder) beginNow(t *ticket) {
	if !o.isWaiting(t) {
		return
	}
	o.start(t)
	o.advance(t.key)
}

// beginAll lets all statements begin that wait only for others, so that they can be answered.
func (o *keyOrder) beginAll() {
	for _, tickets := range o.tickets {
		for _, t := range slices.Clone(tickets) {
			if t.begin != nil {
				o.beginNow(t)
			}
		}
	}
}

func (o *keyOrder) isWaiting(t *ticket) bool { return slices.Contains(o.tickets[t.key], t) }

// advance lets the first statements of a key begin, as far as they may.
func (o *keyOrder) advance(key string) {
	for len(o.tickets[key]) > 0 {
		first := o.tickets[key][0]
		if first.begin == nil {
			return
		}
		o.start(first)
	}
}

// start removes the ticket of a statement that begins. The ticket may be kept by a timer, so it
// no longer refers to the statement.
func (o *keyOrder) start(t *ticket) {
	begin := t.begin
	o.remove(t)
	t.begin = nil
	begin()
}

func (o *keyOrder) remove(t *ticket) {
	rest := slices.DeleteFunc(o.tickets[t.key], func(other *ticket) bool { return other == t })
	if len(rest) == 0 {
		delete(o.tickets, t.key)
		return
	}
	o.tickets[t.key] = rest
}

// issueTicket gives a statement its place in the order of its key, if its class keeps one.
func (s *Server) issueTicket(options requestOptions) *ticket {
	if !s.class(options).OrderedByKey {
		return s.keyOrder.issue("")
	}
	return s.keyOrder.issue(options.orderKey)
}

// startInOrder submits a statement to the event loop when its turn has come. A statement whose
// turn does not come in time, or that nobody waits for any more, is rejected: nothing ran.
func (s *Server) startInOrder(t *ticket, u submission, done func(outcome)) {
	waitMS := u.options.deadlineMS
	expiresAtMS := s.loop.Now() + waitMS
	waits := s.keyOrder.await(t, func() {
		remainingMS := expiresAtMS - s.loop.Now()
		isLate := remainingMS < waitMS && remainingMS <= orderMarginMS
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
		s.loop.After(waitMS-orderMarginMS, func() { s.keyOrder.beginNow(t) })
	}
}
