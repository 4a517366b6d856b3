package engineclient

import (
	"io"
	"net"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"dewhill/control"
	"dewhill/internal/dispatch"
)

// recordingLoop is a fakeLoop that records the events that are reported to it.
type recordingLoop struct {
	fakeLoop
	ends     map[string]dispatch.AttemptEnded
	pages    map[string]any
	statuses []dispatch.AttemptStatus
	probes   []dispatch.ProbeEnded
}

func (l *recordingLoop) AttemptEnded(ev dispatch.AttemptEnded, pages any) {
	l.ends[ev.RequestID], l.pages[ev.RequestID] = ev, pages
}
func (l *recordingLoop) AttemptStatus(ev dispatch.AttemptStatus) { l.statuses = append(l.statuses, ev) }
func (l *recordingLoop) ProbeEnded(ev dispatch.ProbeEnded)       { l.probes = append(l.probes, ev) }

// goldenSession is a session with a fake engine in which both sides send the golden lines.
type goldenSession struct {
	t          *testing.T
	lines      map[string]string
	loop       *recordingLoop
	pool       *Pool
	engineSide net.Conn
}

func newGoldenSession(t *testing.T) *goldenSession {
	t.Helper()
	text, err := os.ReadFile("testdata/compat/lines.txt")
	if err != nil {
		t.Fatal(err)
	}
	s := &goldenSession{t: t, lines: map[string]string{}}
	for line := range strings.Lines(string(text)) {
		name, quoted, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if s.lines[name], err = strconv.Unquote(quoted); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
	}
	s.loop = &recordingLoop{ends: map[string]dispatch.AttemptEnded{}, pages: map[string]any{}}
	s.loop.posted = make(chan func(), 64)
	var timers []func()
	s.loop.timers = &timers
	s.pool = New(s.loop, Options{Classes: []string{"load", "lookup"}, StreamsPerConnection: 32, MaxConnections: 4, IdleTimeout: time.Minute})
	s.pool.SetEndpoint("s-1", "127.0.0.1:1", false, false)
	e := s.pool.engines["s-1"]
	clientSide, engineSide := net.Pipe()
	c := newConnection(e)
	c.socket = clientSide
	c.connected = true
	e.connections = []*connection{c}
	s.pool.connectionCount = 1
	s.engineSide = engineSide
	go s.pool.readLoop(c)
	go s.pool.writeLoop(c)
	t.Cleanup(func() { _ = engineSide.Close() })
	return s
}

// expectWritten reads what the pool writes to the engine and compares it with the
// golden line of a name.
func (s *goldenSession) expectWritten(name string) {
	s.t.Helper()
	want, ok := s.lines[name]
	if !ok {
		s.t.Fatalf("no line %q", name)
	}
	delete(s.lines, name)
	got := make([]byte, len(want))
	_ = s.engineSide.SetReadDeadline(time.Now().Add(time.Minute))
	if n, err := io.ReadFull(s.engineSide, got); string(got) != want {
		s.t.Fatalf("%s: %q, %v, want %q", name, got[:n], err, want)
	}
}

// reply sends the golden line of a name as the engine, and runs the event loop until
// a condition holds.
func (s *goldenSession) reply(name string, until func() bool) {
	s.t.Helper()
	text, ok := s.lines[name]
	if !ok {
		s.t.Fatalf("no line %q", name)
	}
	delete(s.lines, name)
	if _, err := io.WriteString(s.engineSide, text); err != nil {
		s.t.Fatal(err)
	}
	for end := time.After(time.Minute); !until(); {
		select {
		case f := <-s.loop.posted:
			f()
		case <-end:
			s.t.Fatalf("%s was not handled", name)
		}
	}
}

func (s *goldenSession) startAttempt(id string, class, priority int, query dispatch.Query) {
	s.pool.StartAttempt(dispatch.StartAttempt{RequestID: id, Engine: "s-1", DeadlineAtMS: 1500, Priority: priority}, class, query)
}

// replyEnding sends a golden line that ends an attempt, and checks the reported end.
func (s *goldenSession) replyEnding(name, id string, want dispatch.AttemptEnded) {
	s.t.Helper()
	over := func() bool { _, ended := s.loop.ends[id]; return ended }
	s.reply(name, over)
	if want.RequestID = id; !reflect.DeepEqual(s.loop.ends[id], want) {
		s.t.Errorf("%s: %+v, want %+v", name, s.loop.ends[id], want)
	}
}

// TestCompatLines checks each line that engines read and send against the golden file:
// engines of other versions must understand them.
func TestCompatLines(t *testing.T) {
	s := newGoldenSession(t)
	s.startAttempt("a", 0, 1, dispatch.Query{Statement: []byte("select 1\nfrom stock"), IdempotencyKey: "k-1"})
	s.expectWritten("pull with a key")
	s.startAttempt("b", 1, 2, query)
	s.expectWritten("pull without a key")
	s.pool.SetPriority(dispatch.SetPriority{RequestID: "a", Engine: "s-1", Priority: 7})
	s.expectWritten("boost")

	for i, name := range []string{"still there", "share done", "memory short", "held up"} {
		s.reply(name, func() bool { return len(s.loop.statuses) == i+1 })
	}
	if want := []dispatch.AttemptStatus{
		{RequestID: "a", Kind: dispatch.AttemptAlive},
		{RequestID: "a", Kind: dispatch.AttemptProgress, Value: 0.25},
		{RequestID: "a", Kind: dispatch.AttemptShortOfMemory, Value: 96},
		{RequestID: "a", Kind: dispatch.AttemptBlocked, Value: 2},
	}; !reflect.DeepEqual(s.loop.statuses, want) {
		t.Errorf("statuses %+v, want %+v", s.loop.statuses, want)
	}

	s.reply("first page", func() bool { return s.pool.Counters.PageRequests == 2 })
	s.expectWritten("scrolls")
	s.replyEnding("further pages", "a", dispatch.AttemptEnded{Result: control.Served, WorkMS: 12.5, MemoryMB: 96,
		LoadReport: &control.LoadReport{InFlight: 7, Queued: 3, BusyFraction: 0.61, MemoryFraction: 0.5, DiskFraction: 0.25}})
	s.expectWritten("discard")
	if want := [][]byte{[]byte("r1\t1\té\n"), []byte("r2\t2\tx\n"), []byte("r3\t3\tx\n")}; !reflect.DeepEqual(s.loop.pages["a"], any(want)) {
		t.Errorf("pages %q, want %q", s.loop.pages["a"], want)
	}

	s.pool.CancelAttempt(dispatch.CancelAttempt{RequestID: "b", Engine: "s-1"})
	s.expectWritten("kill")
	s.pool.Probe("s-1")
	s.expectWritten("meter")
	s.reply("ready", func() bool { return len(s.loop.probes) == 1 })
	s.pool.Probe("s-1")
	s.expectWritten("second meter")
	s.reply("ailing", func() bool { return len(s.loop.probes) == 2 })
	if want := []dispatch.ProbeEnded{
		{Engine: "s-1", Result: control.Served, LoadReport: &control.LoadReport{InFlight: 4, Queued: 2, BusyFraction: 0.5, MemoryFraction: -1, DiskFraction: -1}},
		{Engine: "s-1", Result: control.Served},
	}; !reflect.DeepEqual(s.loop.probes, want) {
		t.Errorf("probes %+v, want %+v", s.loop.probes, want)
	}

	s.startAttempt("c", 1, 0, query)
	s.expectWritten("pull c")
	s.replyEnding("again", "c", dispatch.AttemptEnded{Result: control.Rejected,
		LoadReport: &control.LoadReport{InFlight: 9, Queued: -1, BusyFraction: -1, MemoryFraction: -1, DiskFraction: -1}})
	s.startAttempt("d", 1, 0, query)
	s.expectWritten("pull d")
	s.replyEnding("stale", "d", dispatch.AttemptEnded{Result: control.NotSent})
	s.startAttempt("e", 1, 0, query)
	s.expectWritten("pull e")
	s.replyEnding("error", "e", dispatch.AttemptEnded{Result: control.Errored})
	s.startAttempt("f", 1, 0, query)
	s.expectWritten("pull f")
	s.replyEnding("one page", "f", dispatch.AttemptEnded{Result: control.Served})
	s.startAttempt("g", 1, 0, query)
	s.expectWritten("pull g")
	s.reply("unknown word", func() bool { return s.pool.Counters.UnknownVerbs == 1 })
	s.expectWritten("kill g")
	s.startAttempt("h", 1, 0, query)
	s.expectWritten("pull h")
	s.reply("two pages", func() bool { return s.pool.Counters.PageRequests == 3 })
	s.expectWritten("scroll h")
	s.pool.CancelAttempt(dispatch.CancelAttempt{RequestID: "h", Engine: "s-1"})
	s.expectWritten("discard h")

	if len(s.lines) > 0 {
		t.Errorf("golden lines that were not used: %q", s.lines)
	}
	// Operators read these verbs as keys of the counters.
	if want := map[string]int{"ACK": 3, "BLOCK": 2, "EVENT": 4, "AGAIN": 1, "STALE": 1, "EIO": 1, "READY": 1, "AILING": 1}; !reflect.DeepEqual(s.pool.Counters.RepliesByVerb, want) {
		t.Errorf("replies by verb %v, want %v", s.pool.Counters.RepliesByVerb, want)
	}
}

// TestCompatReports checks the names of the values in load reports, which engines write.
func TestCompatReports(t *testing.T) {
	for _, c := range []struct {
		text string
		want control.LoadReport
	}{
		{"inflight:1;queue:2;util:0.3;x0:0.4;x1:0.5", control.LoadReport{InFlight: 1, Queued: 2, BusyFraction: 0.3, MemoryFraction: 0.4, DiskFraction: 0.5}},
		{"rif:1;q:2;busy:0.3", control.LoadReport{InFlight: 1, Queued: 2, BusyFraction: 0.3, MemoryFraction: -1, DiskFraction: -1}},
	} {
		r := &reply{fields: map[string]string{"load": c.text}}
		if report, malformed := r.loadReport(); malformed || report == nil || *report != c.want {
			t.Errorf("%s: %+v, malformed %v, want %+v", c.text, report, malformed, c.want)
		}
	}
}
