package adminapi

import (
	"errors"
	"net/url"
	"strings"
)

const (
	pathPrefix   = "/control/"
	enginePrefix = "engines/"
)

// route holds the handlers of a path: a view to read, or a change to make.
type route struct {
	read   func() response // GET
	change func() error    // POST
}

// handle carries out a request and returns its response.
func (s *Server) handle(r request) response {
	path, _, _ := strings.Cut(r.path, "?")
	name, found := strings.CutPrefix(path, pathPrefix)
	if !found {
		return response{status: statusNotFound}
	}
	found, target := s.route(name)
	switch {
	case !found:
		return response{status: statusNotFound}
	case target.read != nil && r.method == "GET":
		return target.read()
	case target.change != nil && r.method == "POST":
		return changeResponse(target.change())
	default:
		return response{status: statusMethodNotAllowed}
	}
}

// route returns the route of a path below pathPrefix, and whether there is one.
func (s *Server) route(name string) (bool, route) {
	if rest, found := strings.CutPrefix(name, enginePrefix); found {
		return s.engineRoute(rest)
	}
	switch name {
	case "ready":
		return true, route{read: s.ready}
	case "counters":
		return true, route{read: func() response { return response{statusOK, s.controller.CountersJSON()} }}
	case "fleet":
		return viewRoute(s.controller.FleetJSON())
	case "state":
		return viewRoute(s.controller.StateJSON())
	case "out-of-service":
		return true, route{change: func() error { return s.controller.SetInService(false) }}
	case "in-service":
		return true, route{change: func() error { return s.controller.SetInService(true) }}
	default:
		return false, route{}
	}
}

// engineRoute returns the route of ID/offline or ID/online, where ID is an escaped
// engine id.
func (s *Server) engineRoute(path string) (bool, route) {
	escaped, verb, _ := strings.Cut(path, "/")
	id, err := url.PathUnescape(escaped)
	if err != nil {
		return false, route{}
	}
	switch verb {
	case "offline":
		return true, route{change: func() error { return s.controller.SetEngineOverride(id, true) }}
	case "online":
		return true, route{change: func() error { return s.controller.SetEngineOverride(id, false) }}
	default:
		return false, route{}
	}
}

// viewRoute returns the route of a view. It is not found if the view is nil.
func viewRoute(view []byte) (bool, route) {
	if view == nil {
		return false, route{}
	}
	return true, route{read: func() response { return response{statusOK, view} }}
}

func (s *Server) ready() response {
	if s.controller.Ready() {
		return response{status: statusOK}
	}
	return response{status: statusServiceUnavailable}
}

func changeResponse(err error) response {
	var refusal *RefusalError
	switch {
	case errors.As(err, &refusal):
		return response{refusal.Status, refusal.Body}
	case err != nil:
		return response{status: statusNotFound}
	default:
		return response{status: statusOK}
	}
}
