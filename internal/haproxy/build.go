package haproxy

import (
	"dewhill/internal/mysql"
	"dewhill/internal/simproto"
)

// Names and values of the imported deployment.
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
	defaultRetries         = 3 // HAProxy's own
)

// build returns the front's file of the one front end; nil after a fatal finding.
func (im *importer) build() *mysql.Config {
	front := im.findFront()
	if front == nil {
		return nil
	}
	im.line = front.line
	back := im.findBack(front)
	if back == nil {
		return nil
	}
	im.checkSections(front, back)
	im.line = front.line
	if len(front.binds) != 1 {
		im.fail("%s %q has %d addresses: one can be served", front.kind, front.name, len(front.binds))
		return nil
	}
	if len(back.servers) == 0 {
		im.line = back.line
		im.fail("%s %q has no servers", back.kind, back.name)
		return nil
	}
	return im.config(front, back)
}

// findFront returns the only frontend or listen section; nil if there is none.
func (im *importer) findFront() *section {
	var front *section
	for _, s := range im.sections {
		if s.kind == kindBackend {
			continue
		}
		im.line = s.line
		if front != nil {
			im.fail("%s %q: one front end can be served, and line %d has it", s.kind, s.name, front.line)
			continue
		}
		front = s
	}
	im.line = max(1, im.line)
	if front == nil {
		im.fail("no frontend or listen section")
	}
	return front
}

// findBack returns the section with the front end's servers; nil if there is
// none.
func (im *importer) findBack(front *section) *section {
	if front.defaultBackend == "" {
		if front.kind == kindFrontend {
			im.fail("frontend %q names no default_backend", front.name)
			return nil
		}
		return front
	}
	var back *section
	for _, s := range im.sections {
		if s.kind != kindFrontend && s.name == front.defaultBackend {
			back = s
		}
	}
	if back == nil {
		im.line = front.defaultBackendLine
		im.fail("no backend is named %q", front.defaultBackend)
		return nil
	}
	if front.kind == kindListen && len(front.servers) > 0 && back != front {
		im.fail("listen %q has servers of its own and default_backend", front.name)
	}
	return back
}

func (im *importer) checkSections(front, back *section) {
	for _, s := range im.sections {
		im.line = s.line
		if s.kind == kindBackend && s != back {
			im.note("backend %q is not used", s.name)
		}
		if s.mode != modeTCP && (s == front || s == back) {
			im.fail("%s %q: mode http is the default, and only tcp carries MySQL", s.kind, s.name)
		}
	}
}

func (im *importer) config(front, back *section) *mysql.Config {
	user := back.user
	if user == "" {
		user = defaultUser
	}
	im.note("HAProxy passes logins through: account %q with an empty password was written, here and at the engines; set yours", user)
	config := &mysql.Config{
		Enabled:   true,
		Listen:    front.binds[0],
		Accounts:  []mysql.Account{{User: user, Password: ""}},
		Engines:   engines(back, user),
		ReadClass: readClass,
		LoadClass: loadClass,
		Settings:  settings(back),
	}
	config.Limits.ConnectionsPerEngine = im.connectionsPerEngine(back)
	config.Limits.Connections = front.maxConnections
	if front.maxConnections == 0 {
		config.Limits.Connections = im.maxConnections
	}
	return config
}

func engines(back *section, user string) []mysql.Engine {
	var list []mysql.Engine
	for _, s := range back.servers {
		state := stateActive
		if s.draining {
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

// connectionsPerEngine returns the smallest limit of all servers; 0 if there is
// none.
func (im *importer) connectionsPerEngine(back *section) int {
	limit := 0
	for _, s := range back.servers {
		im.line = s.line
		if s.maxConnections > 0 && limit > 0 && s.maxConnections != limit {
			im.note("maxconn %d: the least of all servers holds for each", s.maxConnections)
		}
		if s.maxConnections > 0 && (limit == 0 || s.maxConnections < limit) {
			limit = s.maxConnections
		}
	}
	return limit
}

// settings are those of a general deployment: reads, which may be retried, and
// loads, which must not run twice. The server timeout is their deadline.
func settings(back *section) simproto.Settings {
	deadlineMS := back.timeoutsMS["server"]
	if deadlineMS == 0 {
		deadlineMS = defaultServerTimeoutMS
	}
	retries := back.retries
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
	s.Limits.ConnectTimeoutMS = back.timeoutsMS["connect"]
	s.Discovery = "push"
	s.Reporting.Via = "none"
	s.GatewayCount = 1
	s.TickMS = 5
	return s
}
