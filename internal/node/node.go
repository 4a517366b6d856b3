package node

import (
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"dewhill/control"
	"dewhill/internal/board"
	"dewhill/internal/core"
	"dewhill/internal/engine"
	"dewhill/internal/peer"
	"dewhill/internal/rest"
)

const (
	acceptFor  = 1000 * time.Millisecond // after SIGTERM: connections come for 0.4 s, requests for 0.2 s more
	lastAnswer = 50 * time.Millisecond   // for what was written last to be on its way
)

// fit sets the scheduler and the collector to the machine's limits.
func fit(cores float64, memoryMB int) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * 6 / 10)
		debug.SetGCPercent(200)
	}
}

// Node is a running platform front end.
type Node struct {
	cfg   *Config
	loop  *Loop
	front *rest.Front
	pool  *engine.Pool
	link  *peer.Link
	count struct {
		Notices, BoardTroubles, Told, Heard, Strange int
	}
	drains int
}

// Run serves as a platform front end until SIGTERM and the last answer.
func Run(cfg *Config) error {
	fit(cfg.Limits.Cores, cfg.Limits.MemoryMB)
	s, err := cfg.Settings.Control()
	if err != nil {
		return err
	}
	// Clients hold a third of the descriptors, and a connection each for every
	// open request.
	if most := cfg.Limits.Sockets / 3; s.MaxOpen == 0 || s.MaxOpen > most {
		s.MaxOpen = most
	}
	n := &Node{cfg: cfg, loop: newLoop(cfg.Name, s, cfg.seed)}
	names := make([]string, len(cfg.Settings.Categories))
	for i, c := range cfg.Settings.Categories {
		names[i] = c.Name
	}
	limits := &cfg.Settings.Limits
	n.pool = engine.New(n.loop, engine.Options{
		Classes:        names,
		ConnectTimeout: ms(orElse(limits.ConnectTimeoutMs, 250)),
		Idle:           ms(orElse(limits.ConnIdleMs, 15000)),
		Streams:        int(orElse(float64(limits.StreamsPerConn), 32)),
		MostConns:      cfg.Limits.Sockets / 3,
	})
	n.loop.back = n.pool
	n.front = rest.New(n.loop, names, cfg.Limits.Sockets/2, int(orElse(limits.MaxRetryAfterMs, 500)))
	n.loop.report = n.report
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	if cfg.PeerListen != "" && s.MayTell {
		if n.link, err = peer.Open(cfg.PeerListen, cfg.Peers, cfg.PeersAll, s.Self); err != nil {
			return fmt.Errorf("peers: %v", err)
		}
		n.loop.tell = n.tell
		go n.link.Receive(func(from int, msg []byte) {
			n.loop.Post(func() { n.count.Heard++; n.loop.apply(core.Heard{Peer: from, Message: msg}) })
		}, func() { n.loop.Post(func() { n.count.Strange++ }) })
	}
	return n.serve(l)
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

func orElse(x, other float64) float64 {
	if x > 0 {
		return x
	}
	return other
}

func (n *Node) serve(l net.Listener) error {
	n.notices(&n.cfg.Known)
	if n.cfg.Board != "" {
		go board.Follow(n.cfg.Board, n.cfg.Known.Rev, func(ns *board.Notices) { n.loop.Post(func() { n.notices(ns) }) },
			func(err error) {
				n.loop.Post(func() { n.count.BoardTroubles++; n.loop.Logf("notice board: %v", err) })
			})
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	var leaveAt time.Time
	go func() {
		for s := range signals {
			n.loop.Post(func() {
				if s == syscall.SIGUSR1 {
					n.loop.Logf("counters: %s", n.loop.Report())
				} else if leaveAt.IsZero() {
					n.loop.Logf("%v: finishing what is taken", s)
					leaveAt = time.Now().Add(acceptFor)
					n.front.Leave()
					time.AfterFunc(acceptFor, func() {
						l.Close()
						n.loop.Post(func() {})
					})
				}
			})
		}
	}()
	go n.front.Serve(l)
	n.loop.Logf("listens on %s", n.cfg.Listen)
	n.loop.run(func() bool {
		return !leaveAt.IsZero() && time.Now().After(leaveAt) && n.loop.core.Open() == 0 && n.front.Idle()
	})
	time.Sleep(lastAnswer)
	n.loop.Logf("counters: %s", n.loop.Report())
	return nil
}

func (n *Node) tell(msg []byte) {
	n.count.Told++
	if err := n.link.Send(msg); err != nil {
		n.loop.Logf("peers: %v", err)
	}
}

// notices applies what the notice board tells. The decisions hear of an
// engine's address by its id only.
func (n *Node) notices(ns *board.Notices) {
	for _, e := range ns.Notices {
		n.count.Notices++
		if e.Pool == nil {
			continue
		}
		list := make([]control.EngineInfo, 0, len(e.Pool.Hosts))
		for _, h := range e.Pool.Hosts {
			list = append(list, control.EngineInfo{ID: h.ID,
				Zone: slices.Index(n.cfg.Settings.Localities, h.Site), Kind: slices.Index(n.cfg.Settings.HostTypes, h.Class),
				Cell: h.Block, Size: h.Share, UpSince: h.BornMs, Draining: h.Health == "leaving", Gone: h.Health == "left"})
			if n.drains++; n.drains < 200 {
				n.loop.Logf("engine %s at %s: %s, born %.0f", h.ID, h.Dial, h.Health, h.BornMs)
			}
			n.pool.Place(h.ID, h.Dial, h.Health == "left")
		}
		n.loop.apply(core.EngineList{Whole: e.Pool.Whole, Engines: list})
	}
}

func (n *Node) report() any {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return map[string]any{"front": n.front.Count, "requests": n.loop.Count, "engines": n.pool.Count, "node": n.count,
		"open": n.loop.core.Open(), "engine_conns": n.pool.Conns(), "classes": n.loop.core.Census(),
		"heap_mb": mem.HeapSys >> 20, "goroutines": runtime.NumGoroutine()}
}
