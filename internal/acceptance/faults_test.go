package acceptance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/fakes"
)

var (
	firstSeed   = flag.Uint64("seed", 1, "first seed of TestFaultsBySeed")
	seedCount   = flag.Int("seeds", 1, "number of seeds that TestFaultsBySeed runs")
	frontCount  = flag.Int("fronts", 3, "number of front ends")
	engineCount = flag.Int("engines", 9, "number of engines")
	runDuration = flag.Duration("lasts", 6*time.Second, "duration of the faults and the clients' requests")
	clientCount = flag.Int("clients", 24, "number of clients, each of which sends one request after another")
)

// faultyResponse draws an engine's response to an attempt. About one response in four has a
// fault that the protocol allows, or that the network or a faulty engine may cause.
func faultyResponse(rng *rand.Rand, a fakes.Attempt) fakes.Behavior {
	duration := time.Duration(10+rng.IntN(80)) * time.Millisecond
	if a.Fields["c"] == entry { // so that the next request of the same order key arrives while this one runs
		duration *= 8
	}
	good := fakes.Behavior{Duration: duration, Pages: pagesOf(a.ID)}
	ack := fakes.ResultReply(a.ID, "batches=1,cpu=1,used=1", strings.Join(good.Pages, ""))
	statuses := func(fields ...string) []fakes.StatusNote {
		var list []fakes.StatusNote
		for i, f := range fields {
			list = append(list, fakes.StatusNote{After: duration * time.Duration(i) / time.Duration(len(fields)), Fields: f})
		}
		return list
	}
	switch rng.IntN(40) {
	case 0:
		return fakes.Behavior{Duration: duration, Verb: "EIO"}
	case 1:
		return fakes.Behavior{Duration: duration / 8, Verb: "AGAIN"}
	case 2:
		return fakes.Behavior{Duration: duration / 8, Verb: "STALE"}
	case 3:
		return fakes.Behavior{NeverReplies: true, Notes: statuses("note=share,num=0.1")}
	case 4:
		return fakes.Behavior{Duration: duration, Reset: true}
	case 5: // an unknown verb, while the attempt is still running
		good.Notes, good.Duration = []fakes.StatusNote{}, 20*duration
		good.RawPrefix = a.ID + " LATER - 0\r\n\r\n"
		return good
	case 6: // malformed statuses
		good.Notes = statuses("note=share,num=7", "note=held", "num=3", "note=short,num=NaN", "note=other,num=1", "note=share,num=0.5")
		return good
	case 7: // a duplicate reply
		return fakes.Behavior{Duration: duration, RawReply: ack + ack}
	case 8: // a reply to an unknown ID, then the correct reply
		return fakes.Behavior{Duration: duration, RawReply: "ffffffffffffffff EVENT note=share,num=0.3 0\r\n\r\n" + ack}
	case 9: // half a reply; the other half is never sent
		return fakes.Behavior{Duration: duration, RawReply: ack[:len(ack)/2]}
	case 10: // a status after the last reply
		return fakes.Behavior{Duration: duration, RawReply: ack + a.ID + " EVENT note=share,num=1 0\r\n\r\n"}
	default:
		good.Notes = statuses("note=held,num=2", "-", "note=share,num=0.4", "note=short,num=12.5")[:rng.IntN(5)]
		return good
	}
}

// TestFaultsBySeed checks that simultaneous faults of engines, network, discovery, clients
// and processes, drawn from a seed, break no rule: each accepted request is answered in time,
// no request has two attempts in flight, all requests are forwarded unchanged, requests of
// one order key stay in order, and draining engines receive no new attempts.
func TestFaultsBySeed(t *testing.T) {
	for s := range *seedCount {
		seed := *firstSeed + uint64(s)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runFaults(t, seed) })
	}
}

// runFaults runs engines, clients and faults that are drawn from a seed, and checks the rules.
func runFaults(t *testing.T, seed uint64) {
	f, relays, endpoints := startFaultyFleet(t, seed, deployment{fronts: *frontCount, cores: 8})
	end := time.Now().Add(*runDuration)
	var all sync.WaitGroup
	for k := range *clientCount {
		all.Go(func() { f.runClient(rand.New(rand.NewPCG(seed, 100+uint64(k))), k, end) })
	}
	all.Go(func() { f.injectFaults(rand.New(rand.NewPCG(seed, 2)), relays, endpoints, end) })
	all.Go(func() { f.restartFronts(rand.New(rand.NewPCG(seed, 3)), end) })
	all.Wait()
	f.checkRules()
	if served, _, _ := f.outcomes(); served == 0 {
		t.Error("no request was served")
	}
}

// startFaultyFleet starts front ends with engines whose responses are drawn from a seed. The
// endpoints lead to the engines through relays.
func startFaultyFleet(t *testing.T, seed uint64, d deployment) (f *fleet, relays []*fakes.Relay, endpoints []fakes.Endpoint) {
	t.Helper()
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	var engines []*fakes.Engine
	for i := range *engineCount {
		e := &fakes.Engine{ID: fmt.Sprintf("s-%d", i), Handle: func(a fakes.Attempt) fakes.Behavior {
			mu.Lock()
			defer mu.Unlock()
			return faultyResponse(rng, a)
		}}
		if i%3 == 0 {
			e.IdleTimeout = time.Duration(100+50*i) * time.Millisecond
		}
		e.Start(t)
		r := fakes.NewRelay(t, e.Addr)
		engines, relays = append(engines, e), append(relays, r)
		h := endpoint(e, fakes.Active)
		h.Address = r.Addr
		endpoints = append(endpoints, h)
	}
	return startOn(t, d, engines, endpoints), relays, endpoints
}

// keyRequestInterval is the time between two requests of one order key. Each has a
// connection of its own, so that without an interval they might arrive in another order.
const keyRequestInterval = 250 * time.Millisecond

// drawRequest draws a request of the client with a number. Each client has an order key of
// its own.
func drawRequest(rng *rand.Rand, k int) fakes.Request {
	q := fakes.Request{Class: lookup, Timeout: time.Duration(300+rng.IntN(2500)) * time.Millisecond}
	switch rng.IntN(7) {
	case 0:
		q.Class = report
	case 2:
		q.Class = load
	case 1:
		q.Class, q.Key = entry, fmt.Sprint("key-", k)
	}
	if rng.IntN(12) == 0 {
		q.DisconnectAfter = time.Duration(1+rng.IntN(60)) * time.Millisecond
	}
	if rng.IntN(40) == 0 {
		q.Timeout = time.Duration(1+rng.IntN(40)) * time.Millisecond
	}
	return q
}

// runClient sends one request after another until end. Each client uses one front end, so
// that its entries arrive in order.
func (f *fleet) runClient(rng *rand.Rand, k int, end time.Time) {
	var entries sync.WaitGroup
	defer entries.Wait()
	for time.Now().Before(end) {
		q := drawRequest(rng, k)
		fr := f.fronts[k%len(f.fronts)]
		if q.Class == entry { // not waited for, so that entries queue by their order key
			entries.Go(func() { f.call(fr, q) })
			time.Sleep(keyRequestInterval)
			continue
		}
		f.call(fr, q)
		time.Sleep(time.Duration(10+rng.IntN(60)) * time.Millisecond)
	}
}

// injectFaults injects faults between front ends and engines or the discovery service, and
// drains up to a third of the engines.
func (f *fleet) injectFaults(rng *rand.Rand, relays []*fakes.Relay, endpoints []fakes.Endpoint, end time.Time) {
	var all sync.WaitGroup
	defer all.Wait()
	for time.Until(end) > time.Second {
		time.Sleep(time.Duration(50+rng.IntN(300)) * time.Millisecond)
		k, faultDuration := rng.IntN(len(relays)), time.Duration(50+rng.IntN(900))*time.Millisecond
		if rng.IntN(4) == 0 {
			h := endpoints[k]
			h.State = fakes.Draining
			f.mu.Lock()
			_, isDraining := f.drainedAt[h.ID]
			limitReached := len(f.drainedAt) >= len(endpoints)/3
			if !isDraining && !limitReached {
				f.drainedAt[h.ID] = time.Now().Add(f.discoveryDelay)
			}
			f.mu.Unlock()
			if !isDraining && !limitReached {
				f.discovery.Publish(h)
			}
			continue
		}
		if rng.IntN(5) == 0 {
			f.injectDiscoveryFault(&all, []fakes.Mode{fakes.Delay, fakes.Close}[rng.IntN(2)], 2*faultDuration)
			continue
		}
		mode := []fakes.Mode{fakes.Delay, fakes.Close}[rng.IntN(2)]
		relays[k].SetMode(mode)
		all.Go(func() {
			time.Sleep(faultDuration)
			relays[k].SetMode(fakes.Pass)
		})
	}
}

// injectDiscoveryFault injects a fault between front ends and the discovery service. The rules
// allow for a delay of maxDiscoveryDelay in all updates that are published from then on.
func (f *fleet) injectDiscoveryFault(all *sync.WaitGroup, m fakes.Mode, duration time.Duration) {
	f.mu.Lock()
	isDisrupted := f.discoveryDelay > 0
	f.discoveryDelay = maxDiscoveryDelay
	f.mu.Unlock()
	if isDisrupted {
		return
	}
	f.discoveryRelay.SetMode(m)
	all.Go(func() {
		time.Sleep(duration)
		f.discoveryRelay.SetMode(fakes.Pass)
	})
}

// restartFronts sends signals to front ends, one after another, as a release does: SIGHUP, or
// SIGTERM or SIGKILL and then a new process.
func (f *fleet) restartFronts(rng *rand.Rand, end time.Time) {
	for time.Until(end) > 2*time.Second {
		time.Sleep(time.Duration(500+rng.IntN(1000)) * time.Millisecond)
		fr := f.fronts[rng.IntN(len(f.fronts))]
		if rng.IntN(2) == 0 {
			fr.process.Signal(syscall.SIGHUP)
			continue
		}
		f.mu.Lock()
		f.restarts[fr.addr] = append(f.restarts[fr.addr], fakes.Restart{From: time.Now()})
		last := len(f.restarts[fr.addr]) - 1
		f.mu.Unlock()
		if rng.IntN(3) == 0 {
			f.killProcess(fr)
		} else {
			fr.process.Signal(syscall.SIGTERM)
			if code := fr.process.Wait(); code != 0 {
				f.t.Errorf("a front end exited with status %d after SIGTERM", code)
			}
		}
		f.writeConfig(fr)
		f.startProcess(fr)
		f.mu.Lock()
		f.restarts[fr.addr][last].Until = time.Now()
		f.mu.Unlock()
	}
}
