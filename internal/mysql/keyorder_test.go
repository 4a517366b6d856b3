package mysql

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"dewhill/internal/dispatch"
	"dewhill/internal/lease"
	"dewhill/internal/simproto"
)

// orderLoop is an event loop whose clock and timers the test drives. It records the requests
// that are submitted, and answers them when the test says so.
type orderLoop struct {
	EventLoop
	now       float64
	timers    []orderTimer
	submitted []*orderRequest
	abandoned map[string]bool
	detached  []string
}

type orderTimer struct {
	atMS float64
	run  func()
}

type orderRequest struct {
	dispatch.Request
	sql     string
	respond func(dispatch.Response, any)
}

func (l *orderLoop) Now() float64             { return l.now }
func (l *orderLoop) OpenRequests() int        { return 0 }
func (l *orderLoop) DetachRequest(id string)  { l.detached = append(l.detached, id) }
func (l *orderLoop) AbandonRequest(id string) { l.abandoned[id] = true }
func (l *orderLoop) After(ms float64, f func()) {
	l.timers = append(l.timers, orderTimer{l.now + ms, f})
}

func (l *orderLoop) Submit(r dispatch.Request, work any, respond func(dispatch.Response, any)) error {
	statement, _ := work.(*Statement)
	l.submitted = append(l.submitted, &orderRequest{r, statement.SQL, respond})
	return nil
}

func (l *orderLoop) advance(ms float64) {
	l.now += ms
	timers := l.timers
	l.timers = nil
	for _, timer := range timers {
		if timer.atMS <= l.now {
			timer.run()
		} else {
			l.timers = append(l.timers, timer)
		}
	}
}

// answerSubmitted answers all submitted requests that no client has left.
func (l *orderLoop) answerSubmitted() {
	for _, r := range l.submitted {
		if r.respond != nil && !l.abandoned[r.ID] {
			respond := r.respond
			r.respond = nil
			respond(dispatch.Response{RequestID: r.ID, Outcome: dispatch.Served}, &Result{OK: okPacket(1, 0)})
		}
	}
}

// orderLeases decides on leases when the test says so.
type orderLeases struct {
	undecided map[string]func(lease.Decision)
	held      map[string]int
}

func (l *orderLeases) Acquire(name, _ string, _ float64, _ bool, decide func(lease.Decision)) {
	l.undecided[name] = decide
}

func (l *orderLeases) Release(name string, _ lease.RunResult, _ []byte) { l.held[name]-- }

func (l *orderLeases) ExpireRequests() {
	for name := range l.undecided {
		l.decide(name, lease.NoQuorum)
	}
}

func (l *orderLeases) decide(name string, kind lease.DecisionKind) {
	decide := l.undecided[name]
	delete(l.undecided, name)
	if kind == lease.Granted {
		l.held[name]++
	}
	decide(lease.Decision{Kind: kind})
}

// orderPlay is a server with leases, and the statements that its clients have sent.
type orderPlay struct {
	t          *testing.T
	rng        *rand.Rand
	loop       *orderLoop
	leases     *orderLeases
	server     *Server
	statements []*orderStatement
}

type orderStatement struct {
	sql     string
	key     string
	client  *client
	answers []outcome
	leftAt  int // requests that had been submitted when its client left; -1: it has not
}

func newOrderPlay(t *testing.T, seed uint64, withLeases bool) *orderPlay {
	p := &orderPlay{t: t, rng: rand.New(rand.NewPCG(seed, 7)), loop: &orderLoop{now: 1e6, abandoned: map[string]bool{}}}
	config := &Config{LoadClass: "load", ReadClass: "lookup", Limits: Limits{MaxOpenRequests: 1000, KnownIDs: 1000}}
	config.Settings.Classes = []simproto.Class{
		{Name: "load", Idempotency: notIdempotent, OrderedByKey: true, DeadlineMS: 20_000},
		{Name: "lookup", Idempotency: idempotent, DeadlineMS: 20_000},
	}
	p.server = NewServer(p.loop, config)
	if withLeases {
		p.leases = &orderLeases{undecided: map[string]func(lease.Decision){}, held: map[string]int{}}
		p.server.Leases = p.leases
	}
	return p
}

// send submits a load as if it had just been read.
func (p *orderPlay) send(sql, key string) *orderStatement {
	statement := &orderStatement{sql: sql, key: key, client: &client{server: p.server, user: "app"}, leftAt: -1}
	p.statements = append(p.statements, statement)
	p.server.submit(statement.client, &Statement{SQL: sql}, inspect(sql), func(o outcome) {
		statement.client.requestID = ""
		statement.client.load = nil
		statement.answers = append(statement.answers, o)
	})
	return statement
}

func (p *orderPlay) sendNext() {
	n := len(p.statements)
	key := fmt.Sprintf("k%d", p.rng.IntN(2))
	var hints []string
	if p.rng.IntN(10) > 0 {
		hints = append(hints, "key="+key)
	} else {
		key = ""
	}
	if p.rng.IntN(3) > 0 {
		hints = append(hints, fmt.Sprintf("id=load-%d", n))
	}
	if p.rng.IntN(4) == 0 {
		hints = append(hints, "deadline=300")
	}
	p.send(fmt.Sprintf("INSERT /* dewhill: %s */ INTO t_1.t VALUES (%d)", strings.Join(hints, " "), n), key)
}

// step plays one random event.
func (p *orderPlay) step() {
	kinds := []lease.DecisionKind{lease.Granted, lease.Granted, lease.Granted, lease.NoQuorum, lease.AlreadyCompleted, lease.PossiblyRan}
	switch p.rng.IntN(6) {
	case 0, 1:
		p.sendNext()
	case 2, 3:
		if p.leases == nil {
			return
		}
		for _, s := range p.statements { // any one, in the order of the seed
			name := loadName(s.client, requestOptions{loadID: inspect(s.sql).hints["id"]})
			if p.leases.undecided[name] != nil && p.rng.IntN(3) == 0 {
				p.leases.decide(name, kinds[p.rng.IntN(len(kinds))])
				return
			}
		}
	case 4:
		p.loop.advance(float64(p.rng.IntN(100)))
	case 5:
		s := p.statements[p.rng.IntN(len(p.statements))]
		if len(s.answers) == 0 && s.leftAt < 0 && p.rng.IntN(4) == 0 {
			s.leftAt = len(p.loop.submitted)
			s.client.handleDisconnect()
		}
	}
}

// check checks that the requests of each key were submitted in the order in which their
// statements were read, and none after its client had left.
func (p *orderPlay) check() {
	p.t.Helper()
	position := map[string]int{}
	for n, s := range p.statements {
		position[s.sql] = n
	}
	last := map[string]int{}
	for n, r := range p.loop.submitted {
		read := position[r.sql]
		s := p.statements[read]
		if before, found := last[s.key]; s.key != "" && found && before > read {
			p.t.Errorf("%s was submitted after %s, which was read later", r.sql, p.statements[before].sql)
		}
		last[s.key] = read
		if s.leftAt >= 0 && n >= s.leftAt {
			p.t.Errorf("%s was submitted after its client had left", r.sql)
		}
		if r.DeadlineAtMS <= r.ArrivedAtMS {
			p.t.Errorf("%s was submitted after its deadline", r.sql)
		}
	}
}

// checkEnd checks that each statement has one answer, unless its client has left, and that
// nothing waits any more.
func (p *orderPlay) checkEnd() {
	p.t.Helper()
	for _, s := range p.statements {
		if len(s.answers) > 1 || len(s.answers) == 0 && s.leftAt < 0 {
			p.t.Errorf("%s was answered %d times", s.sql, len(s.answers))
		}
	}
	if len(p.server.keyOrder.tickets) > 0 {
		p.t.Errorf("statements of %d keys still wait for their turn", len(p.server.keyOrder.tickets))
	}
	if p.leases == nil {
		return
	}
	for name, held := range p.leases.held {
		if held != 0 {
			p.t.Errorf("the lease of %q was granted %d times more than it was released", name, held)
		}
	}
}

// TestOrderOfAKeyOutlivesAllWaits guards against loads of one key that run in another order
// than they were read: a load with an id waited for its lease, and a later load of its key,
// with an id or without, was submitted before it.
func TestOrderOfAKeyOutlivesAllWaits(t *testing.T) {
	for seed := range uint64(400) {
		for _, end := range []string{"decided", "expired", "killed"} {
			p := newOrderPlay(t, seed, seed%8 > 0)
			p.sendNext()
			for range 60 {
				p.step()
			}
			p.check()
			switch {
			case end == "killed":
				p.loop.answerSubmitted()
				p.server.ReachShutdownDeadline()
			case end == "expired":
				p.loop.advance(60_000)
			case p.leases != nil:
				p.leases.ExpireRequests()
			}
			if submitted := len(p.loop.submitted); end == "killed" && p.server.shutdownDeadlinePassed {
				p.sendNext()
				if len(p.loop.submitted) > submitted {
					t.Error("a statement was submitted after the shutdown deadline")
				}
			}
			p.loop.answerSubmitted()
			p.loop.advance(60_000)
			p.loop.answerSubmitted()
			p.check()
			p.checkEnd()
			if t.Failed() {
				t.Fatalf("seed %d, end %q", seed, end)
			}
		}
	}
}

// TestLaterLoadWaitsForTheTurnOfItsKey checks the order of a load without an id, behind one
// whose lease is decided late, and that it is rejected in time where it is not decided.
func TestLaterLoadWaitsForTheTurnOfItsKey(t *testing.T) {
	p := newOrderPlay(t, 1, true)
	p.send("INSERT /* dewhill: id=a key=k */ INTO t_1.t VALUES (1)", "k")
	p.send("INSERT /* dewhill: key=k */ INTO t_1.t VALUES (2)", "k")
	late := p.send("INSERT /* dewhill: key=k deadline=500 */ INTO t_1.t VALUES (3)", "k")
	p.send("INSERT /* dewhill: key=other */ INTO t_1.t VALUES (4)", "other")
	if len(p.loop.submitted) != 1 || p.loop.submitted[0].Key != "other" {
		t.Fatalf("submitted %d requests before the lease was granted, want that of the other key", len(p.loop.submitted))
	}
	p.loop.advance(500 - orderMarginMS + 1)
	if len(late.answers) != 1 || late.answers[0].err == nil || late.answers[0].err.Code != codeRejected {
		t.Errorf("answers of the load whose deadline is near: %+v, want a rejection", late.answers)
	}
	p.leases.decide("app\x00a", lease.Granted)
	if len(p.loop.submitted) != 3 {
		t.Errorf("submitted %d requests, want 3", len(p.loop.submitted))
	}
	p.check()
}

// TestLoadOfARepeatIsDetached guards against attempts for a load that no client waits for any
// more: the client of the first attempt had left while the load waited for its lease, so the
// request was not known when the client of the repeat left too.
func TestLoadOfARepeatIsDetached(t *testing.T) {
	p := newOrderPlay(t, 1, true)
	const load = "INSERT /* dewhill: id=a key=k */ INTO t_1.t VALUES (1)"
	first, repeat := p.send(load, "k"), p.send(load, "k")
	first.client.handleDisconnect()
	p.leases.decide("app\x00a", lease.Granted)
	if len(p.loop.submitted) != 1 {
		t.Fatalf("submitted %d requests, want that of the load, for whose repeat a client waits", len(p.loop.submitted))
	}
	repeat.client.handleDisconnect()
	if len(p.loop.detached) != 1 || p.loop.detached[0] != p.loop.submitted[0].ID {
		t.Errorf("detached %q after all clients have left, want the request %q", p.loop.detached, p.loop.submitted[0].ID)
	}
}
