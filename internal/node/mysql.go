package node

import (
	"math/rand/v2"

	"dewhill/internal/core"
	"dewhill/internal/mysql"
)

// MySQL is the second front's file and where it lies, so that its engines can
// be read again.
type MySQL struct {
	Path   string
	Config *mysql.Config
}

// ReadMySQL reads the second front's file; nil where the front is off.
func ReadMySQL(path string) (*MySQL, error) {
	c, err := mysql.ReadConfig(path)
	if c == nil || err != nil {
		return nil, err
	}
	return &MySQL{path, c}, nil
}

func newMySQL(my *MySQL, share bool) (*service, error) {
	cfg := my.Config
	s, err := cfg.Settings.Control()
	if err != nil {
		return nil, err
	}
	l, err := listen(cfg.Listen, share)
	if err != nil {
		return nil, err
	}
	s.MayTell = false
	if s.MaxOpen == 0 || s.MaxOpen > cfg.Limits.Waiting {
		s.MaxOpen = cfg.Limits.Waiting
	}
	loop := newLoop("mysql", s, rand.Uint64())
	pool := mysql.NewPool(loop, cfg.Limits, ms(orElse(cfg.Settings.Limits.ConnectTimeoutMs, 250)))
	front := mysql.NewFront(loop, cfg)
	loop.back = pool
	loop.report = func() any {
		return map[string]any{"front": front.Count, "requests": loop.Count, "engines": pool.Count,
			"open": loop.core.Open(), "classes": loop.core.Census()}
	}
	place := func(c *mysql.Config) {
		loop.apply(core.EngineList{Whole: true, Engines: pool.Place(c.Engines, cfg.Settings.HostTypes)})
	}
	place(cfg)
	reload := func() {
		c, err := mysql.ReadConfig(my.Path)
		loop.Post(func() {
			if err != nil || c == nil {
				loop.Logf("engines stay as they are: %v", err)
				return
			}
			place(c)
			loop.Logf("%d engines read", len(c.Engines))
		})
	}
	return &service{loop: loop, listen: l, accept: front.Serve, take: front.Take, leave: func(bool) { front.Leave() }, idle: front.Idle, reload: reload}, nil
}
