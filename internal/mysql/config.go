package mysql

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"regexp"
	"slices"
	"strings"

	"dewhill/internal/simproto"
)

// Config is the configuration file of the MySQL front end. Its JSON keys must stay
// compatible with existing files.
type Config struct {
	Enabled   bool              `json:"on"`
	Listen    string            `json:"listen"`
	Accounts  []Account         `json:"accounts"`
	Engines   []Engine          `json:"engines"`
	Rules     []Rule            `json:"rules"`
	ReadClass string            `json:"read_class"` // class of statements that only read and match no rule
	LoadClass string            `json:"load_class"` // class of statements that may write and match no rule
	Limits    Limits            `json:"limits"`
	Settings  simproto.Settings `json:"settings"`
}

// Account is a user that may log in.
type Account struct {
	User     string `json:"user"`
	Password string `json:"password"`
	Database string `json:"database,omitempty"`
}

// Engine is an engine's address with the user and password for logging in to it.
type Engine struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	Kind     string  `json:"kind"`
	Size     float64 `json:"share,omitempty"`
	User     string  `json:"user"`
	Password string  `json:"password"`
	State    string  `json:"state,omitempty"` // "active" (the default) or "leaving"
}

// Rule sets the class and other options of the statements that it matches. Only the
// first rule that matches a statement applies.
type Rule struct {
	Verbs      []string `json:"verbs,omitempty"`   // first keywords, in any case; empty: any statement
	Match      string   `json:"match,omitempty"`   // regular expression for the statement without comments
	Account    string   `json:"account,omitempty"` // empty: any account
	Class      string   `json:"class"`
	Key        string   `json:"key,omitempty"` // order key: "text:T", "table", or "param:N" counted from 0
	DeadlineMS float64  `json:"deadline_ms,omitempty"`
	WorkMS     float64  `json:"cost_ms,omitempty"`
	MemoryMB   float64  `json:"memory_mb,omitempty"`

	match *regexp.Regexp
	class int
	param int
}

// Limits bound the resources that the front end uses. Zero selects the default.
type Limits struct {
	Connections          int     `json:"connections,omitempty"` // connections of clients
	ConnectionsPerEngine int     `json:"per_engine,omitempty"`  // connections to one engine
	MaxOpenRequests      int     `json:"waiting,omitempty"`     // requests that are queued or in flight
	KnownIDs             int     `json:"known_ids,omitempty"`   // ids of loads kept to recognize repeats
	IdleMS               float64 `json:"idle_ms,omitempty"`     // idle time limit of engine connections
	ResultMB             int     `json:"result_mb,omitempty"`   // maximum size of the rows of one result
}

// The forms of Rule.Key.
const (
	keyTable       = "table"
	keyTextPrefix  = "text:"
	keyParamFormat = "param:%d"
)

// The values of Engine.State.
const (
	stateActive   = "active"
	stateDraining = "leaving"
)

// The defaults of Limits.
const (
	defaultConnections          = 256
	defaultConnectionsPerEngine = 32
	defaultMaxOpenRequests      = 1024
	defaultKnownIDs             = 4096
	defaultIdleMS               = 60_000
	defaultResultMB             = 16
)

// Errors that Check returns.
var (
	errNoAccounts  = errors.New("no accounts: no client could log in")
	errNoEngines   = errors.New("no engines")
	errUnsafeClass = errors.New("effect must be side_effect, as a statement could run twice otherwise")
)

// ReadConfig reads and checks the configuration file. It returns nil without an error
// if the file does not exist or does not enable the front end.
func ReadConfig(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	c := &Config{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields() // a misspelt key must not silently select a default
	if err := decoder.Decode(c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if !c.Enabled {
		return nil, nil
	}
	if err := c.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Check returns an error if the configuration is invalid, and sets the defaults of
// limits that are zero.
func (c *Config) Check() error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if len(c.Accounts) == 0 {
		return errNoAccounts
	}
	if err := c.checkEngines(); err != nil {
		return err
	}
	if _, err := c.Settings.Control(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	for i := range c.Rules {
		if err := c.compileRule(&c.Rules[i]); err != nil {
			return fmt.Errorf("rule %d: %w", i, err)
		}
	}
	if err := c.checkClasses(); err != nil {
		return err
	}
	c.Limits.setDefaults()
	return nil
}

func (c *Config) checkEngines() error {
	if len(c.Engines) == 0 {
		return errNoEngines
	}
	ids := map[string]bool{}
	for i := range c.Engines {
		e := &c.Engines[i]
		if e.ID == "" || ids[e.ID] {
			return fmt.Errorf("engine id %q is empty or used twice", e.ID)
		}
		ids[e.ID] = true
		if err := c.checkEngine(e); err != nil {
			return fmt.Errorf("engine %s: %w", e.ID, err)
		}
	}
	return nil
}

func (c *Config) checkEngine(e *Engine) error {
	if _, _, err := net.SplitHostPort(e.Address); err != nil {
		return err
	}
	if !slices.Contains(c.Settings.EngineKinds, e.Kind) {
		return fmt.Errorf("kind %q is not in the settings", e.Kind)
	}
	switch e.State {
	case "", stateActive, stateDraining:
		return nil
	default:
		return fmt.Errorf("unknown state %q", e.State)
	}
}

// compileRule checks a rule and sets the fields that are derived from its settings.
func (c *Config) compileRule(r *Rule) error {
	r.class = c.classIndex(r.Class)
	if r.class < 0 {
		return fmt.Errorf("class %q is not in the settings", r.Class)
	}
	match, err := regexp.Compile("(?is)" + r.Match)
	if err != nil {
		return err
	}
	r.match = match
	if r.Key == "" || r.Key == keyTable || isTextKey(r.Key) {
		return nil
	}
	if _, err := fmt.Sscanf(r.Key, keyParamFormat, &r.param); err != nil || r.param < 0 {
		return fmt.Errorf("invalid key %q", r.Key)
	}
	return nil
}

func (c *Config) checkClasses() error {
	load := c.classIndex(c.LoadClass)
	if load < 0 || c.classIndex(c.ReadClass) < 0 {
		return fmt.Errorf("read_class %q or load_class %q is not in the settings", c.ReadClass, c.LoadClass)
	}
	if c.Settings.Classes[load].Idempotency != notIdempotent {
		return fmt.Errorf("load_class %q: %w", c.LoadClass, errUnsafeClass)
	}
	return nil
}

func (l *Limits) setDefaults() {
	setDefault(&l.Connections, defaultConnections)
	setDefault(&l.ConnectionsPerEngine, defaultConnectionsPerEngine)
	setDefault(&l.MaxOpenRequests, defaultMaxOpenRequests)
	setDefault(&l.KnownIDs, defaultKnownIDs)
	setDefault(&l.IdleMS, defaultIdleMS)
	setDefault(&l.ResultMB, defaultResultMB)
}

func setDefault[T int | float64](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

func isTextKey(key string) bool {
	return strings.HasPrefix(key, keyTextPrefix) && len(key) > len(keyTextPrefix)
}

// classIndex returns the index of the class with the given name, or -1.
func (c *Config) classIndex(name string) int {
	return slices.IndexFunc(c.Settings.Classes, func(class simproto.Class) bool { return class.Name == name })
}
