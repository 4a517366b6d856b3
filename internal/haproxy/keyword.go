package haproxy

import (
	"net"
	"slices"
	"strconv"
	"strings"
)

// modeTCP is the only supported mode, as MySQL is not HTTP.
const modeTCP = "tcp"

// Keywords that do not change how clients are served. Each is reported as a note.
var (
	ignoredGlobals = []string{"log", "daemon", "user", "group", "uid", "gid", "chroot", "pidfile", "stats",
		"nbthread", "nbproc", "cpu-map", "ulimit-n", "description", "node", "quiet", "log-tag",
		"log-send-hostname", "master-worker", "unsetenv", "presetenv", "hard-stop-after", "tune.bufsize",
		"tune.maxrewrite", "ssl-default-bind-ciphers", "ssl-default-bind-options"}
	ignoredKeywords = []string{"log", "log-format", "log-tag", "description", "option tcplog",
		"option httplog", "option dontlognull", "option dontlog-normal", "option clitcpka", "option srvtcpka",
		"option tcpka", "option log-health-checks", "option logasap", "option contstats",
		"option splice-auto", "option splice-request", "option splice-response", "id", "no log",
		"option tcp-smart-accept", "option tcp-smart-connect"}
)

// stickyAlgorithms are the balancing algorithms that assign a client to a fixed server.
var stickyAlgorithms = []string{"source", "uri", "hdr", "rdp-cookie", "url_param", "hash"}

// readKeyword reads a line of a section.
func (im *importer) readKeyword(s *section, fields []string) {
	switch {
	case s.kind == kindUnsupported: // the section has been reported
	case s.kind == kindGlobal:
		im.readGlobal(fields)
	case slices.Contains(ignoredKeywords, fields[0]) || slices.Contains(ignoredKeywords, keywordText(fields)):
		im.note("%s is not imported: it does not change how clients are served", keywordText(fields))
	case fields[0] == "mode":
		s.mode = argument(fields)
		if s.mode != modeTCP {
			im.fail("mode %s: only tcp is supported, as MySQL is not HTTP", s.mode)
		}
	case fields[0] == "timeout":
		im.readTimeout(s, fields)
	case s.allowsFrontendKeywords() && im.readFrontendKeyword(s, fields):
	case s.allowsBackendKeywords() && im.readBackendKeyword(s, fields):
	default:
		im.fail("%s is not supported", keywordText(fields))
	}
}

// keywordText returns the first two words of a line, or its only word.
func keywordText(fields []string) string { return strings.Join(fields[:min(2, len(fields))], " ") }

func (im *importer) readGlobal(fields []string) {
	switch {
	case fields[0] == "maxconn":
		im.maxConnections = im.number(fields)
	case slices.Contains(ignoredGlobals, fields[0]):
		im.note("%s is not imported: it does not change how clients are served", keywordText(fields))
	default:
		im.fail("global %s is not supported", fields[0])
	}
}

// readFrontendKeyword reads a keyword of a front end. It returns false for any other keyword.
func (im *importer) readFrontendKeyword(s *section, fields []string) bool {
	switch fields[0] {
	case "bind":
		if s.kind == kindDefaults {
			return false
		}
		im.readBind(s, fields)
	case "default_backend":
		s.defaultBackend = argument(fields)
		s.defaultBackendLine = im.line
	case "maxconn":
		s.maxConnections = im.number(fields)
	default:
		return false
	}
	return true
}

// readBackendKeyword reads a keyword of a back end. It returns false for any other keyword.
func (im *importer) readBackendKeyword(s *section, fields []string) bool {
	switch fields[0] {
	case "balance":
		im.readBalance(fields)
	case "server":
		if s.kind == kindDefaults {
			return false
		}
		im.readServer(s, fields)
	case "default-server":
		im.readServerOptions(&s.defaultServer, fields[1:])
	case "retries":
		s.retries = im.number(fields)
	case "tcp-check":
		im.note("%s is not imported: the health of an engine follows from its replies", keywordText(fields))
	case "option":
		return im.readBackendOption(s, fields)
	default:
		return false
	}
	return true
}

// readBackendOption reads an option of a back end. It returns false for any other option.
func (im *importer) readBackendOption(s *section, fields []string) bool {
	switch argument(fields) {
	case "mysql-check":
		if i := slices.Index(fields, "user"); i > 0 && i+1 < len(fields) {
			s.user = fields[i+1]
		}
		im.note("option mysql-check is not imported: the health of an engine follows from its replies")
	case "tcp-check":
		im.note("option tcp-check is not imported: the health of an engine follows from its replies")
	case "redispatch":
		im.note("option redispatch is not imported: a request that has certainly not run may always be " +
			"retried at another engine")
	default:
		return false
	}
	return true
}

func (im *importer) readBalance(fields []string) {
	im.note("balance %s is not imported: the gateway chooses the engine of each request", argument(fields))
	if slices.Contains(stickyAlgorithms, argument(fields)) {
		im.fail("balance %s ties clients to servers, which is not supported", argument(fields))
	}
}

func (im *importer) readBind(s *section, fields []string) {
	for addr := range strings.SplitSeq(argument(fields), ",") {
		host, port, err := net.SplitHostPort(addr)
		if err != nil || strings.ContainsAny(addr, "@/$") || strings.Contains(port, "-") {
			im.fail("bind %q: only addresses with one port are supported", addr)
			continue
		}
		if host == "*" {
			host = ""
		}
		s.binds = append(s.binds, net.JoinHostPort(host, port))
	}
	for _, option := range fields[min(2, len(fields)):] {
		im.fail("bind option %q is not supported", option)
	}
}

// number returns the argument of a keyword, which must be a whole number.
func (im *importer) number(fields []string) int {
	n, err := strconv.ParseUint(argument(fields), 10, 31)
	if err != nil {
		im.fail("%s: %q is not a whole number", fields[0], argument(fields))
	}
	return int(n)
}

// timeUnits are the units of times. A time without a unit is in milliseconds.
var timeUnits = []struct {
	suffix       string
	milliseconds float64
}{{"us", 0.001}, {"ms", 1}, {"s", 1000}, {"m", 60_000}, {"h", 3_600_000}, {"d", 86_400_000}, {"", 1}}

func (im *importer) readTimeout(s *section, fields []string) {
	if len(fields) != 3 {
		im.fail("timeout needs a name and a time")
		return
	}
	name := fields[1]
	milliseconds, ok := parseTime(fields[2])
	if !ok {
		im.fail("timeout %s: %q is not a time", name, fields[2])
		return
	}
	switch name {
	case "server", "connect", "client":
		s.timeoutsMS[name] = milliseconds
	case "check", "queue", "tunnel", "client-fin", "server-fin":
		im.note("timeout %s is not imported: the deadlines of the classes apply", name)
	default:
		im.fail("timeout %s is not supported", name)
	}
}

func parseTime(text string) (milliseconds float64, ok bool) {
	for _, unit := range timeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 40)
		if err == nil {
			return float64(n) * unit.milliseconds, true
		}
	}
	return 0, false
}
