package haproxy

import (
	"dewhill/internal/mysql"
	"dewhill/internal/simproto"
)

// Names and values that the importer writes into the configuration of the MySQL front end.
const (
	defaultUser = "dewhill"
	readClass   = "read"
	loadClass   = "load"
	engineKind  = "engine"
	zone        = "local"

	stateActive   = "active"
	stateDraining = "leaving"

	idempotent    = "pure"
	notIdempotent = "side_effect"

	defaultServerTimeoutMS = 60_000
	defaultRetries         = 3 // the default of HAProxy
)

// build returns the configuration of the MySQL front end. It returns nil if the sections have no
// single frontend with one address and with servers, and reports fatal findings then.
func (im *importer) build() *mysql.Config {
	frontend := im.findFrontend()
	if frontend == nil {
		return nil
	}
	im.line = frontend.line
	backend := im.findBackend(frontend)
	if backend == nil {
		return nil
	}
	im.checkSections(frontend, backend)
	im.line = frontend.line
	if len(frontend.binds) != 1 {
		im.fail("%s %q has %d addresses, want exactly one", frontend.kind, frontend.name, len(frontend.binds))
		return nil
	}
	if len(backend.servers) == 0 {
		im.line = backend.line
		im.fail("%s %q has no servers", backend.kind, backend.name)
		return nil
	}
	return im.config(frontend, backend)
}

// findFrontend returns the first frontend or listen section, or nil if there is none. Each
// further section of these kinds is a fatal finding.
func (im *importer) findFrontend() *section {
	var frontend *section
	for _, s := range im.sections {
		if s.kind == kindBackend {
			continue
		}
		im.line = s.line
		if frontend != nil {
			im.fail("%s %q: only one front end is supported, and line %d has one already",
				s.kind, s.name, frontend.line)
			continue
		}
		frontend = s
	}
	im.line = max(1, im.line)
	if frontend == nil {
		im.fail("no frontend or listen section")
	}
	return frontend
}

// findBackend returns the section with the servers of the front end, or nil if there is none.
func (im *importer) findBackend(frontend *section) *section {
	if frontend.defaultBackend == "" {
		if frontend.kind == kindFrontend {
			im.fail("frontend %q has no default_backend", frontend.name)
			return nil
		}
		return frontend
	}
	var backend *section
	for _, s := range im.sections {
		if s.kind != kindFrontend && s.name == frontend.defaultBackend {
			backend = s
		}
	}
	if backend == nil {
		im.line = frontend.defaultBackendLine
		im.fail("backend %q does not exist", frontend.defaultBackend)
		return nil
	}
	if frontend.kind == kindListen && len(frontend.servers) > 0 && backend != frontend {
		im.fail("listen %q has both servers and a default_backend", frontend.name)
	}
	return backend
}

func (im *importer) checkSections(frontend, backend *section) {
	for _, s := range im.sections {
		im.line = s.line
		if s.kind == kindBackend && s != backend {
			im.note("backend %q is not used", s.name)
		}
		if s.mode != modeTCP && (s == frontend || s == backend) {
			im.fail("%s %q: mode http is the default; only tcp is supported, as MySQL is not HTTP",
				s.kind, s.name)
		}
	}
}

func (im *importer) config(frontend, backend *section) *mysql.Config {
	user := backend.user
	if user == "" {
		user = defaultUser
	}
	im.note("HAProxy forwards logins to the servers, this program does not: account %q with an empty "+
		"password was written for clients and engines; set your own account", user)
	config := &mysql.Config{
		Enabled:   true,
		Listen:    frontend.binds[0],
		Accounts:  []mysql.Account{{User: user, Password: ""}},
		Engines:   engines(backend, user),
		ReadClass: readClass,
		LoadClass: loadClass,
		Settings:  settings(backend),
	}
	config.Limits.ConnectionsPerEngine = im.connectionsPerEngine(backend)
	config.Limits.Connections = frontend.maxConnections
	if frontend.maxConnections == 0 {
		config.Limits.Connections = im.maxConnections
	}
	return config
}

func engines(backend *section, user string) []mysql.Engine {
	var list []mysql.Engine
	for _, s := range backend.servers {
		state := stateActive
		if s.disabled || s.hasNoWeight {
			state = stateDraining
		}
		list = append(list, mysql.Engine{
			ID:      s.name,
			Address: s.address,
			Kind:    engineKind,
			Size:    s.weight,
			User:    user,
			State:   state,
		})
	}
	return list
}

// connectionsPerEngine returns the smallest maxconn of the servers, or 0 if no server has one: the
// configuration of the MySQL front end has one limit for all engines.
func (im *importer) connectionsPerEngine(backend *section) int {
	limit := 0
	for _, s := range backend.servers {
		im.line = s.line
		if s.maxConnections > 0 && limit > 0 && s.maxConnections != limit {
			im.note("maxconn %d: the smallest maxconn of the servers applies to each engine",
				s.maxConnections)
		}
		if s.maxConnections > 0 && (limit == 0 || s.maxConnections < limit) {
			limit = s.maxConnections
		}
	}
	return limit
}

// settings returns settings with two classes: reads, which may be retried, and loads, which must
// not run twice. The server timeout is the deadline of both classes.
func settings(backend *section) simproto.Settings {
	deadlineMS := backend.timeoutsMS["server"]
	if deadlineMS == 0 {
		deadlineMS = defaultServerTimeoutMS
	}
	retries := backend.retries
	if retries == 0 {
		retries = defaultRetries
	}
	var s simproto.Settings
	s.Classes = []simproto.Class{{
		Name:                readClass,
		LatencyObjectiveMS:  deadlineMS / 10,
		DeadlineMS:          deadlineMS,
		PriorityWeight:      1,
		Idempotency:         idempotent,
		IdempotencyWindowMS: 5000,
	}, {
		Name:                loadClass,
		LatencyObjectiveMS:  deadlineMS / 4,
		DeadlineMS:          deadlineMS,
		PriorityWeight:      5,
		Idempotency:         notIdempotent,
		IdempotencyWindowMS: 5000,
		OrderedByKey:        true,
	}}
	s.EngineKinds = []string{engineKind}
	s.Zones = []string{zone}
	s.Domain.CoresByKind = []int{16}
	s.Domain.MemoryMBByKind = []float64{32768}
	s.Domain.Threads = []int{1, 2}
	s.Domain.IsLoad = []bool{false, false}
	s.Domain.BlockedByLoads = []bool{false, false}
	s.Contract.ResponseGraceMS = 20
	s.Contract.DrainGraceMS = 500
	s.Limits.CanCancel = true
	s.Limits.SendsRetryAfter = true
	s.Limits.MaxRetryAfterMS = 500
	s.Limits.MaxAttempts = 1 + retries
	s.Limits.ConnectTimeoutMS = backend.timeoutsMS["connect"]
	s.Discovery = "push"
	s.Reporting.Via = "none"
	s.GatewayCount = 1
	s.TickMS = 5
	return s
}
