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
	firstSeed = flag.Uint64("seed", 1, "first seed of TestFaultsBySeed")
	seeds     = flag.Int("seeds", 1, "how many seeds TestFaultsBySeed plays")
	fronts    = flag.Int("fronts", 3, "processes of the front end")
	servers   = flag.Int("engines", 9, "engines")
	duration  = flag.Duration("lasts", 6*time.Second, "time for which faults and clients go on")
	clients   = flag.Int("clients", 24, "clients that send one request after another")
)

// faultyResponse draws what an engine does with an attempt. About one in four has a
// fault that the protocol, the network or a faulty engine may show.
func faultyResponse(rng *rand.Rand, a fakes.Attempt) fakes.Behavior {
	duration := time.Duration(10+rng.IntN(80)) * time.Millisecond
	if a.Fields["c"] == entry { // the next of its key comes while it runs
		duration *= 8
	}
	good := fakes.Behavior{Duration: duration, Pages: pagesOf(a.ID)}
	ack := fakes.ResultReply(a.ID, "batches=1,cpu=1,used=1", strings.Join(good.Pages, ""))
	notes := func(fields ...string) []fakes.StatusNote {
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
		return fakes.Behavior{NeverReplies: true, Notes: notes("note=share,num=0.1")}
	case 4:
		return fakes.Behavior{Duration: duration, Reset: true}
	case 5: // an unknown verb, while the attempt goes on
		good.Notes, good.Duration = []fakes.StatusNote{}, 20*duration
		good.RawPrefix = a.ID + " LATER - 0\r\n\r\n"
		return good
	case 6: // malformed statuses
		good.Notes = notes("note=share,num=7", "note=held", "num=3", "note=short,num=NaN", "note=other,num=1", "note=share,num=0.5")
		return good
	case 7: // a duplicate reply
		return fakes.Behavior{Duration: duration, RawReply: ack + ack}
	case 8: // a reply to an unknown id, then the right one
		return fakes.Behavior{Duration: duration, RawReply: "ffffffffffffffff EVENT note=share,num=0.3 0\r\n\r\n" + ack}
	case 9: // half a reply, and then nothing
		return fakes.Behavior{Duration: duration, RawReply: ack[:len(ack)/2]}
	case 10: // a status after the last reply
		return fakes.Behavior{Duration: duration, RawReply: ack + a.ID + " EVENT note=share,num=1 0\r\n\r\n"}
	default:
		good.Notes = notes("note=held,num=2", "-", "note=share,num=0.4", "note=short,num=12.5")[:rng.IntN(5)]
		return good
	}
}

// TestFaultsBySeed checks that faults of engines, network, discovery, clients and
// processes, drawn from a seed and all at once, break no rule: each request that was
// taken gets its answer in time, none has two attempts in flight, all are forwarded
// unchanged, keys keep their order, and draining engines get nothing new.
func TestFaultsBySeed(t *testing.T) {
	for s := range *seeds {
		seed := *firstSeed + uint64(s)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playFaults(t, seed) })
	}
}

func playFaults(t *testing.T, seed uint64) {
	var mu sync.Mutex
	draws := rand.New(rand.NewPCG(seed, 1))
	var engines []*fakes.Engine
	var relays []*fakes.Relay
	var hosts []fakes.Endpoint
	for i := range *servers {
		e := &fakes.Engine{ID: fmt.Sprintf("s-%d", i), Handle: func(a fakes.Attempt) fakes.Behavior {
			mu.Lock()
			defer mu.Unlock()
			return faultyResponse(draws, a)
		}}
		if i%3 == 0 {
			e.IdleTimeout = time.Duration(100+50*i) * time.Millisecond
		}
		e.Start(t)
		r := fakes.NewRelay(t, e.Addr)
		engines, relays = append(engines, e), append(relays, r)
		h := endpoint(e, fakes.Active)
		h.Address = r.Addr
		hosts = append(hosts, h)
	}
	f := startOn(t, deployment{fronts: *fronts, cores: 8}, engines, hosts)
	end := time.Now().Add(*duration)
	var all sync.WaitGroup
	for k := range *clients {
		all.Go(func() { f.client(rand.New(rand.NewPCG(seed, 100+uint64(k))), k, end) })
	}
	all.Go(func() { f.disturb(rand.New(rand.NewPCG(seed, 2)), relays, hosts, end) })
	all.Go(func() { f.restart(rand.New(rand.NewPCG(seed, 3)), end) })
	all.Wait()
	f.checkRules()
	if served, _, _ := f.outcomes(); served == 0 {
		t.Error("nothing was served")
	}
}

// keySpacing is the time between two requests of one key, each on a new connection.
const keySpacing = 250 * time.Millisecond

// client sends one request after another until a time. Each client has a key of its own
// and one front end, so that its entries arrive in order.
func (f *fleet) client(rng *rand.Rand, k int, end time.Time) {
	var entries sync.WaitGroup
	defer entries.Wait()
	for time.Now().Before(end) {
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
		fr := f.fronts[k%len(f.fronts)]
		if q.Class == entry { // not waited for, so that they queue by their key
			entries.Go(func() { f.call(fr, q) })
			time.Sleep(keySpacing)
			continue
		}
		f.call(fr, q)
		time.Sleep(time.Duration(10+rng.IntN(60)) * time.Millisecond)
	}
}

// disturb causes faults between front ends and engines, and drains engines.
func (f *fleet) disturb(rng *rand.Rand, relays []*fakes.Relay, hosts []fakes.Endpoint, end time.Time) {
	var all sync.WaitGroup
	defer all.Wait()
	for time.Until(end) > time.Second {
		time.Sleep(time.Duration(50+rng.IntN(300)) * time.Millisecond)
		k, faultDuration := rng.IntN(len(relays)), time.Duration(50+rng.IntN(900))*time.Millisecond
		if rng.IntN(4) == 0 {
			h := hosts[k]
			h.State = fakes.Draining
			f.mu.Lock()
			_, draining := f.drainedAt[h.ID]
			few := len(f.drainedAt) >= len(hosts)/3
			if !draining && !few {
				f.drainedAt[h.ID] = time.Now().Add(f.discoveryDelay)
			}
			f.mu.Unlock()
			if !draining && !few {
				f.discovery.Publish(h)
			}
			continue
		}
		if rng.IntN(5) == 0 {
			f.disruptDiscovery(&all, []fakes.Mode{fakes.Delay, fakes.Close}[rng.IntN(2)], 2*faultDuration)
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

// disruptDiscovery causes a fault between front ends and the discovery service. What is
// published from then on counts as known maxDiscoveryDelay later.
func (f *fleet) disruptDiscovery(all *sync.WaitGroup, m fakes.Mode, duration time.Duration) {
	f.mu.Lock()
	disrupted := f.discoveryDelay > 0
	f.discoveryDelay = maxDiscoveryDelay
	f.mu.Unlock()
	if disrupted {
		return
	}
	f.discoveryRelay.SetMode(m)
	all.Go(func() {
		time.Sleep(duration)
		f.discoveryRelay.SetMode(fakes.Pass)
	})
}

// restart sends front ends the signals of a release, one after another: SIGHUP, or
// SIGTERM or SIGKILL followed by a new process.
func (f *fleet) restart(rng *rand.Rand, end time.Time) {
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
		kills := rng.IntN(3) == 0
		if kills {
			f.killedAt[fr.addr] = append(f.killedAt[fr.addr], time.Now())
		}
		f.mu.Unlock()
		if kills {
			fr.process.Kill()
		} else {
			fr.process.Signal(syscall.SIGTERM)
			if code := fr.process.Wait(); code != 0 {
				f.t.Errorf("a front end ended with %d after SIGTERM", code)
			}
		}
		f.refresh(fr)
		f.run(fr)
		f.mu.Lock()
		f.restarts[fr.addr][last].Until = time.Now()
		f.mu.Unlock()
	}
}
