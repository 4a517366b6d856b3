package server

import (
	"context"
	"fmt"
	"net"

	"dewhill/control"
	"dewhill/internal/cluster"
	"dewhill/internal/engineclient"
	"dewhill/internal/httpfront"
	"dewhill/internal/peer"
	"dewhill/internal/subset"
)

// platformFrontEnd is a running platform front end: HTTP clients on one side, the
// platform's engines on the other. Its fields belong to its loop.
type platformFrontEnd struct {
	cfg        *Config
	loop       *EventLoop
	httpServer *httpfront.Server
	enginePool *engineclient.Pool
	admin      *adminController
	peers      *peer.Transport  // nil: there are none
	cluster    *cluster.Cluster // nil: clustering is off
	endpoints  *endpointTable
	// engineStarts holds the engines' start times by the loop's clock.
	engineStarts engineStarts
	counters     platformCounters

	shuttingDown        bool
	leaseUsers          int    // front ends of this process that may request leases
	discoveryStarted    bool   // requests are sent to engines
	discoveryAddress    string // the address that is watched; empty: none
	stopWatch           context.CancelFunc
	revision            int64 // of the last applied update of the endpoint list
	endpointLinesLogged int
}

// newPlatformFrontEnd creates a front end and its service. It opens the sockets; clients
// are served once the service runs.
func newPlatformFrontEnd(cfg *Config) (*service, *platformFrontEnd, error) {
	settings, err := controlSettings(cfg)
	if err != nil {
		return nil, nil, err
	}
	f := &platformFrontEnd{
		cfg:       cfg,
		loop:      newEventLoop(cfg.Name, settings, cfg.seed),
		endpoints: newEndpointTable(subsetPlan(cfg, settings), cfg.Settings.Domain.CoresByKind),
	}
	f.loop.requestLog.classes = cfg.classNames()
	f.loop.countersReport = f.report
	limits := divideDescriptors(cfg.Limits.Sockets, cfg.operatorAPIEnabled())
	f.enginePool = f.newEnginePool(limits.engines)
	f.loop.backend = f.enginePool
	f.httpServer = f.newHTTPServer(settings, limits.clients)
	if f.admin, err = newAdminController(f, limits.operators); err != nil {
		return nil, nil, fmt.Errorf("control: %w", err)
	}
	listener, err := listen(cfg.Listen, cfg.operatorAPIEnabled())
	if err != nil {
		return nil, nil, err
	}
	if err := f.openPeers(settings); err != nil {
		return nil, nil, err
	}
	if f.replicatesState() {
		f.httpServer.SetDraining(true) // clients are sent elsewhere until CaughtUp
		f.cluster.WatchOverrides(f.admin)
	} else {
		f.startDiscovery()
	}
	return newService(f.loop, listener, f, maxDeadlineMS(cfg.Settings.Classes)), f, nil
}

// controlSettings returns the settings for package control, with the limit of open
// requests lowered to what the file descriptors allow.
func controlSettings(cfg *Config) (control.Settings, error) {
	settings, err := cfg.Settings.Control()
	if err != nil {
		return settings, err
	}
	settings.SendDelayAllowanceMS = sendDelayAllowanceMS(&cfg.Settings)
	maxOpen := cfg.Limits.Sockets / openRequestDivisor
	if settings.MaxOpenRequests == 0 || settings.MaxOpenRequests > maxOpen {
		settings.MaxOpenRequests = maxOpen
	}
	return settings, nil
}

// subsetPlan returns the plan by which this front end selects its subset of the engines.
func subsetPlan(cfg *Config, settings control.Settings) subset.Plan {
	return subset.Plan{
		GatewayIndex: settings.GatewayIndex,
		GatewayCount: settings.GatewayCount,
		Size:         cfg.Subset.Size,
		MaxThreads:   maxOrOne(cfg.Settings.Domain.Threads),
	}
}

// maxOrOne returns the largest value, or 1 if all values are smaller.
func maxOrOne(values []int) int {
	largest := 1
	for _, value := range values {
		largest = max(largest, value)
	}
	return largest
}

func (f *platformFrontEnd) newEnginePool(maxConnections int) *engineclient.Pool {
	limits := &f.cfg.Settings.Limits
	return engineclient.New(f.loop, engineclient.Options{
		Classes:              f.cfg.classNames(),
		ConnectTimeout:       connectTimeout(&f.cfg.Settings),
		IdleTimeout:          toDuration(orDefault(limits.ConnectionIdleMS, defaultIdleTimeoutMS)),
		StreamsPerConnection: orDefault(limits.StreamsPerConnection, defaultStreamsPerConnection),
		MaxConnections:       maxConnections,
		OnDescriptorShortage: func() { f.httpServer.FreeDescriptor() },
	})
}

func (f *platformFrontEnd) newHTTPServer(settings control.Settings, maxConnections int) *httpfront.Server {
	maxCores := maxOrOne(f.cfg.Settings.Domain.CoresByKind)
	classes := make([]httpfront.ClassLimits, len(f.cfg.Settings.Classes))
	for i, class := range f.cfg.Settings.Classes {
		classes[i] = httpfront.ClassLimits{
			Name:                   class.Name,
			MaxWorkMS:              class.DeadlineMS * float64(maxCores),
			RequiresIdempotencyKey: settings.Classes[i].Idempotency == control.IdempotentWithKey,
		}
	}
	return httpfront.New(f.loop, httpfront.Options{
		Classes:        classes,
		Tenants:        f.cfg.tenantNames(),
		MaxConnections: maxConnections,
		MemoryMB:       f.cfg.Limits.MemoryMB,
		RetryAfterMS:   int(orDefault(f.cfg.Settings.Limits.MaxRetryAfterMS, defaultRetryAfterMS)),
	})
}

// replicatesState reports whether this front end takes part in replicating the fleet's
// state.
func (f *platformFrontEnd) replicatesState() bool { return f.cluster != nil && f.cluster.Replicates() }

// Serve accepts clients until the listener is closed.
func (f *platformFrontEnd) Serve(listener net.Listener) { f.httpServer.Serve(listener) }

// ServeConn serves a client's connection that Serve did not accept.
func (f *platformFrontEnd) ServeConn(conn net.Conn) { f.httpServer.ServeConn(conn) }

func (f *platformFrontEnd) started() { f.admin.start() }

func (f *platformFrontEnd) replaced() bool { return f.admin.replaced() }

// beginShutdown notifies the HTTP server, the operators' API and the cluster of the
// shutdown. If another process has replaced this one, it stops communicating with
// peers: they must receive messages from one process of a front end at a time.
func (f *platformFrontEnd) beginShutdown(replaced bool) {
	f.shuttingDown = true
	f.httpServer.BeginShutdown()
	if !replaced {
		if f.cluster != nil {
			f.cluster.Leave()
		}
		return
	}
	f.admin.handOver()
	if f.cluster != nil {
		f.cluster.Close()
	}
	if f.peers != nil {
		f.loop.broadcast = nil
		_ = f.peers.Close()
	}
}

func (f *platformFrontEnd) stopAccepting() { f.httpServer.StopAccepting() }

func (f *platformFrontEnd) reachShutdownDeadline() {}

// idle reports whether no client waits for a response and no lease is pending or may still
// be requested.
func (f *platformFrontEnd) idle() bool {
	return f.httpServer.Idle() && f.leaseUsers == 0 && (f.cluster == nil || f.cluster.PendingLeases() == 0)
}

func (f *platformFrontEnd) stopped() {}
