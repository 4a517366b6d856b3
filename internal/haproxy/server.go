package haproxy

import (
	"net"
	"strconv"
	"strings"
)

// maxWeight is the largest weight that HAProxy accepts.
const maxWeight = 256

// server is a server line, or the options of default-server.
type server struct {
	name           string
	address        string
	line           int
	weight         float64
	maxConnections int
	disabled       bool
	hasNoWeight    bool // weight 0: HAProxy sends no new connections to the server
}

func (im *importer) readServer(s *section, fields []string) {
	if len(fields) < 3 {
		im.fail("server needs a name and an address")
		return
	}
	added := s.defaultServer
	added.name = fields[1]
	added.address = fields[2]
	added.line = im.line
	host, port, err := net.SplitHostPort(added.address)
	if err != nil || host == "" || strings.ContainsAny(port, "+-") {
		im.fail("server %s: %q is not an address with one port", added.name, added.address)
		return
	}
	if im.readServerOptions(&added, fields[3:]) {
		s.servers = append(s.servers, added)
	}
}

// readServerOptions reads the options of a server and reports whether the server can be imported with
// them.
func (im *importer) readServerOptions(s *server, options []string) bool {
	usable := true
	for i := 0; i < len(options); i++ {
		option := options[i]
		if !takesValue(option) {
			usable = im.readServerFlag(s, option) && usable
			continue
		}
		value := ""
		if i+1 < len(options) {
			value = options[i+1]
		} else {
			im.fail("server option %s needs a value", option)
		}
		im.readServerValue(s, option, value)
		i++
	}
	return usable
}

func takesValue(option string) bool {
	switch option {
	case "weight", "maxconn", "inter", "fastinter", "downinter", "rise", "fall", "port", "slowstart",
		"observe", "error-limit", "on-error", "id", "on-marked-down", "on-marked-up":
		return true
	default:
		return false
	}
}

// readServerFlag reads an option without a value and reports whether the server can be imported
// with it.
func (im *importer) readServerFlag(s *server, option string) bool {
	switch option {
	case "check", "no-check":
		im.note("%s is not imported: the health of an engine follows from its replies", option)
	case "disabled":
		s.disabled = true
	case "enabled":
		s.disabled = false
	case "backup":
		im.fail("backup is not supported: every engine on the endpoint list receives requests")
		return false
	default:
		im.fail("server option %q is not supported", option)
		return false
	}
	return true
}

func (im *importer) readServerValue(s *server, option, value string) {
	switch option {
	case "weight":
		weight, err := strconv.ParseUint(value, 10, 16)
		if err != nil || weight > maxWeight {
			im.fail("weight %q is not a whole number from 0 to %d", value, maxWeight)
		}
		s.weight = float64(weight)
		s.hasNoWeight = weight == 0
	case "maxconn":
		connections, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			im.fail("maxconn %q is not a whole number", value)
		}
		s.maxConnections = int(connections)
	default:
		im.note("server option %s is not imported: the health of an engine follows from its replies", option)
	}
}
