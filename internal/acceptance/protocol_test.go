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

// Request IDs that are written out in tests begin with an f. IDs that call generates never do.

// settingsSection returns a section of the settings.
func settingsSection(settings map[string]any, section string) map[string]any {
	return settings[section].(map[string]any)
}

// classSettings returns the settings of a class.
func classSettings(settings map[string]any, name string) map[string]any {
	for _, class := range settings["categories"].([]any) {
		if class := class.(map[string]any); class["name"] == name {
			return class
		}
	}
	return nil
}

// newEngines starts count engines with the same respond function.
func newEngines(t *testing.T, count int, respond func(fakes.Attempt) fakes.Behavior) []*fakes.Engine {
	t.Helper()
	var engines []*fakes.Engine
	for i := range count {
		engines = append(engines, fakes.NewEngine(t, fmt.Sprintf("s-%d", i), respond))
	}
	return engines
}

// attemptsOf returns the attempts of a request that engines have received, by time.
func attemptsOf(engines []*fakes.Engine, id string) (list []fakes.Attempt) {
	for _, a := range attemptsAt(engines) {
		if a.ID == id {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b fakes.Attempt) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	return list
}

// counters stops a front end and returns a group of the counters that it prints at its end.
func (fr *frontEnd) counters(group string) map[string]any {
	return fr.process.Stop()[group].(map[string]any)
}

// TestAllAttemptsHaveOneIdempotencyKey checks that all attempts of an entry have its idempotency
// key, and that a client's own retry, which has another request ID and the same key, is
// accepted and forwarded with that key.
func TestAllAttemptsHaveOneIdempotencyKey(t *testing.T) {
	const firstID, retryID, token = "f0000000000000a1", "f0000000000000a2", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	engines := newEngines(t, 3, func(a fakes.Attempt) fakes.Behavior {
		if a.ID == firstID {
			return fakes.Behavior{Verb: "EIO"} // the attempt may have run
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
		t.Errorf("an entry whose attempts all fail: status %d, %q, want status 502", r.Status, r.Err)
	}
	time.Sleep(keyRequestInterval)
	if r := call(retryID); !r.Served() {
		t.Errorf("the client's retry: status %d, %q", r.Status, r.Err)
	}
	first, retry := attemptsOf(engines, firstID), attemptsOf(engines, retryID)
	if len(first) < 2 || len(retry) != 1 {
		t.Errorf("%d attempts of the first request, want 2 or more; %d of the retry, want 1", len(first), len(retry))
	}
	for _, a := range append(first, retry...) {
		if a.Fields["i"] != token {
			t.Errorf("attempt of %s at %s has the idempotency key %q", a.ID, a.Engine, a.Fields["i"])
		}
	}
	f.checkRules()
}

// TestNoRetryAfterIdempotencyWindow checks that an entry that may have run is retried only
// within the time for which engines deduplicate requests by the idempotency key, counted from
// its first attempt.
func TestNoRetryAfterIdempotencyWindow(t *testing.T) {
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
		classSettings(settings, entry)["windowMs"] = window.Milliseconds()
		settingsSection(settings, "domain")["progressMs"] = 0 // engines need not send statuses
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

// TestOrderKeyIsHeldAfterUnconfirmedEnd checks that the next request of an order key is held
// for the time in the settings, and sent soon after that time, if the last attempt of the key
// may still be running because it timed out, was reset or was cancelled.
func TestOrderKeyIsHeldAfterUnconfirmedEnd(t *testing.T) {
	const slack = 1500 * time.Millisecond // allowed on a busy host
	for _, c := range []struct {
		name     string
		first    fakes.Request
		response fakes.Behavior // of the engine to the first attempt
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
				settingsSection(settings, "domain")["progressMs"] = 0 // engines need not send statuses
			}}, engines)
			var all sync.WaitGroup
			c.first.ID, c.first.Class, c.first.Key = "f0000000000000b1", entry, "set-1"
			all.Go(func() { f.call(f.fronts[0], c.first) })
			time.Sleep(keyRequestInterval)
			next := f.call(f.fronts[0], fakes.Request{Class: entry, Key: "set-1", Timeout: 8 * time.Second})
			all.Wait()
			first, sent := attemptsOf(engines, c.first.ID), attemptsOf(engines, next.ID)
			if len(first) == 0 || first[0].End != c.end || !next.Served() || len(sent) != 1 {
				t.Fatalf("first request: attempts %+v; next request: %+v with %d attempts", first, next, len(sent))
			}
			delay := sent[0].ReceivedAt.Sub(first[0].EndedAt)
			if delay < keySettle-fakes.Tolerance || delay > keySettle+slack {
				t.Errorf("the next request of the order key was sent %v after the end of the attempt, want %v", delay, keySettle)
			}
			f.checkRules()
		})
	}
}

// statusInterval is the interval at which engines must send statuses, in the settings.
const statusInterval = time.Second

// malformedStatuses are statuses with invalid fields, which front ends drop.
var malformedStatuses = []string{
	"note=share,num=7", "note=share,num=-0.1", "note=share", "num=0.5", "note=short,num=NaN",
	"note=short,num=-96", "note=held,num=3", "note=held,num=0", "note=later,num=1", "note=share,num=half",
}

// wellFormedStatuses are valid statuses of the protocol.
var wellFormedStatuses = []string{
	"note=held,num=2", "note=short,num=96", "note=share,num=0.5", "note=held,num=1", "-",
}

// spreadStatuses returns statuses that are sent at equal intervals within a time.
func spreadStatuses(statuses []string, within time.Duration) (list []fakes.StatusNote) {
	for i, fields := range statuses {
		after := within * time.Duration(i) / time.Duration(len(statuses))
		list = append(list, fakes.StatusNote{After: after, Fields: fields})
	}
	return list
}

// TestStatusesCountAsActivity checks that an attempt continues if its engine sends a well-formed
// status each second, also with malformed statuses between them. An attempt whose engine sends
// only malformed statuses counts as unresponsive: malformed statuses are dropped and counted;
// they don't end the attempt by themselves, and they don't count as activity.
func TestStatusesCountAsActivity(t *testing.T) {
	var mixed []string
	for i, fields := range wellFormedStatuses {
		mixed = append(mixed, malformedStatuses[2*i], fields, malformedStatuses[2*i+1])
	}
	for _, c := range []struct {
		name                   string
		statuses               []string
		attempts               int
		wantAccepted           int
		minDropped, maxDropped int
	}{
		{"mixed", mixed, 1, len(wellFormedStatuses), len(malformedStatuses), len(malformedStatuses)},
		// The attempt is cancelled before its engine has sent all statuses, so some of them may
		// arrive after that.
		{"malformed alone", malformedStatuses, 2, 0, len(malformedStatuses) / 3, len(malformedStatuses)},
	} {
		t.Run(c.name, func(t *testing.T) {
			const duration = 5 * statusInterval
			var once sync.Once
			engines := newEngines(t, 2, func(a fakes.Attempt) fakes.Behavior {
				response := fakes.Behavior{Duration: 5 * time.Millisecond, Pages: pagesOf(a.ID)}
				once.Do(func() {
					response.Duration = duration
					response.Notes = spreadStatuses(c.statuses, duration)
				})
				return response
			})
			f := start(t, deployment{fronts: 1, cores: 8, configure: func(config *fakes.ProgramConfig, settings map[string]any) {
				settingsSection(settings, "domain")["progressMs"] = statusInterval.Milliseconds()
			}}, engines)
			r := f.call(f.fronts[0], fakes.Request{Class: entry, Key: "set-1", Timeout: 15 * time.Second})
			made := attemptsOf(engines, r.ID)
			if !r.Served() || len(made) != c.attempts {
				t.Fatalf("status %d, %d attempts, want status 200 and %d attempts", r.Status, len(made), c.attempts)
			}
			if lasted := made[0].EndedAt.Sub(made[0].ReceivedAt); lasted < 2*statusInterval {
				t.Errorf("the first attempt ended after %v, want %v or more", lasted, 2*statusInterval)
			}
			f.checkRules()
			counters := f.fronts[0].counters("engines")
			dropped := int(counters["SpoiltNotes"].(float64))
			if counters["Notes"] != float64(c.wantAccepted) || dropped < c.minDropped || dropped > c.maxDropped {
				t.Errorf("%v statuses accepted, want %d; %d dropped, want %d to %d", counters["Notes"], c.wantAccepted, dropped, c.minDropped, c.maxDropped)
			}
			if counters["UnknownWords"] != 0.0 || counters["Garbage"] != 0.0 {
				t.Errorf("unknown verbs or invalid replies were counted: %v", counters)
			}
		})
	}
}

// TestConnectTimeout checks that an attempt to connect to an unresponsive engine is abandoned
// after the time-out in the settings, and that the request, which was not sent, is served by
// another engine.
func TestConnectTimeout(t *testing.T) {
	const timeout, slack = 250 * time.Millisecond, 1500 * time.Millisecond
	engines := newEngines(t, 1, func(a fakes.Attempt) fakes.Behavior {
		return fakes.Behavior{Duration: 5 * time.Millisecond, Pages: pagesOf(a.ID)}
	})
	unresponsive := endpoint(&fakes.Engine{ID: "s-silent", Addr: unreachableAddr(t)}, fakes.Active)
	endpoints := []fakes.Endpoint{endpoint(engines[0], fakes.Active), unresponsive}
	f := startOn(t, deployment{fronts: 1, cores: 8}, engines, endpoints)
	waited := 0
	for range 8 {
		// A load must not run twice, so it is retried only if it certainly was not sent.
		r := f.call(f.fronts[0], fakes.Request{Class: load, Timeout: 4 * time.Second})
		took := r.Ended.Sub(r.Sent)
		if !r.Served() || took > timeout+slack {
			t.Errorf("status %d, %q after %v, want status 200 within %v", r.Status, r.Err, took, timeout+slack)
		}
		if took >= timeout {
			waited++
		}
	}
	f.checkRules()
	counters := f.fronts[0].counters("engines")
	if waited == 0 || counters["DialFailures"] == 0.0 {
		t.Errorf("%d requests waited for the unresponsive engine, counters %v", waited, counters)
	}
}

// unreachableAddr returns an address at which connections are never established: the backlog
// of its listener is full, and no connection is accepted.
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

// TestSettingsForbidProbesPrioritiesAndDatagrams checks that a front end sends no probes,
// priorities or datagrams if the settings forbid them, although it has a peer. The second case
// shows that the front end does send datagrams and priorities if the settings allow them.
func TestSettingsForbidProbesPrioritiesAndDatagrams(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		t.Run(fmt.Sprint("allowed ", allowed), func(t *testing.T) {
			var datagrams atomic.Int32
			peer := countDatagrams(t, &datagrams)
			engines := newEngines(t, 3, func(a fakes.Attempt) fakes.Behavior {
				return fakes.Behavior{Duration: 20 * time.Millisecond, Pages: pagesOf(a.ID)}
			})
			listen := testprocess.FreeAddr(t)
			f := start(t, deployment{fronts: 1, configuredFronts: 2, cores: 8, configure: func(config *fakes.ProgramConfig, settings map[string]any) {
				config.PeerListen = listen
				config.Peers = []string{listen, peer}
				settingsSection(settings, "limits")["mayTell"] = allowed
				settingsSection(settings, "domain")["takesPriority"] = allowed
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
					t.Errorf("%d changes of priority were sent", n)
				}
			}
			for _, a := range attemptsAt(engines) {
				priorities[a.Fields["nice"]] = true
			}
			if probes > 0 || !allowed && (datagrams.Load() > 0 || len(priorities) != 1 || !priorities["1"]) {
				t.Errorf("engines and peer received %d probes, %d datagrams, priorities %v", probes, datagrams.Load(), priorities)
			}
			if allowed && len(priorities) != 2 {
				t.Errorf("priorities %v, want the priorities of two classes", priorities)
			}
			counters := f.fronts[0].process.Stop()
			sentToPeers := counters["node"].(map[string]any)["Told"].(float64)
			if sent := counters["engines"].(map[string]any)["Probes"]; sent != 0.0 || (sentToPeers > 0) != allowed {
				t.Errorf("counters: %v probes, %v messages to peers", sent, sentToPeers)
			}
		})
	}
}

// countDatagrams counts the datagrams that a socket receives until the test ends, and returns
// the socket's address.
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
				t.Errorf("received a datagram of %d bytes, want %d at most", n, maxDatagramBytes)
			}
		}
	}()
	return conn.LocalAddr().String()
}

// maxDatagramBytes bounds a datagram between front ends.
const maxDatagramBytes = 256

// TestInvalidDatagramsAreIgnored checks that datagrams from unlisted senders, datagrams that are
// too long and datagrams of an unknown kind are counted and have no effect, and that valid
// datagrams of a peer are accepted.
func TestInvalidDatagramsAreIgnored(t *testing.T) {
	engines := newEngines(t, 2, func(a fakes.Attempt) fakes.Behavior {
		return fakes.Behavior{Duration: 5 * time.Millisecond, Pages: pagesOf(a.ID)}
	})
	peer, unlistedSender := listenDatagrams(t), listenDatagrams(t)
	listen := testprocess.FreeAddr(t)
	f := start(t, deployment{fronts: 1, configuredFronts: 2, cores: 8, configure: func(config *fakes.ProgramConfig, settings map[string]any) {
		config.PeerListen = listen
		config.Peers = []string{listen, peer.LocalAddr().String()}
		settingsSection(settings, "limits")["mayTell"] = true
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
	send(unlistedSender, []byte{0x3f, 0x80, 0, 0})
	send(peer, make([]byte, maxDatagramBytes+1))
	send(peer, []byte("\xd1\x77 of a kind that is not known"))
	send(peer, []byte("\xff\xff\xff\xff\xff\xff\xff\xff"))
	send(peer, []byte{0x3f, 0x80, 0, 0}) // a demand of 1
	send(peer, nil)
	for range 10 {
		if r := f.call(f.fronts[0], fakes.Request{Class: lookup, Timeout: 4 * time.Second}); !r.Served() {
			t.Errorf("a request after the datagrams: status %d, %q", r.Status, r.Err)
		}
	}
	counters := f.fronts[0].counters("node")
	for _, name := range []string{"Strange", "Foreign", "Heard"} {
		if counters[name] != float64(2*each) {
			t.Errorf("counter %s is %v, want %d", name, counters[name], 2*each)
		}
	}
}

// listenDatagrams returns a UDP socket that is closed when the test ends.
func listenDatagrams(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestNoAttemptAfterDrain checks that a draining engine receives no new attempt later than
// the grace period after the drain was published, and that its running attempts finish.
func TestNoAttemptAfterDrain(t *testing.T) {
	const slow = "UPDATE count_1.sheets"
	engines := newEngines(t, 3, func(a fakes.Attempt) fakes.Behavior {
		response := fakes.Behavior{Duration: 20 * time.Millisecond, Pages: pagesOf(a.ID)}
		if a.Statement == slow {
			response.Duration = drainGrace + time.Second
		}
		return response
	})
	f := start(t, deployment{fronts: 2, cores: 8, configure: func(config *fakes.ProgramConfig, settings map[string]any) {
		settingsSection(settings, "domain")["progressMs"] = 0 // engines need not send statuses
	}}, engines)
	const loadID = "f0000000000000c1"
	var loads, lookups sync.WaitGroup
	loads.Go(func() {
		r := f.call(f.fronts[0], fakes.Request{ID: loadID, Class: load, Statement: slow, Timeout: 9 * time.Second})
		if !r.Served() {
			t.Errorf("the load that is running while its engine drains: status %d, %q", r.Status, r.Err)
		}
	})
	testprocess.Until(t, "the load's attempt", func() bool { return len(attemptsOf(engines, loadID)) == 1 })
	var stopped atomic.Bool
	for k := range 6 {
		lookups.Go(func() {
			for !stopped.Load() {
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
	stopped.Store(true)
	lookups.Wait()
	f.checkRules()
	if made := attemptsOf(engines, loadID); len(made) != 1 || made[0].End != fakes.Replied {
		t.Errorf("attempts of the load: %+v, want one that was answered", made)
	}
}

// TestInvalidSettingEndsTheProgram checks that a front end with an invalid setting exits with
// status 1 and logs one line that names the setting.
func TestInvalidSettingEndsTheProgram(t *testing.T) {
	engines := newEngines(t, 1, nil)
	for key, change := range map[string]func(map[string]any){
		"limits.connectTimeoutMs":      func(s map[string]any) { settingsSection(s, "limits")["connectTimeoutMs"] = -250 },
		"limits.streamsPerConn":        func(s map[string]any) { settingsSection(s, "limits")["streamsPerConn"] = "100" },
		"reporting.via":                func(s map[string]any) { settingsSection(s, "reporting")["via"] = "letters" },
		`unknown effect "keyed"`:       func(s map[string]any) { classSettings(s, entry)["effect"] = "keyed" },
		"contract.orderSettleMs: -300": func(s map[string]any) { settingsSection(s, "contract")["orderSettleMs"] = -300 },
	} {
		t.Run(key, func(t *testing.T) {
			discovery := fakes.NewDiscovery(t, []fakes.Endpoint{endpoint(engines[0], fakes.Active)})
			configure := func(_ *fakes.ProgramConfig, settings map[string]any) { change(settings) }
			d := deployment{fronts: 1, cores: 8, configure: configure}
			f := &fleet{t: t, deployment: d, discovery: discovery, discoveryAddr: discovery.Addr}
			fr := f.newFrontEnd(0)
			env := []string{"PROXY_CONFIG=" + fr.path, "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_CONTROL="}
			p := testprocess.Start(t, env)
			if code := p.Wait(); code != 1 || strings.Count(p.Log(), "\n") != 1 || !strings.Contains(p.Log(), key) {
				t.Errorf("exit status %d, want 1; log %q, want one line with %s", code, p.Log(), key)
			}
		})
	}
}
