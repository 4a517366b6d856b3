package haproxy

import (
	"maps"
	"slices"
)

// sectionKind is the keyword that begins a section, or kindUnsupported.
type sectionKind string

const (
	kindGlobal      sectionKind = "global"
	kindDefaults    sectionKind = "defaults"
	kindFrontend    sectionKind = "frontend"
	kindBackend     sectionKind = "backend"
	kindListen      sectionKind = "listen"
	kindUnsupported sectionKind = "other" // its lines are skipped
)

var (
	sectionKinds        = []sectionKind{kindGlobal, kindDefaults, kindFrontend, kindBackend, kindListen}
	unsupportedSections = []string{"userlist", "peers", "mailers", "resolvers", "program", "cache",
		"http-errors", "ring", "log-forward", "fcgi-app", "crt-store", "traces", "log-profile"}
)

// section is a section of the configuration, with the values that it inherits from defaults.
type section struct {
	kind               sectionKind
	name               string
	line               int
	mode               string
	binds              []string
	defaultBackend     string
	defaultBackendLine int
	servers            []server
	defaultServer      server
	maxConnections     int
	timeoutsMS         map[string]float64
	retries            int
	user               string // of option mysql-check
}

// allowsFrontendKeywords reports whether the section may have keywords of a front end.
func (s *section) allowsFrontendKeywords() bool {
	return s.kind == kindFrontend || s.kind == kindListen || s.kind == kindDefaults
}

// allowsBackendKeywords reports whether the section may have keywords of a back end.
func (s *section) allowsBackendKeywords() bool {
	return s.kind == kindBackend || s.kind == kindListen || s.kind == kindDefaults
}

// beginSection returns the section that a line begins, or nil if it does not begin a section.
func (im *importer) beginSection(fields []string) *section {
	if slices.Contains(unsupportedSections, fields[0]) && len(fields) <= 2 {
		im.fail("section %q is not supported", fields[0])
		return &section{kind: kindUnsupported}
	}
	kind := sectionKind(fields[0])
	if !slices.Contains(sectionKinds, kind) {
		return nil
	}
	s := &section{kind: kind, name: argument(fields), line: im.line, timeoutsMS: map[string]float64{}}
	switch kind {
	case kindGlobal:
	case kindDefaults:
		im.findDefaults(fields)
		im.defaults = s
		if s.name != "" {
			im.namedDefaults[s.name] = s
		}
	default:
		s.inherit(im.findDefaults(fields))
		im.addSection(s)
	}
	return s
}

// findDefaults returns the defaults section that a section names with "from", or else the last
// defaults section before it.
func (im *importer) findDefaults(fields []string) *section {
	if len(fields) != 4 || fields[2] != "from" {
		return im.defaults
	}
	defaults := im.namedDefaults[fields[3]]
	if defaults == nil {
		im.fail("defaults section %q does not exist", fields[3])
		return im.defaults
	}
	return defaults
}

// inherit copies the values of a defaults section.
func (s *section) inherit(defaults *section) {
	s.mode = defaults.mode
	s.maxConnections = defaults.maxConnections
	s.retries = defaults.retries
	s.defaultServer = defaults.defaultServer
	s.user = defaults.user
	s.defaultBackend = defaults.defaultBackend
	s.defaultBackendLine = defaults.defaultBackendLine
	maps.Copy(s.timeoutsMS, defaults.timeoutsMS)
}

func (im *importer) addSection(s *section) {
	if s.name == "" {
		im.fail("%s has no name", s.kind)
	}
	for _, other := range im.sections {
		if other.name == s.name && other.mustDifferInName(s) {
			im.fail("%s %q is defined already", s.kind, s.name)
		}
	}
	im.sections = append(im.sections, s)
}

// mustDifferInName reports whether two sections must not have the same name: a frontend may share
// its name only with a backend or a listen section.
func (s *section) mustDifferInName(other *section) bool {
	return s.kind == other.kind || s.kind != kindFrontend && other.kind != kindFrontend
}
