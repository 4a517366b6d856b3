package cluster

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"dewhill/internal/peer"
)

// settingError is the error for an invalid setting.
type settingError struct {
	key string // as in the file
	err error
}

// Error implements error.
func (e *settingError) Error() string { return e.key + " " + e.err.Error() }

// Unwrap returns the reason why the setting is invalid.
func (e *settingError) Unwrap() error { return e.err }

const dayMS = 86_400_000

// minDatagramsPerPeriod is the number of datagrams per probe interval that probes need.
const minDatagramsPerPeriod = 2.5

// settingRange is the range of a numeric setting.
type settingRange struct {
	key             string
	value, min, max float64
}

// ranges returns the range of each numeric setting. Some ranges depend on other settings.
func (o *Options) ranges() []settingRange {
	r := &o.Replication
	return []settingRange{
		{"datagram", float64(o.MaxDatagramBytes), 128, 1400},
		{"size", float64(o.FleetSize), 0, 4096},
		{"period_ms", o.ProbeIntervalMS, 100, 60_000},
		{"retry_ms", o.ProbeTimeoutMS, 10, o.ProbeIntervalMS / 3},
		{"suspect_min_ms", o.SuspicionMinMS, o.ProbeIntervalMS, 600_000},
		{"suspect_max_ms", o.SuspicionMaxMS, o.SuspicionMinMS, 600_000},
		{"reconnect_ms", o.ReconnectIntervalMS, o.ProbeIntervalMS, 600_000},
		{"forget_ms", o.ForgetAfterMS, 10 * o.ProbeIntervalMS, 7 * dayMS},
		{"datagrams_per_second", o.DatagramsPerSecond, 1000 * minDatagramsPerPeriod / o.ProbeIntervalMS, 1000},
		{"again_ms", r.ResendMS, 20, 5000},
		{"answer_ms", r.WriteTimeoutMS, 2 * r.ResendMS, 60_000},
		{"compare_ms", r.CompareIntervalMS, 100, 600_000},
		{"catch_up_ms", r.CatchUpTimeoutMS, 500, 600_000},
		{"bytes_per_second", r.BytesPerSecond, 1024, 100 << 20},
	}
}

// validate checks the settings and parses the seeds. It returns a settingError for the first
// invalid setting.
func (o *Options) validate() error {
	for _, r := range o.ranges() {
		if !(r.value >= r.min && r.value <= r.max) { // so that NaN is invalid
			return &settingError{r.key, fmt.Errorf("is %v, must be %v to %v", r.value, r.min, r.max)}
		}
	}
	if err := o.validateReplication(); err != nil {
		return err
	}
	if err := validateStateDir(o.StateDir); err != nil {
		return err
	}
	return o.parseSeeds()
}

func (o *Options) validateReplication() error {
	r := &o.Replication
	switch {
	case r.WriteQuorum != QuorumSelf && r.WriteQuorum != QuorumMajority:
		return &settingError{"keep", fmt.Errorf("is %q, must be \"here\" or \"majority\"", r.WriteQuorum)}
	case r.Enabled && !o.Enabled:
		return &settingError{"[replica]", errors.New("is on, which requires on = true at the top level")}
	case r.Enabled && o.MaxDatagramBytes < peer.MaxDatagramBytes:
		return &settingError{"datagram", fmt.Errorf("is %d, replication requires at least %d",
			o.MaxDatagramBytes, peer.MaxDatagramBytes)}
	default:
		return nil
	}
}

func validateStateDir(dir string) error {
	if dir == "" {
		return nil
	}
	info, err := os.Stat(dir)
	if err != nil {
		return &settingError{"state_dir", err}
	}
	if !info.IsDir() {
		return &settingError{"state_dir", errors.New("is not a directory")}
	}
	return nil
}

func (o *Options) parseSeeds() error {
	o.seeds = nil
	for _, seed := range o.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil || addr.Port() == 0 {
			return &settingError{"seeds", fmt.Errorf("contains %q, must be addresses like 10.0.0.4:7946", seed)}
		}
		o.seeds = append(o.seeds, addr)
	}
	return nil
}

// lineOf returns the line on which a key or a table is set, or the last line if it is not
// found. It is needed because the parser reports lines only for syntax errors.
func lineOf(text []byte, key string) int {
	line := 0
	for content := range strings.SplitSeq(string(text), "\n") {
		line++
		rest, found := strings.CutPrefix(strings.TrimLeft(content, " \t"), key)
		isTable := strings.HasPrefix(key, "[")
		if found && (isTable || strings.HasPrefix(rest, " ") || strings.HasPrefix(rest, "=") || strings.HasPrefix(rest, "\t")) {
			return line
		}
	}
	return line
}
