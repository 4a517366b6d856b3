package acceptance

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// The ids of requests that tests name begin with an f: those that call makes up never do.

// settingsOf returns a part of a configuration's settings.
func settingsOf(settings map[string]any, part string) map[string]any {
	return settings[part].(map[string]any)
}

// classOf returns the settings of a class.
func classOf(settings map[string]any, name string) map[string]any {
	for _, class := range settings["categories"].([]any) {
		if class := class.(map[string]any); class["name"] == name {
			return class
		}
	}
	return nil
}

// newEngines starts so many engines that respond alike.
func newEngines(t *testing.T, count int, respond func(fakes.Attempt) fakes.Behavior) []*fakes.Engine {
	t.Helper()
	var engines []*fakes.Engine
	for i := range count {
		engines = append(engines, fakes.NewEngine(t, fmt.Sprintf("s-%d", i), respond))
	}
	return engines
}

// attemptsOf returns a request's attempts in the order of their arrival.
func attemptsOf(engines []*fakes.Engine, id string) (list []fakes.Attempt) {
	for _, a := range attemptsAt(engines) {
		if a.ID == id {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b fakes.Attempt) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	return list
}

// counters ends a front end and returns a group of the counters that it prints last.
func (fr *frontEnd) counters(group string) map[string]any {
	return fr.process.Stop()[group].(map[string]any)
}

// TestAllTriesHaveOneIdempotencyKey checks that all attempts of a load have its key, and
// that a client's own retry, which has an id of its own and the key of the first try, is
// taken and forwarded with it.
func TestAllTriesHaveOneIdempotencyKey(t *testing.T) {
	const firstID, retryID, token = "f0000000000000a1", "f0000000000000a2", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	engines := newEngines(t, 3, func(a fakes.Attempt) fakes.Behavior {
		if a.ID == firstID {
			return fakes.Behavior{Verb: "EIO"} // it may have run
		}
		return fakes.Behavior{Duration: 5 * time.Millisecond, Pages: pagesOf(a.ID)}
	})
	f := start(t, deployment{fronts: 1, cores: 8}, engines)
	call := func(id string) fakes.Outcome {
		return f.call(f.fronts[0], fakes.Request{
			ID: id, Class: entry, Key: "set-1", IdempotencyKey: token, Statement: "INSERT", Timeout: 4 * time.Second,
		})
	}
	if r := call(firstID); r.Status != 502 {
		t.Errorf("a load whose attempts all fail: status %d, %q", r.Status, r.Err)
	}
	time.Sleep(keySpacing)
	if r := call(retryID); !r.Served() {
		t.Errorf("the client's retry: status %d, %q", r.Status, r.Err)
	}
	first, retry := attemptsOf(engines, firstID), attemptsOf(engines, retryID)
	if len(first) < 2 || len(retry) != 1 {
		t.Errorf("%d attempts of the first try, %d of the retry", len(first), len(retry))
	}
	for _, a := range append(first, retry...) {
		if a.Fields["i"] != token {
			t.Errorf("%s at %s has the key %q", a.ID, a.Engine, a.Fields["i"])
		}
	}
	f.checkRules()
}

// TestNoRepeatAfterTheWindow checks that a load that may have run is repeated only while
// engines drop a repeat of its key, counted from its first attempt.
func TestNoRepeatAfterTheWindow(t *testing.T) {
	const window = 800 * time.Millisecond
	failAfter := map[string]time.Duration{"early": 20 * time.Millisecond, "late": window + 100*time.Millisecond}
	var mu sync.Mutex
	attempts := map[string]int{}
	engines := newEngines(t, 3, func(a fakes.Attempt) fakes.Behavior {
		mu.Lock()
		defer mu.Unlock()
		attempts[a.ID]++
		if attempts[a.ID] == 1 {
			return fakes.Behavior{Duration: failAfter[a.Statement], Verb: "EIO"}
		}
		return fakes.Behavior{Duration: 5 * time.Millisecond, Pages: pagesOf(a.ID)}
	})
	f := start(t, deployment{fronts: 1, cores: 8, configure: func(config *fakes.ProgramConfig, settings map[string]any) {
		classOf(settings, entry)["windowMs"] = window.Milliseconds()
		settingsOf(settings, "domain")["progressMs"] = 0 // no notes come, and none are missed
	}}, engines)
	call := func(statement string) fakes.Outcome {
		q := fakes.Request{Class: entry, Key: statement, Statement: statement, Timeout: 4 * time.Second}
		return f.call(f.fronts[0], q)
	}
	early := call("early")
	made := attemptsOf(engines, early.ID)
	if !early.Served() || len(made) != 2 || made[1].ReceivedAt.Sub(made[0].ReceivedAt) > window {
		t.Errorf("within the window: status %d, attempts %+v", early.Status, made)
	}
	late := call("late")
	if made := attemptsOf(engines, late.ID); late.Status != 502 || len(made) != 1 {
		t.Errorf("after the window: status %d, attempts %+v", late.Status, made)
	}
	f.checkRules()
}

// TestKeyRests checks that after an attempt that may still run, as it timed out, was reset
// or was cancelled, the next request of its key is held for the time in the settings and
// sent soon after it.
func TestKeyRests(t *testing.T) {
	const slack = 1500 * time.Millisecond // of a busy machine
	for _, c := range []struct {
		name     string
		first    fakes.Request
		response fakes.Behavior // to the first attempt
		end      fakes.End      // of the first attempt
	}{
		{
			"time-out", fakes.Request{Timeout: 700 * time.Millisecond},
			fakes.Behavior{NeverReplies: true}, fakes.Cancelled,
		},
		{
			"reset", fakes.Request{Timeout: 4 * time.Second},
			fakes.Behavior{Duration: 600 * time.Millisecond, Reset: true}, fakes.ConnectionClosed,
		},
		{
			"cancel", fakes.Request{Timeout: 4 * time.Second, DisconnectAfter: 600 * time.Millisecond},
			fakes.Behavior{NeverReplies: true}, fakes.Cancelled,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var once sync.Once
			engines := newEngines(t, 2, func(a fakes.Attempt) fakes.Behavior {
				response := fakes.Behavior{Duration: 5 * time.Millisecond, Pages: pagesOf(a.ID)}
				once.Do(func() { response = c.response })
				return response
			})
			f := start(t, deployment{fronts: 1, cores: 8, configure: func(config *fakes.ProgramConfig, settings map[string]any) {
				settingsOf(settings, "domain")["progressMs"] = 0 // no notes come, and none are missed
			}}, engines)
			var all sync.WaitGroup
			c.first.ID, c.first.Class, c.first.Key = "f0000000000000b1", entry, "set-1"
			all.Go(func() { f.call(f.fronts[0], c.first) })
			time.Sleep(keySpacing)
			next := f.call(f.fronts[0], fakes.Request{Class: entry, Key: "set-1", Timeout: 8 * time.Second})
			all.Wait()
			first, sent := attemptsOf(engines, c.first.ID), attemptsOf(engines, next.ID)
			if len(first) == 0 || first[0].End != c.end || !next.Served() || len(sent) != 1 {
				t.Fatalf("first %+v, next %+v with %d attempts", first, next, len(sent))
			}
			rest := sent[0].ReceivedAt.Sub(first[0].EndedAt)
			if rest < keySettle-fakes.Tolerance || rest > keySettle+slack {
				t.Errorf("the next of the key was sent %v after the end, want %v", rest, keySettle)
			}
			f.checkRules()
		})
	}
}

// noteInterval is the time between an engine's notes.
const noteInterval = time.Second

// malformedNotes are notes that say nothing that can be used.
var malformedNotes = []string{
	"note=share,num=7", "note=share,num=-0.1", "note=share", "num=0.5", "note=short,num=NaN",
	"note=short,num=-96", "note=held,num=3", "note=held,num=0", "note=later,num=1", "note=share,num=half",
}

// wellFormedNotes are the notes of the protocol.
var wellFormedNotes = []string{
	"note=held,num=2", "note=short,num=96", "note=share,num=0.5", "note=held,num=1", "-",
}

// spread returns notes that come one after another within a time.
func spread(notes []string, within time.Duration) (list []fakes.StatusNote) {
	for i, fields := range notes {
		after := within * time.Duration(i) / time.Duration(len(notes))
		list = append(list, fakes.StatusNote{After: after, Fields: fields})
	}
	return list
}

// TestNotesReachTheDecisions checks that an attempt of which well-formed notes come each
// second goes on, also with malformed ones between them, and that an attempt of which only
// malformed notes come counts as one that is silent: they are dropped and counted, end
// nothing by themselves, and are no sign of life.
func TestNotesReachTheDecisions(t *testing.T) {
	var mixed []string
	for i, fields := range wellFormedNotes {
		mixed = append(mixed, malformedNotes[2*i], fields, malformedNotes[2*i+1])
	}
	for _, c := range []struct {
		name                   string
		notes                  []string
		attempts               int
		passedOn               int
		minDropped, maxDropped int
	}{
		{"mixed", mixed, 1, len(wellFormedNotes), len(malformedNotes), len(malformedNotes)},
		// The attempt is cancelled on the way, and some of its notes may come after that.
		{"malformed alone", malformedNotes, 2, 0, len(malformedNotes) / 3, len(malformedNotes)},
	} {
		t.Run(c.name, func(t *testing.T) {
			const takes = 5 * noteInterval
			var once sync.Once
			engines := newEngines(t, 2, func(a fakes.Attempt) fakes.Behavior {
				response := fakes.Behavior{Duration: 5 * time.Millisecond, Pages: pagesOf(a.ID)}
				once.Do(func() {
					response.Duration = takes
					response.Notes = spread(c.notes, takes)
				})
				return response
			})
			f := start(t, deployment{fronts: 1, cores: 8, configure: func(config *fakes.ProgramConfig, settings map[string]any) {
				settingsOf(settings, "domain")["progressMs"] = noteInterval.Milliseconds()
			}}, engines)
			r := f.call(f.fronts[0], fakes.Request{Class: entry, Key: "set-1", Timeout: 15 * time.Second})
			made := attemptsOf(engines, r.ID)
			if !r.Served() || len(made) != c.attempts {
				t.Fatalf("status %d, %d attempts, want %d", r.Status, len(made), c.attempts)
			}
			if lasted := made[0].EndedAt.Sub(made[0].ReceivedAt); lasted < 2*noteInterval {
				t.Errorf("the first attempt ended after %v", lasted)
			}
			f.checkRules()
			counters := f.fronts[0].counters("engines")
			dropped := int(counters["SpoiltNotes"].(float64))
			if counters["Notes"] != float64(c.passedOn) || dropped < c.minDropped || dropped > c.maxDropped {
				t.Errorf("%v notes passed on, %d dropped", counters["Notes"], dropped)
			}
			if counters["UnknownWords"] != 0.0 || counters["Garbage"] != 0.0 {
				t.Errorf("counters %v", counters)
			}
		})
	}
}

// TestConnectTimeoutOfTheSettings checks that a connection to a machine that says nothing
// is given up after the time in the settings, and that the request, which never ran, is
// served elsewhere.
func TestConnectTimeoutOfTheSettings(t *testing.T) {
	const timeout, slack = 250 * time.Millisecond, 1500 * time.Millisecond
	engines := newEngines(t, 1, func(a fakes.Attempt) fakes.Behavior {
		return fakes.Behavior{Duration: 5 * time.Millisecond, Pages: pagesOf(a.ID)}
	})
	silent := endpoint(&fakes.Engine{ID: "s-silent", Addr: unreachableAddr(t)}, fakes.Active)
	hosts := []fakes.Endpoint{endpoint(engines[0], fakes.Active), silent}
	f := startOn(t, deployment{fronts: 1, cores: 8}, engines, hosts)
	waited := 0
	for range 8 {
		// A load that must not run twice: that nothing was sent must be certain.
		r := f.call(f.fronts[0], fakes.Request{Class: load, Timeout: 4 * time.Second})
		took := r.Ended.Sub(r.Sent)
		if !r.Served() || took > timeout+slack {
			t.Errorf("status %d, %q after %v", r.Status, r.Err, took)
		}
		if took >= timeout {
			waited++
		}
	}
	f.checkRules()
	counters := f.fronts[0].counters("engines")
	if waited == 0 || counters["DialFailures"] == 0.0 {
		t.Errorf("%d requests waited for the silent machine, counters %v", waited, counters)
	}
}

// unreachableAddr returns an address whose connections never come up: its backlog is full,
// and nobody accepts.
func unreachableAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// TestNothingThatTheSettingsForbid checks that a front end sends no probe, no priority and
// no datagram where the settings have none, though it is given a peer; and, so that this
// says something, that it does send datagrams and priorities where they allow them.
func TestNothingThatTheSettingsForbid(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		t.Run(fmt.Sprint("allowed ", allowed), func(t *testing.T) {
			var datagrams atomic.Int32
			peer := countDatagrams(t, &datagrams)
			engines := newEngines(t, 3, func(a fakes.Attempt) fakes.Behavior {
				return fakes.Behavior{Duration: 20 * time.Millisecond, Pages: pagesOf(a.ID)}
			})
			listen := testprocess.FreeAddr(t)
			f := start(t, deployment{fronts: 1, replicas: 2, cores: 8, configure: func(config *fakes.ProgramConfig, settings map[string]any) {
				config.PeerListen = listen
				config.Peers = []string{listen, peer}
				settingsOf(settings, "limits")["mayTell"] = allowed
				settingsOf(settings, "domain")["takesPriority"] = allowed
			}}, engines)
			for k := range 40 {
				f.call(f.fronts[0], fakes.Request{Class: []string{lookup, report}[k%2], Timeout: 4 * time.Second})
			}
			if allowed {
				testprocess.Until(t, "a datagram", func() bool { return datagrams.Load() > 0 })
			}
			probes, priorities := 0, map[string]bool{}
			for _, e := range engines {
				probes += e.CommandCount("METER") + e.CommandCount("ECHO")
				if n := e.CommandCount("BOOST"); n > 0 && !allowed {
					t.Errorf("%d priorities changed", n)
				}
			}
			for _, a := range attemptsAt(engines) {
				priorities[a.Fields["nice"]] = true
			}
			if probes > 0 || !allowed && (datagrams.Load() > 0 || len(priorities) != 1 || !priorities["1"]) {
				t.Errorf("%d probes, %d datagrams, priorities %v", probes, datagrams.Load(), priorities)
			}
			if allowed && len(priorities) != 2 {
				t.Errorf("priorities %v, want those of two classes", priorities)
			}
			counters := f.fronts[0].process.Stop()
			told := counters["node"].(map[string]any)["Told"].(float64)
			if sent := counters["engines"].(map[string]any)["Probes"]; sent != 0.0 || (told > 0) != allowed {
				t.Errorf("%v probes, %v messages to peers", sent, told)
			}
		})
	}
}

// countDatagrams listens for datagrams until the test ends, and returns its address.
func countDatagrams(t *testing.T, count *atomic.Int32) string {
	t.Helper()
	conn := listenDatagrams(t)
	go func() {
		buffer := make([]byte, 1024)
		for {
			n, _, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			count.Add(1)
			if n > maxDatagramBytes {
				t.Errorf("a datagram of %d bytes", n)
			}
		}
	}()
	return conn.LocalAddr().String()
}

// maxDatagramBytes bounds a datagram between front ends.
const maxDatagramBytes = 256

// TestDatagramsThatMeanNothing checks that datagrams of strangers, too long ones and those
// of a kind that is not known are counted and change nothing, and that those of a peer are
// taken.
func TestDatagramsThatMeanNothing(t *testing.T) {
	engines := newEngines(t, 2, func(a fakes.Attempt) fakes.Behavior {
		return fakes.Behavior{Duration: 5 * time.Millisecond, Pages: pagesOf(a.ID)}
	})
	peer, stranger := listenDatagrams(t), listenDatagrams(t)
	listen := testprocess.FreeAddr(t)
	f := start(t, deployment{fronts: 1, replicas: 2, cores: 8, configure: func(config *fakes.ProgramConfig, settings map[string]any) {
		config.PeerListen = listen
		config.Peers = []string{listen, peer.LocalAddr().String()}
		settingsOf(settings, "limits")["mayTell"] = true
	}}, engines)
	const each = 5
	to, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		t.Fatal(err)
	}
	send := func(from net.PacketConn, datagram []byte) {
		for range each {
			if _, err := from.WriteTo(datagram, to); err != nil {
				t.Error(err)
			}
		}
	}
	send(stranger, []byte{0x3f, 0x80, 0, 0})
	send(peer, make([]byte, maxDatagramBytes+1))
	send(peer, []byte("\xd1\x77 of a kind that is not known"))
	send(peer, []byte("\xff\xff\xff\xff\xff\xff\xff\xff"))
	send(peer, []byte{0x3f, 0x80, 0, 0}) // demand of 1
	send(peer, nil)
	for range 10 {
		if r := f.call(f.fronts[0], fakes.Request{Class: lookup, Timeout: 4 * time.Second}); !r.Served() {
			t.Errorf("status %d, %q", r.Status, r.Err)
		}
	}
	counters := f.fronts[0].counters("node")
	for _, name := range []string{"Strange", "Foreign", "Heard"} {
		if counters[name] != float64(2*each) {
			t.Errorf("counter %s is %v, want %d", name, counters[name], 2*each)
		}
	}
}

// listenDatagrams returns a socket for datagrams that is closed with the test.
func listenDatagrams(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestNothingNewAfterADrain checks that an engine whose drain is published gets no new
// attempt later than the grace after it, and finishes what it has.
func TestNothingNewAfterADrain(t *testing.T) {
	const slow = "UPDATE count_1.sheets"
	engines := newEngines(t, 3, func(a fakes.Attempt) fakes.Behavior {
		response := fakes.Behavior{Duration: 20 * time.Millisecond, Pages: pagesOf(a.ID)}
		if a.Statement == slow {
			response.Duration = drainGrace + time.Second
		}
		return response
	})
	f := start(t, deployment{fronts: 2, cores: 8, configure: func(config *fakes.ProgramConfig, settings map[string]any) {
		settingsOf(settings, "domain")["progressMs"] = 0 // no notes come, and none are missed
	}}, engines)
	const loadID = "f0000000000000c1"
	var loads, lookups sync.WaitGroup
	loads.Go(func() {
		r := f.call(f.fronts[0], fakes.Request{ID: loadID, Class: load, Statement: slow, Timeout: 9 * time.Second})
		if !r.Served() {
			t.Errorf("the load that runs as its engine drains: status %d, %q", r.Status, r.Err)
		}
	})
	testprocess.Until(t, "the load's attempt", func() bool { return len(attemptsOf(engines, loadID)) == 1 })
	var over atomic.Bool
	for k := range 6 {
		lookups.Go(func() {
			for !over.Load() {
				f.call(f.fronts[k%2], fakes.Request{Class: lookup, Timeout: 4 * time.Second})
			}
		})
	}
	drained := attemptsOf(engines, loadID)[0].Engine
	for _, e := range engines {
		if e.ID == drained {
			f.mu.Lock()
			f.drainedAt[drained] = time.Now()
			f.mu.Unlock()
			f.discovery.Publish(endpoint(e, fakes.Draining))
		}
	}
	loads.Wait()
	over.Store(true)
	lookups.Wait()
	f.checkRules()
	if made := attemptsOf(engines, loadID); len(made) != 1 || made[0].End != fakes.Replied {
		t.Errorf("the load's attempts: %+v", made)
	}
}

// TestInvalidSettingEndsTheProgram checks that a front end with a setting that can't be
// used ends at once with one line that names it.
func TestInvalidSettingEndsTheProgram(t *testing.T) {
	engines := newEngines(t, 1, nil)
	for key, change := range map[string]func(map[string]any){
		"limits.connectTimeoutMs":      func(s map[string]any) { settingsOf(s, "limits")["connectTimeoutMs"] = -250 },
		"limits.streamsPerConn":        func(s map[string]any) { settingsOf(s, "limits")["streamsPerConn"] = "100" },
		"reporting.via":                func(s map[string]any) { settingsOf(s, "reporting")["via"] = "letters" },
		`unknown effect "keyed"`:       func(s map[string]any) { classOf(s, entry)["effect"] = "keyed" },
		"contract.orderSettleMs: -300": func(s map[string]any) { settingsOf(s, "contract")["orderSettleMs"] = -300 },
	} {
		t.Run(key, func(t *testing.T) {
			discovery := fakes.NewDiscovery(t, []fakes.Endpoint{endpoint(engines[0], fakes.Active)})
			configure := func(_ *fakes.ProgramConfig, settings map[string]any) { change(settings) }
			d := deployment{fronts: 1, cores: 8, configure: configure}
			f := &fleet{t: t, deployment: d, discovery: discovery, discoveryAddr: discovery.Addr}
			fr := f.front(0)
			env := []string{"PROXY_CONFIG=" + fr.path, "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_CONTROL="}
			p := testprocess.Start(t, env)
			if code := p.Wait(); code != 1 || strings.Count(p.Log(), "\n") != 1 || !strings.Contains(p.Log(), key) {
				t.Errorf("exit status %d, log %q", code, p.Log())
			}
		})
	}
}
