// Package engine is the side that speaks to the platform's engines: lines over
// TCP, many requests to a connection.
//
// A request is written once or never. Until its writer takes it up it can be
// withdrawn, and then provably never ran: when it is given up, when its engine
// goes, leaves or moves, or when it is too late for what was decided. A
// connection that ends settles what was open on it only when it is known how
// far its last write got.
package engine

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"dewhill/control"
	"dewhill/internal/core"
	"dewhill/internal/lines"
)

// Host is the event loop. Post and Now may be called from any goroutine, the
// rest only from the loop's own.
type Host interface {
	Post(func())
	Now() float64
	After(ms float64, f func())
	Ended(ev core.AttemptEnded, result any)
	Noted(ev core.Noted)
	Probed(ev core.Probed)
	Logf(format string, args ...any)
}

// Options are the pool's settings.
type Options struct {
	Classes        []string
	ConnectTimeout time.Duration
	Idle           time.Duration // engines close idle connections after it
	Streams        int           // requests that one connection carries
	MostConns      int           // of the whole pool
	Short          func()        // called where the system is out of descriptors; may be nil
}

// Counters count what goes to engines and what comes from them.
type Counters struct {
	Dials, DialFailures, ConnsLost, Garbage int
	Pulls, Kills, Boosts, Scrolls, Discards int
	Words                                   map[string]int // answers by word; unknown ones are counted together
	UnknownWords                            int            // answers whose word the protocol does not have
	Notes, SpoiltNotes                      int            // told before an attempt's end, and those that were dropped
	LateAnswers, PagesLost, Probes          int
	NoConn                                  int // connections that the budget or the system did not allow
	SecondCopies                            int // of answers and pages
	Quiet                                   int // connections opened as others to the engine had fallen quiet
	Withdrawn                               int // requests taken back before they were written
	Unsent                                  int // requests whose connection ended before it had taken them whole
	SpoiltReports                           int // load reports that were dropped
	LostWith                                int // requests that ended with a connection, not by an answer of their own
}

const (
	probeTimeout = 250                   // ms
	quietAfter   = 500                   // ms for which a connection may owe a word and say nothing: then nothing new goes there
	mostQuiet    = 4                     // such connections to an engine, past which the youngest is used all the same
	writeIn      = 5000.0                // ms for an engine to take what is written
	doubtMs      = 10000                 // ms for which answers to an id may still come after its end
	lastWords    = 50 * time.Millisecond // for what came in before a connection broke
	wordMs       = 10                    // ms that a word to an engine may take on its way
	mostLogged   = 200                   // lines about garbage
	queued       = 512                   // commands that wait for a connection's writer
)

// Pool holds the connections to all engines. Only the loop's goroutine touches
// it; each connection has a goroutine that reads and one that writes.
type Pool struct {
	host    Host
	o       Options
	engines map[string]*machine
	conns   int
	tag     int
	taken   atomic.Int64 // requests written whole
	Count   Counters
}

// machine is an engine. Its identity is its id: a new engine may take the
// address of one that has gone.
type machine struct {
	id, addr string
	gone     bool
	leaving  bool
	conns    []*conn
	out      map[string]*exchange // by request
}

type conn struct {
	m      *machine
	addr   string
	nc     net.Conn
	up     bool
	dead   bool
	short  bool // it could not be opened as this program is out of descriptors
	ours   bool // it was this side that ended it
	deaf   bool // nothing can be written any more; what came in is still read
	done   int  // of its reader and its writer
	out    chan command
	open   map[string]*exchange
	killed map[string]bool // ids given up here: their answers may still come
	past   map[string]bool // ids that ended here without a result: a second copy may still come
	idleAt float64         // since when nothing is open
	owesAt float64         // when it last said something, or began to owe a word

	writing atomic.Int64 // when what is being written began; 0: nothing is
}

// The stages of an exchange. Its writer and the loop each leave waiting in one
// step, so that none is both written and taken back.
const (
	waiting   int32 = iota // for its connection or its writer
	written                // being written, or whole on its way
	withdrawn              // never to be written
	cut                    // not taken whole
)

// exchange is an attempt, or a probe.
type exchange struct {
	id      string
	attempt int
	conn    *conn
	first   command // that opens it
	pull    *pull   // what that says, unless it is a probe
	by      float64 // when it must be written
	stage   atomic.Int32
	stopped bool
	at      float64
	probe   bool

	acked      bool // the query is done
	pages      [][]byte
	have, size int
	cpu, used  float64
	report     *control.Report
}

// pull is a request to an engine, as it is decided on. How long the front end will
// wait is said when it is written: a connection may take its time to come up, and an
// engine must not be told more than the client has left then.
type pull struct {
	id, class, key string
	until          float64
	priority       int
	statement      []byte
}

// line is the first line of the request at a time.
func (q *pull) line(now float64) string {
	key := ""
	if q.key != "" {
		key = ",i=" + q.key
	}
	return fmt.Sprintf("PULL %s c=%s,w=%d%s,nice=%d %d", q.id, q.class, max(1, int(q.until-now)), key, q.priority, len(q.statement))
}

// late reports whether it must not be written any more.
func (ex *exchange) late(now float64) bool {
	return ex.by > 0 && now > ex.by || ex.pull != nil && now >= ex.pull.until
}

// command is a line to an engine.
type command struct {
	line string
	ex   *exchange // that it opens, if it opens one; a PULL's line and statement are there
	then func()    // in the loop, once it is written
}

// New returns a pool that knows no engine.
func New(host Host, o Options) *Pool {
	p := &Pool{host: host, o: o, engines: map[string]*machine{}}
	p.Count.Words = map[string]int{}
	host.After(500, p.sweep)
	return p
}

// Place tells where an engine listens, and whether it is leaving or gone.
// Withdraw has to follow once the decisions know.
func (p *Pool) Place(id, addr string, leaving, gone bool) {
	m := p.engines[id]
	if m == nil {
		if gone {
			return
		}
		m = &machine{id: id, out: map[string]*exchange{}}
		p.engines[id] = m
	}
	m.leaving = leaving
	if m.gone = gone; gone || m.addr != addr {
		for _, c := range slices.Clone(m.conns) {
			if len(c.open) == 0 {
				p.lost(c, nil)
			}
		}
	}
	if !gone {
		m.addr = addr
	} else if len(m.conns) == 0 {
		delete(p.engines, id)
	}
}

// Only tells that no engines exist but these: the others are gone.
func (p *Pool) Only(ids map[string]bool) {
	for id := range p.engines {
		if !ids[id] {
			p.Place(id, "", false, true)
		}
	}
}

// Withdraw takes back what is not written yet to engines that have gone, leave
// or moved. Guards requests that wait for a connection: it may come up after
// another engine has taken the address.
func (p *Pool) Withdraw() {
	for _, m := range p.engines {
		for _, c := range slices.Clone(m.conns) {
			if !m.gone && !m.leaving && c.addr == m.addr {
				continue
			}
			for _, ex := range c.exchanges() {
				if !ex.probe {
					p.withdraw(ex)
				}
			}
		}
	}
}

// withdraw ends an exchange that is not written yet: it never ran.
func (p *Pool) withdraw(ex *exchange) bool {
	if ex.conn.open[ex.id] != ex || !ex.stage.CompareAndSwap(waiting, withdrawn) {
		return false
	}
	p.Count.Withdrawn++
	p.end(ex, control.Moot)
	return true
}

// exchanges are those open on a connection, in the order in which they were
// asked for.
func (c *conn) exchanges() []*exchange {
	list := make([]*exchange, 0, len(c.open))
	for _, ex := range c.open {
		list = append(list, ex)
	}
	slices.SortFunc(list, func(a, b *exchange) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	return list
}

// Start sends an attempt out.
func (p *Pool) Start(s core.Start, class int, work any) {
	query, _ := work.(core.Query)
	m := p.engines[s.Engine]
	ex := &exchange{id: s.ID, attempt: s.Attempt, at: p.host.Now(), by: s.By}
	if m == nil || m.gone {
		p.end(ex, control.ConnectFailed)
		return
	}
	c := p.pick(m, s.ID)
	if c == nil {
		p.Count.NoConn++
		p.end(ex, control.Moot)
		return
	}
	ex.pull = &pull{id: s.ID, class: p.o.Classes[class], key: query.IdempotencyKey, until: s.Until, priority: s.Priority,
		statement: query.Statement}
	ex.first = command{ex: ex}
	p.Count.Pulls++
	m.out[attemptKey(s.ID, s.Attempt)] = ex
	p.put(c, ex)
}

func attemptKey(id string, attempt int) string { return id + "/" + strconv.Itoa(attempt) }

// put opens an exchange on a connection.
func (p *Pool) put(c *conn, ex *exchange) {
	if !c.owes() {
		c.owesAt = p.host.Now()
	}
	ex.conn = c
	c.open[ex.id] = ex
	if c.up {
		p.send(c, ex.first)
	}
}

// send queues a command. The queue holds far more than a connection's requests
// need: a full one means that nothing is written any more.
func (p *Pool) send(c *conn, cmd command) {
	if c.dead {
		return
	}
	select {
	case c.out <- cmd:
	default:
		p.lost(c, errStill)
	}
}

// pick returns a connection for a request, or nil. The same id must not be
// open, given up or ended there: an answer, or a second copy of one, could belong
// to either attempt. And a connection that owes a word and says nothing may have
// fallen quiet, or lead to a machine that has vanished, whatever others to the
// engine say: a new one has to come up first, and what waits for that never ran.
func (p *Pool) pick(m *machine, id string) *conn {
	var best, quiet *conn
	quiets := 0
	for _, c := range m.conns {
		if c.dead || c.deaf || c.addr != m.addr || len(c.open) >= p.o.Streams || c.open[id] != nil || c.killed[id] || c.past[id] {
			continue
		}
		if c.up && c.owes() && p.host.Now()-c.owesAt > quietAfter {
			quiets++
			quiet = c
			continue
		}
		if best == nil || c.up && !best.up || c.up == best.up && len(c.open) > len(best.open) {
			best = c
		}
	}
	if best == nil && quiets >= mostQuiet {
		best = quiet
	}
	if best != nil {
		return best
	}
	p.Count.Quiet += min(quiets, 1)
	return p.dial(m)
}

// owes reports whether the engine may still have something to say here.
func (c *conn) owes() bool { return len(c.open)+len(c.killed) > 0 }

func (p *Pool) dial(m *machine) *conn {
	if p.conns >= p.o.MostConns && !p.spare() {
		return nil
	}
	c := &conn{m: m, addr: m.addr, out: make(chan command, queued), open: map[string]*exchange{},
		killed: map[string]bool{}, past: map[string]bool{}}
	m.conns = append(m.conns, c)
	p.conns++
	p.Count.Dials++
	go func() {
		nc, err := net.DialTimeout("tcp", c.addr, p.o.ConnectTimeout)
		p.host.Post(func() { p.dialled(c, nc, err) })
	}()
	return c
}

// spare closes the connection that has been idle longest, to make room.
func (p *Pool) spare() bool {
	var oldest *conn
	for _, m := range p.engines {
		for _, c := range m.conns {
			if at := c.writing.Load(); at > 0 && p.host.Now()-float64(at) > writeIn {
				p.lost(c, errStill)
			} else if c.up && len(c.open) == 0 && (oldest == nil || c.idleAt < oldest.idleAt) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.lost(oldest, nil)
	}
	return oldest != nil
}

func (p *Pool) dialled(c *conn, nc net.Conn, err error) {
	if err != nil || c.dead {
		if nc != nil {
			nc.Close()
		}
		if err != nil {
			p.Count.DialFailures++
			p.lost(c, err)
		}
		return
	}
	c.nc, c.up, c.idleAt, c.owesAt = nc, true, p.host.Now(), p.host.Now()
	go p.read(c)
	go p.write(c)
	for _, ex := range c.exchanges() {
		p.send(c, ex.first)
	}
}

func (p *Pool) read(c *conn) {
	b := lines.New(c.nc, mostLine)
	for {
		r, err := readReply(b)
		if err != nil {
			p.host.Post(func() {
				p.lost(c, err)
				p.left(c)
			})
			return
		}
		p.host.Post(func() { p.answer(c, r) })
	}
}

// write sends commands, as many at once as have come up.
func (p *Pool) write(c *conn) {
	for cmd := range c.out {
		batch := []command{cmd}
		for more := true; more && len(batch) < 64; {
			select {
			case cmd, ok := <-c.out:
				if more = ok; ok {
					batch = append(batch, cmd)
				}
			default:
				more = false
			}
		}
		if p.writeAll(c, batch) != nil {
			// Guards an answer that came in just before the connection broke: the
			// reader ends it, once it has read what is there.
			c.nc.SetReadDeadline(time.Now().Add(lastWords))
			p.host.Post(func() { c.deaf = true })
			break
		}
	}
	p.host.Post(func() { p.left(c) })
}

// left notes that a connection's reader or writer is done. With the last it is
// known how far the last command got, and what was answered.
func (p *Pool) left(c *conn) {
	if c.done++; c.done == 2 {
		p.settle(c)
	}
}

// writeAll writes the commands of a batch that still are to be written.
func (p *Pool) writeAll(c *conn, batch []command) error {
	now := p.host.Now()
	begins := false
	batch = slices.DeleteFunc(batch, func(cmd command) bool {
		if cmd.ex == nil {
			return false
		}
		if late := cmd.ex.late(now); late || !cmd.ex.stage.CompareAndSwap(waiting, written) {
			if late {
				p.host.Post(func() { p.withdraw(cmd.ex) })
			}
			return true
		}
		begins = true
		return false
	})
	if len(batch) == 0 {
		return nil
	}
	c.writing.Store(int64(now))
	ends := make([]int, len(batch)) // where each command ends in what is written
	n, err := 0, error(nil)
	if begins && lines.Ended(c.nc) {
		// Guards what begins against an engine that has just closed: written after
		// its close, nobody could tell whether it ran.
		err = io.EOF
	} else {
		n, err = lines.Write(c.nc, func(w *textproto.Writer) {
			at := 0
			put := func(b []byte) { w.W.Write(b); at += len(b) }
			for i, cmd := range batch {
				if cmd.ex != nil && cmd.ex.pull != nil {
					put([]byte(cmd.ex.pull.line(now)))
					put(crlf)
					put(cmd.ex.pull.statement)
				} else {
					put([]byte(cmd.line))
				}
				put(crlf)
				ends[i] = at
			}
		})
	}
	c.writing.Store(0)
	for i, cmd := range batch {
		switch {
		case err == nil && cmd.then != nil:
			p.host.Post(cmd.then)
		case cmd.ex == nil:
		case err != nil && (n == 0 || ends[i] > n):
			cmd.ex.stage.Store(cut) // an attempt is out only once it has reached an engine whole
		case !cmd.ex.probe:
			p.taken.Add(1)
		}
	}
	return err
}

var crlf = []byte("\r\n")

// lost closes a connection. What is open on it is settled once its writer has
// stopped: only then it is known how far the last command got.
func (p *Pool) lost(c *conn, err error) {
	if c.dead {
		return
	}
	c.dead = true
	c.ours = err == nil || errors.Is(err, errGarbage) || errors.Is(err, lines.ErrTooLong) || errors.Is(err, errStill)
	close(c.out)
	if c.nc != nil {
		c.nc.Close()
	}
	p.conns--
	c.m.conns = slices.DeleteFunc(c.m.conns, func(o *conn) bool { return o == c })
	if errors.Is(err, errGarbage) || errors.Is(err, lines.ErrTooLong) {
		if p.Count.Garbage++; p.Count.Garbage < mostLogged {
			p.host.Logf("engine %s: %v", c.m.id, err)
		}
	}
	if len(c.open) > 0 {
		p.Count.ConnsLost++
	}
	if c.short = errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE); c.short {
		p.Count.NoConn++
		if p.Count.NoConn < mostLogged {
			p.host.Logf("out of descriptors for engine %s", c.m.id)
		}
		if p.o.Short != nil {
			p.o.Short()
		}
	}
	if !c.up {
		p.settle(c)
	}
	if c.m.gone && len(c.m.conns) == 0 {
		delete(p.engines, c.m.id)
	}
}

// errStill ends a connection whose engine takes nothing.
var errStill = errors.New("its engine takes nothing")

// settle ends what was open on a lost connection. What was not written whole
// never ran; of the rest it is not known. What found no descriptor here was not
// sent: it must not count against an engine, or a front end that is short of them
// would shut out a fleet that is well.
func (p *Pool) settle(c *conn) {
	for _, ex := range c.exchanges() {
		p.Count.LostWith++
		res := control.Reset
		switch {
		case c.short:
			p.end(ex, control.Moot)
			continue
		case ex.stage.Load() != written:
			p.Count.Unsent++
			p.end(ex, control.ConnectFailed)
			continue
		case ex.stopped:
			res = control.Cancelled
		}
		if !c.ours {
			p.end(ex, res)
			continue
		}
		// Guards the rule of one attempt at a time: it is given up only when the
		// close has had time to arrive.
		p.host.After(wordMs, func() {
			if c.open[ex.id] == ex {
				p.end(ex, res)
			}
		})
	}
}

// end reports how an exchange ended.
func (p *Pool) end(ex *exchange, res control.Result) {
	if c := ex.conn; c != nil {
		if c.open[ex.id] == ex {
			delete(c.open, ex.id)
		}
		delete(c.m.out, attemptKey(ex.id, ex.attempt))
		if res != control.Served && !ex.stopped && !c.dead && ex.stage.Load() != withdrawn {
			c.past[ex.id] = true
			p.host.After(doubtMs, func() { delete(c.past, ex.id) })
		}
		if c.idleAt = p.host.Now(); len(c.open) == 0 && !c.dead && (c.m.gone || c.addr != c.m.addr) {
			defer p.lost(c, nil)
		}
	}
	if ex.probe {
		p.host.Probed(core.Probed{Engine: ex.conn.m.id, Result: res, Elapsed: p.host.Now() - ex.at, Report: ex.report})
		return
	}
	var rows any
	if res == control.Served {
		rows = ex.pages
	}
	p.host.Ended(core.AttemptEnded{ID: ex.id, Attempt: ex.attempt, Result: res, Work: ex.cpu, MemoryMB: ex.used,
		Report: ex.report}, rows)
}

// Stop gives an attempt up. Its end is reported once the engine's connection
// has taken the word, unless an answer comes first.
func (p *Pool) Stop(s core.Stop) {
	m := p.engines[s.Engine]
	if m == nil {
		return
	}
	ex := m.out[attemptKey(s.ID, s.Attempt)]
	if ex == nil || ex.stopped || p.withdraw(ex) {
		return
	}
	p.giveUp(ex, control.Cancelled)
}

// giveUp tells the engine that an attempt is given up, and reports its end by the
// result once the word has had time to arrive, unless an answer comes first.
func (p *Pool) giveUp(ex *exchange, res control.Result) {
	c := ex.conn
	ex.stopped = true
	c.killed[ex.id] = true
	p.host.After(doubtMs, func() { delete(c.killed, ex.id) })
	word := "KILL "
	if ex.acked {
		word = "DISCARD "
		p.Count.Discards++
	} else {
		p.Count.Kills++
	}
	// Guards the rule of one attempt at a time: what is sent next must not
	// overtake the word on its way to another engine, so the end is reported
	// only when the word has had time to arrive.
	p.send(c, command{line: word + ex.id, then: func() {
		p.host.After(wordMs, func() {
			if c.open[ex.id] == ex {
				p.end(ex, res)
			}
		})
	}})
}

// Rank gives an attempt a new priority.
func (p *Pool) Rank(r core.Rank) {
	m := p.engines[r.Engine]
	if m == nil {
		return
	}
	ex := m.out[attemptKey(r.ID, r.Attempt)]
	if ex != nil && ex.conn.up && !ex.stopped && !ex.acked {
		p.Count.Boosts++
		p.send(ex.conn, command{line: fmt.Sprintf("BOOST %s %d", r.ID, r.Priority)})
	}
}

// Probe asks an engine for its load.
func (p *Pool) Probe(id string) {
	m := p.engines[id]
	if m == nil || m.gone {
		return
	}
	c := p.pick(m, "")
	if c == nil {
		return
	}
	p.tag++
	p.Count.Probes++
	tag := fmt.Sprintf("m%d", p.tag)
	ex := &exchange{id: tag, conn: c, at: p.host.Now(), probe: true}
	ex.first = command{line: "METER " + tag, ex: ex}
	p.put(c, ex)
	p.host.After(probeTimeout, func() {
		if c.open[tag] == ex {
			p.end(ex, control.TimedOut)
		}
	})
}

func (p *Pool) answer(c *conn, r *reply) {
	if c.dead {
		return
	}
	c.owesAt = p.host.Now()
	p.countWord(c, r)
	ex := c.open[r.id]
	if ex == nil {
		// The end of what was given up, which crossed our word on its way, a second
		// copy, or an answer to nobody: none of them ends a good connection.
		p.Count.LateAnswers++
		if r.word == ack && c.killed[r.id] && r.number("batches") > 1 {
			p.Count.Discards++
			p.send(c, command{line: "DISCARD " + r.id})
		}
		return
	}
	if rep, spoilt := r.report(); rep != nil {
		ex.report = rep
	} else if spoilt {
		p.Count.SpoiltReports++
	}
	if ex.probe {
		res := control.Served
		if r.word != ready && r.word != ailing {
			res = control.Errored
		}
		p.end(ex, res)
		return
	}
	switch r.word {
	case ack:
		p.ack(c, ex, r)
	case block:
		p.page(c, ex, r)
	case again:
		p.end(ex, control.TurnedAway)
	case stale:
		p.end(ex, control.Moot)
	case ioError:
		if ex.acked {
			p.Count.PagesLost++
		}
		p.end(ex, control.Errored)
	case event:
		p.note(ex, r)
	case ready, ailing, unknownWord:
		// Only the words above end an attempt. After any other it may be running, so
		// it is given up before another may begin.
		if !ex.stopped {
			p.giveUp(ex, control.Reset)
		}
	}
}

// note passes on what an engine says of an attempt that goes on.
func (p *Pool) note(ex *exchange, r *reply) {
	kind, level, ok := r.note()
	if !ok {
		p.Count.SpoiltNotes++
		return
	}
	p.Count.Notes++
	if !ex.stopped && !ex.acked {
		p.host.Noted(core.Noted{ID: ex.id, Attempt: ex.attempt, Note: kind, Level: level})
	}
}

// countWord counts an answer by its word. One that is not known is logged with the
// request it came for: what follows from it would have no trace otherwise.
func (p *Pool) countWord(c *conn, r *reply) {
	if r.word != unknownWord {
		p.Count.Words[r.text]++
		return
	}
	if p.Count.UnknownWords++; p.Count.UnknownWords < mostLogged {
		p.host.Logf("engine %s: answer to %.40q with the unknown word %.20q", c.m.id, r.id, r.text)
	}
}

// ack takes page 0 and asks for all others at once: the result is served when
// the last is here, so what is lost before can still be asked for again.
func (p *Pool) ack(c *conn, ex *exchange, r *reply) {
	if ex.acked {
		p.Count.SecondCopies++
		return
	}
	n, err := r.count("batches")
	if err == nil && n > mostPages {
		err = fmt.Errorf("%w: %d pages", errGarbage, n)
	}
	if err == nil {
		err = checkPage(r.body)
	}
	if err != nil {
		p.lost(c, err)
		return
	}
	ex.acked, ex.cpu, ex.used = true, r.number("cpu"), r.number("used")
	ex.pages = make([][]byte, n)
	ex.pages[0], ex.have, ex.size = r.body, 1, len(r.body)
	if ex.stopped && n > 1 {
		// The word that gave it up crossed this answer: the pages are still held there.
		p.Count.Discards++
		p.send(c, command{line: "DISCARD " + ex.id})
		return
	}
	for k := 1; k < n; k++ {
		p.Count.Scrolls++
		p.send(c, command{line: fmt.Sprintf("SCROLL %s %d", ex.id, k)})
	}
	p.whole(c, ex)
}

func (p *Pool) page(c *conn, ex *exchange, r *reply) {
	k, err := r.count("batch")
	if err == nil && k < len(ex.pages) && ex.pages[k] != nil {
		p.Count.SecondCopies++
		return
	}
	if err == nil && (k >= len(ex.pages) || ex.size+len(r.body) > mostRows) {
		err = fmt.Errorf("%w: page %d of %d after %d bytes", errGarbage, k, len(ex.pages), ex.size)
	}
	if err == nil {
		err = checkPage(r.body)
	}
	if err != nil {
		p.lost(c, err)
		return
	}
	ex.pages[k] = append([]byte{}, r.body...)
	ex.have, ex.size = ex.have+1, ex.size+len(r.body)
	p.whole(c, ex)
}

func (p *Pool) whole(c *conn, ex *exchange) {
	if ex.have < len(ex.pages) || c.dead {
		return
	}
	if len(ex.pages) > 1 {
		p.Count.Discards++
		p.send(c, command{line: "DISCARD " + ex.id})
	}
	if !c.dead {
		p.end(ex, control.Served)
	}
}

// sweep closes connections before their engine does: a request must not cross
// the engine's close, as nobody could tell then whether it ran.
func (p *Pool) sweep() {
	for _, m := range p.engines {
		for _, c := range slices.Clone(m.conns) {
			// Guards what waits behind a writer that stands still: it may go elsewhere
			// long before its deadline.
			for _, ex := range c.exchanges() {
				if ex.late(p.host.Now()) {
					p.withdraw(ex)
				}
			}
			if at := c.writing.Load(); at > 0 && p.host.Now()-float64(at) > writeIn {
				p.lost(c, errStill)
			} else if c.up && len(c.open) == 0 && p.host.Now()-c.idleAt > 0.6*float64(p.o.Idle.Milliseconds()) {
				p.lost(c, nil)
			}
		}
	}
	p.host.After(500, p.sweep)
}

// Taken is how many requests were written whole to engines.
func (p *Pool) Taken() int { return int(p.taken.Load()) }

// Conns is how many connections there are.
func (p *Pool) Conns() int { return p.conns }
