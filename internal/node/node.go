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
	"sync"
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
		debug.SetGCPercent(400)
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

// service is a front with its loop and its listener.
type service struct {
	loop    *Loop
	listen  net.Listener
	accept  func(net.Listener)
	leave   func()
	idle    func() bool
	reload  func()
	leaveAt time.Time // the loop's: not before it the service ends
}

// Run serves until SIGTERM and the last answer: as a platform front end if cfg
// is there, as a MySQL front if my is, or as both.
func Run(cfg *Config, my *MySQL) error {
	var all []*service
	if cfg != nil {
		fit(cfg.Limits.Cores, cfg.Limits.MemoryMB)
		s, err := newNode(cfg)
		if err != nil {
			return err
		}
		all = append(all, s)
	}
	if my != nil {
		s, err := newMySQL(my)
		if err != nil {
			return err
		}
		all = append(all, s)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	go func() {
		for sig := range signals {
			for _, s := range all {
				s.loop.Post(func() { s.signalled(sig) })
			}
		}
	}()
	var ends sync.WaitGroup
	for _, s := range all {
		ends.Add(1)
		go func() {
			defer ends.Done()
			s.run()
		}()
	}
	ends.Wait()
	return nil
}

func (s *service) signalled(sig os.Signal) {
	switch {
	case sig == syscall.SIGUSR1:
		s.loop.Logf("counters: %s", s.loop.Report())
	case sig == syscall.SIGHUP:
		if s.reload != nil {
			s.reload()
		}
	case s.leaveAt.IsZero():
		s.loop.Logf("%v: finishing what is taken", sig)
		s.leaveAt = time.Now().Add(acceptFor)
		s.leave()
		time.AfterFunc(acceptFor, func() {
			s.listen.Close()
			s.loop.Post(func() {})
		})
	}
}

func (s *service) run() {
	go s.accept(s.listen)
	s.loop.Logf("listens on %s", s.listen.Addr())
	s.loop.run(func() bool {
		return !s.leaveAt.IsZero() && time.Now().After(s.leaveAt) && s.loop.core.Open() == 0 && s.idle()
	})
	// What is posted from here on belongs to connections that end with the program.
	go func() {
		for range s.loop.in {
		}
	}()
	time.Sleep(lastAnswer)
	s.loop.Logf("counters: %s", s.loop.Report())
}

func newNode(cfg *Config) (*service, error) {
	s, err := cfg.Settings.Control()
	if err != nil {
		return nil, err
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
		return nil, err
	}
	if cfg.PeerListen != "" && s.MayTell {
		if n.link, err = peer.Open(cfg.PeerListen, cfg.Peers, cfg.PeersAll, s.Self); err != nil {
			return nil, fmt.Errorf("peers: %v", err)
		}
		n.loop.tell = n.tell
		go n.link.Receive(func(from int, msg []byte) {
			n.loop.Post(func() { n.count.Heard++; n.loop.apply(core.Heard{Peer: from, Message: msg}) })
		}, func() { n.loop.Post(func() { n.count.Strange++ }) })
	}
	n.notices(&cfg.Known)
	if cfg.Board != "" {
		go board.Follow(cfg.Board, cfg.Known.Rev, func(ns *board.Notices) { n.loop.Post(func() { n.notices(ns) }) },
			func(err error) {
				n.loop.Post(func() { n.count.BoardTroubles++; n.loop.Logf("notice board: %v", err) })
			})
	}
	return &service{loop: n.loop, listen: l, accept: n.front.Serve, leave: n.front.Leave, idle: n.front.Idle}, nil
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

func orElse(x, other float64) float64 {
	if x > 0 {
		return x
	}
	return other
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
