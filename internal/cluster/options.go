package cluster

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"

	"dewhill/internal/membership"
	"dewhill/internal/peer"
	"dewhill/internal/replication"
)

// Options are the operators' settings. They are read from the TOML file that the flag
// -group names.
type Options struct {
	Enabled          bool     `toml:"on"`
	MaxDatagramBytes int      `toml:"datagram"`
	Seeds            []string `toml:"seeds"`     // addresses to join through if no peers are configured
	FleetSize        int      `toml:"size"`      // number of front ends, for quorums; 0: number of members in the view
	StateDir         string   `toml:"state_dir"` // directory for durable state (internal/store); empty: none

	ProbeIntervalMS     float64 `toml:"period_ms"`
	ProbeTimeoutMS      float64 `toml:"retry_ms"`
	SuspicionMinMS      float64 `toml:"suspect_min_ms"`
	SuspicionMaxMS      float64 `toml:"suspect_max_ms"`
	ReconnectIntervalMS float64 `toml:"reconnect_ms"`
	ForgetAfterMS       float64 `toml:"forget_ms"`
	DatagramsPerSecond  float64 `toml:"datagrams_per_second"`

	Replication ReplicationOptions `toml:"replica"`

	seeds []netip.AddrPort // Seeds, parsed
}

// WriteQuorum identifies the front ends that must have stored an override before its write
// succeeds.
type WriteQuorum string

// The values of WriteQuorum, as they appear in the settings.
const (
	QuorumSelf     WriteQuorum = "here"
	QuorumMajority WriteQuorum = "majority"
)

// ReplicationOptions are the settings of the replicated state
// (internal/replication).
type ReplicationOptions struct {
	Enabled           bool        `toml:"on"`
	WriteQuorum       WriteQuorum `toml:"keep"`
	ResendMS          float64     `toml:"again_ms"`
	WriteTimeoutMS    float64     `toml:"answer_ms"`
	CompareIntervalMS float64     `toml:"compare_ms"`
	CatchUpTimeoutMS  float64     `toml:"catch_up_ms"`
	BytesPerSecond    float64     `toml:"bytes_per_second"`
}

// Times returns the replication protocol's times and send rate.
func (o *ReplicationOptions) Times() replication.Times {
	return replication.Times{
		ResendMS:          o.ResendMS,
		WriteTimeoutMS:    o.WriteTimeoutMS,
		CompareIntervalMS: o.CompareIntervalMS,
		CatchUpTimeoutMS:  o.CatchUpTimeoutMS,
		BytesPerSecond:    o.BytesPerSecond,
	}
}

// Times returns the membership protocol's times and send rate.
func (o *Options) Times() membership.Times {
	return membership.Times{
		ProbeIntervalMS:     o.ProbeIntervalMS,
		ProbeTimeoutMS:      o.ProbeTimeoutMS,
		SuspicionMinMS:      o.SuspicionMinMS,
		SuspicionMaxMS:      o.SuspicionMaxMS,
		ReconnectIntervalMS: o.ReconnectIntervalMS,
		ForgetAfterMS:       o.ForgetAfterMS,
		DatagramsPerSecond:  o.DatagramsPerSecond,
	}
}

// DefaultOptions returns the options that apply without a file: everything is off.
func DefaultOptions() Options {
	times := membership.DefaultTimes()
	return Options{
		MaxDatagramBytes:    peer.MaxDatagramBytes,
		ProbeIntervalMS:     times.ProbeIntervalMS,
		ProbeTimeoutMS:      times.ProbeTimeoutMS,
		SuspicionMinMS:      times.SuspicionMinMS,
		SuspicionMaxMS:      times.SuspicionMaxMS,
		ReconnectIntervalMS: times.ReconnectIntervalMS,
		ForgetAfterMS:       times.ForgetAfterMS,
		DatagramsPerSecond:  times.DatagramsPerSecond,
		Replication:         defaultReplicationOptions(),
	}
}

func defaultReplicationOptions() ReplicationOptions {
	times := replication.DefaultTimes()
	return ReplicationOptions{
		WriteQuorum:       QuorumMajority,
		ResendMS:          times.ResendMS,
		WriteTimeoutMS:    times.WriteTimeoutMS,
		CompareIntervalMS: times.CompareIntervalMS,
		CatchUpTimeoutMS:  times.CatchUpTimeoutMS,
		BytesPerSecond:    times.BytesPerSecond,
	}
}

// ReadOptions reads the options from a file. If the file does not exist, it returns the
// defaults. The error for an invalid setting contains the file, the key and, if possible,
// the line.
func ReadOptions(path string) (Options, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return DefaultOptions(), nil
	}
	if err != nil {
		return Options{}, err // contains the operation and the path
	}
	return ParseOptions(path, text)
}

// ParseOptions reads the options from the text of a file. Errors start with the name of the
// file.
func ParseOptions(name string, text []byte) (Options, error) {
	options := DefaultOptions()
	metadata, err := toml.Decode(string(text), &options)
	var syntaxError toml.ParseError
	switch {
	case errors.As(err, &syntaxError):
		return Options{}, fmt.Errorf("%s: line %d: %s", name, syntaxError.Position.Line, syntaxError.Message)
	case err != nil:
		return Options{}, fmt.Errorf("%s: %w", name, err)
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		key := unknown[0]
		return Options{}, fmt.Errorf("%s: line %d: unknown key %q", name, lineOf(text, key[len(key)-1]), key.String())
	}
	if err := options.validate(); err != nil {
		var invalid *settingError
		if errors.As(err, &invalid) {
			return Options{}, fmt.Errorf("%s: line %d: %w", name, lineOf(text, invalid.key), err)
		}
		return Options{}, fmt.Errorf("%s: %w", name, err)
	}
	return options, nil
}
