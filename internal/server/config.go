package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"reflect"
	"strconv"

	"dewhill/internal/cluster"
	"dewhill/internal/discovery"
	"dewhill/internal/simproto"
	"dewhill/internal/subset"
)

// Config is the configuration of a platform front end, as the platform writes it. Subset
// and Cluster are settings of the operators, from separate TOML files: they are not part of
// the platform's JSON.
type Config struct {
	Name             string            `json:"name"`
	Listen           string            `json:"listen"` // address for clients
	Seed             string            `json:"seed"`   // seed of random choices, hexadecimal
	Limits           ResourceLimits    `json:"limits"`
	PeerListen       string            `json:"peer_listen"` // address for datagrams of peers; empty: none
	Peers            []string          `json:"peers"`
	PeersAll         string            `json:"peers_all"` // an address that reaches all peers; empty: none
	DiscoveryAddress string            `json:"board"`     // of the endpoint list; empty: none
	ControlListen    string            `json:"control"`   // address of the operators' API; empty: none
	InitialUpdates   discovery.Updates `json:"known"`     // applied before the list at DiscoveryAddress
	Settings         simproto.Settings `json:"settings"`

	seed uint64 // Seed as a number
	path string // of the file

	Subset  subset.Options  `json:"-"`
	Cluster cluster.Options `json:"-"`
}

// ResourceLimits are the resources that the platform assigns to a front end. 0 means no
// limit, or for sockets the default.
type ResourceLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// The environment variables that override the configuration.
const (
	envName          = "PROXY_NAME"
	envListen        = "PROXY_LISTEN"
	envControlListen = "PROXY_CONTROL"
)

// ReadSubsetOptions reads the options of engine subsets from a TOML file. If the file does
// not exist, it returns the defaults. The error for an invalid file names the file.
func ReadSubsetOptions(path string) (subset.Options, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return subset.DefaultOptions(), nil
	}
	if err != nil {
		return subset.Options{}, err
	}
	return subset.ParseOptions(path, data)
}

// ReadConfig reads the platform's configuration file, applies the environment, and
// validates the result. An error names the file.
func ReadConfig(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{path: path, Subset: subset.DefaultOptions(), Cluster: cluster.DefaultOptions()}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.applyEnvironment()
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// applyEnvironment applies the environment variables, which hold the settings that differ
// between front ends that are started with the same file.
func (c *Config) applyEnvironment() {
	for _, override := range []struct {
		name  string
		field *string
	}{
		{envName, &c.Name},
		{envListen, &c.Listen},
		{envControlListen, &c.ControlListen},
	} {
		if value := os.Getenv(override.name); value != "" {
			*override.field = value
		}
	}
}

// validate checks the configuration. It also sets the fields that are derived from it, and
// the defaults of the limits.
func (c *Config) validate() error {
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed %q is not a hexadecimal number", c.Seed)
	}
	c.seed = seed
	if err := c.validateAddresses(); err != nil {
		return err
	}
	c.InitialUpdates.SortByRevision()
	if err := c.InitialUpdates.Validate(); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	if c.DiscoveryAddress == "" && len(c.InitialUpdates.Updates) == 0 {
		return errors.New("board and known are both empty: no source of engines")
	}
	if err := validateSettings(&c.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := checkNotNegative("limits", reflect.ValueOf(c.Limits)); err != nil {
		return err
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultDescriptors
	}
	if c.Limits.Sockets < minDescriptors {
		return fmt.Errorf("limits: %d sockets, at least %d are needed", c.Limits.Sockets, minDescriptors)
	}
	return nil
}

func (c *Config) validateAddresses() error {
	for _, address := range []struct {
		key      string
		value    string
		optional bool
	}{
		{key: "listen", value: c.Listen},
		{key: "board", value: c.DiscoveryAddress, optional: true},
		{key: "control", value: c.ControlListen, optional: true},
	} {
		if address.optional && address.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return fmt.Errorf("%s: %w", address.key, err)
		}
	}
	return nil
}

// operatorAPIEnabled reports whether the operators' API has an address. Only then may two
// processes share the front end's addresses, as only operators run upgrades.
func (c *Config) operatorAPIEnabled() bool { return c.ControlListen != "" }

// replicates reports whether replication of the fleet's state is configured.
func (c *Config) replicates() bool { return c.Cluster.Enabled && c.Cluster.Replication.Enabled }

// classNames returns the names of the classes, in the order of the settings.
func (c *Config) classNames() []string {
	names := make([]string, len(c.Settings.Classes))
	for i, class := range c.Settings.Classes {
		names[i] = class.Name
	}
	return names
}

func (c *Config) tenantNames() []string {
	names := make([]string, len(c.Settings.Tenants))
	for i, tenant := range c.Settings.Tenants {
		names[i] = tenant.Name
	}
	return names
}
