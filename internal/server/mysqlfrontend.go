package server

import (
	"errors"
	"math/rand/v2"
	"net"

	"dewhill/control"
	"dewhill/internal/dispatch"
	"dewhill/internal/mysql"
)

// errMySQLDisabled is the error of a reload that would turn the MySQL front end off.
var errMySQLDisabled = errors.New("the file does not exist or turns the MySQL front end off")

// MySQLConfig is the MySQL front end's configuration, with the path of its file for
// reloads.
type MySQLConfig struct {
	Path   string
	Config *mysql.Config
}

// ReadMySQLConfig reads the MySQL front end's file. It returns nil if the file does not
// exist or turns the front end off.
func ReadMySQLConfig(path string) (*MySQLConfig, error) {
	cfg, err := mysql.ReadConfig(path)
	if cfg == nil || err != nil {
		return nil, err
	}
	return &MySQLConfig{Path: path, Config: cfg}, nil
}

// mySQLFrontEnd is a running MySQL front end. Its fields belong to its loop.
type mySQLFrontEnd struct {
	path   string
	cfg    *mysql.Config
	loop   *EventLoop
	pool   *mysql.Pool
	server *mysql.Server
	leases *leaseCoordinator // nil: loads need no leases
}

// newMySQLFrontEnd creates a front end and its service. platform is the platform front end
// of this process, or nil: if state is replicated, its cluster grants the leases of loads.
func newMySQLFrontEnd(config *MySQLConfig, platform *platformFrontEnd) (*service, error) {
	cfg := config.Config
	settings, err := mySQLControlSettings(cfg)
	if err != nil {
		return nil, err
	}
	listener, err := listen(cfg.Listen, platform != nil && platform.cfg.operatorAPIEnabled())
	if err != nil {
		return nil, err
	}
	f := &mySQLFrontEnd{path: config.Path, cfg: cfg, loop: newEventLoop("mysql", settings, rand.Uint64())}
	f.pool = mysql.NewPool(f.loop, cfg.Limits, connectTimeout(&cfg.Settings))
	f.server = mysql.NewServer(f.loop, cfg)
	f.loop.backend = f.pool
	f.loop.countersReport = f.report
	if platform != nil && platform.replicatesState() {
		f.leases = &leaseCoordinator{platform: platform, mysqlLoop: f.loop}
		f.server.Leases = f.leases
		platform.leaseUsers++
	}
	f.applyEngines(cfg.Engines)
	deadlineMS := 0.0
	if platform != nil { // the platform kills the process some time after the shutdown signal
		deadlineMS = maxDeadlineMS(cfg.Settings.Classes)
	}
	return newService(f.loop, listener, f, deadlineMS), nil
}

// mySQLControlSettings returns the settings for package control. Gossip is off, as this
// front end has no peers.
func mySQLControlSettings(cfg *mysql.Config) (control.Settings, error) {
	settings, err := cfg.Settings.Control()
	if err != nil {
		return settings, err
	}
	settings.CanGossip = false
	settings.SendDelayAllowanceMS = sendDelayAllowanceMS(&cfg.Settings)
	maxOpen := cfg.Limits.MaxOpenRequests
	if settings.MaxOpenRequests == 0 || settings.MaxOpenRequests > maxOpen {
		settings.MaxOpenRequests = maxOpen
	}
	return settings, nil
}

// applyEngines replaces the engines in the pool and in the dispatcher.
func (f *mySQLFrontEnd) applyEngines(engines []mysql.Engine) {
	infos := f.pool.SetEndpoints(engines, f.cfg.Settings.EngineKinds)
	f.loop.apply(dispatch.EndpointsChanged{Snapshot: true, Engines: infos})
}

// reload reads the file again and has the loop apply its engines. All other settings take
// effect at the next start.
func (f *mySQLFrontEnd) reload() {
	cfg, err := readWithRetries(f.rereadConfig)
	f.loop.Post(func() {
		if err != nil {
			f.loop.Logf("reload failed, engines unchanged: %v", err)
			return
		}
		f.applyEngines(cfg.Engines)
		f.loop.Logf("%d engines read", len(cfg.Engines))
	})
}

// rereadConfig returns an error instead of a nil configuration.
func (f *mySQLFrontEnd) rereadConfig() (*mysql.Config, error) {
	cfg, err := mysql.ReadConfig(f.path)
	if cfg == nil && err == nil {
		return nil, errMySQLDisabled
	}
	return cfg, err
}

func (f *mySQLFrontEnd) report() any {
	return mySQLReport{
		Classes:      f.loop.dispatcher.OpenByClass(),
		Engines:      f.pool.Counters,
		Server:       f.server.Counters,
		OpenRequests: f.loop.OpenRequests(),
		Requests:     f.loop.Counters,
	}
}

// Serve accepts clients until the listener is closed.
func (f *mySQLFrontEnd) Serve(listener net.Listener) { f.server.Serve(listener) }

// ServeConn serves a client's connection that Serve did not accept.
func (f *mySQLFrontEnd) ServeConn(conn net.Conn) { f.server.ServeConn(conn) }

func (f *mySQLFrontEnd) started() {}

// replaced returns false: only the platform front end hands over to another process.
func (f *mySQLFrontEnd) replaced() bool { return false }

func (f *mySQLFrontEnd) beginShutdown(bool) { f.server.BeginShutdown() }

func (f *mySQLFrontEnd) stopAccepting() { f.server.StopAccepting() }

func (f *mySQLFrontEnd) reachShutdownDeadline() { f.server.ReachShutdownDeadline() }

func (f *mySQLFrontEnd) idle() bool { return f.server.Idle() }

func (f *mySQLFrontEnd) stopped() {
	if f.leases != nil {
		f.leases.close()
	}
}
