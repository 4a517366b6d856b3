package fakes

import (
	"encoding/json"
	"fmt"
	"os"
)

// ProgramConfig is the part of the configuration of the program that tests set.
type ProgramConfig struct {
	Name             string          `json:"name"`
	Listen           string          `json:"listen"`
	Seed             string          `json:"seed"`
	Limits           ProgramLimits   `json:"limits"`
	PeerListen       string          `json:"peer_listen,omitempty"`
	Peers            []string        `json:"peers,omitempty"`
	DiscoveryAddress string          `json:"board"`
	ControlAddress   string          `json:"control,omitempty"`
	InitialUpdates   Updates         `json:"known"`
	Settings         json.RawMessage `json:"settings"`
}

// ProgramLimits are the limits of the host in the configuration of the program.
type ProgramLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// LimitsWithSockets returns the limits of a small host with the given number of sockets.
func LimitsWithSockets(sockets int) ProgramLimits {
	return ProgramLimits{Cores: 1, MemoryMB: 192, Sockets: sockets}
}

// Write writes the configuration to a file.
func (c *ProgramConfig) Write(path string) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// ProgramEnvironment returns the environment variables with which a platform starts a process: the
// path of the configuration, the address of the operators' API, if it is not in the configuration,
// and a directory for temporary files.
func ProgramEnvironment(configPath, controlAddr, tempDir string) []string {
	return []string{
		"PROXY_CONFIG=" + configPath,
		"PROXY_NAME=",
		"PROXY_LISTEN=",
		"PROXY_CONTROL=" + controlAddr,
		"TMPDIR=" + tempDir,
	}
}

// Settings are the settings of a group of front ends with two classes: "lookup", which is idempotent,
// and "load", which is not.
type Settings struct {
	FrontEnds    int  // number of front ends in the group
	Index        int  // of the front end within the group
	DeadlineMS   int  // of both classes
	LoadsInOrder bool // loads with the same key run one at a time, in order
}

const settingsFormat = `{"categories":[
	{"name":"lookup","aimMs":1000,"hardLimitMs":%d,"value":1,"effect":"pure"},
	{"name":"load","aimMs":3000,"hardLimitMs":%d,"value":6,"effect":"side_effect","sequential":%t}],
	"hostTypes":["std-8"],"localities":["here"],"discovery":"push","replicasOfMe":%d,"ordinal":%d,"tickMs":5,
	"domain":{"coresByKind":[8],"memoryByKindMb":[16384],"dop":[1,2],"classLoad":[false,true],
	"blockedByLoads":[true,false],"takesPriority":true,"tellsCost":true},
	"reporting":{"via":"answers","fields":["rif","busy"]},
	"contract":{"graceToAnswerMs":20,"stopSendingWithinMs":500},
	"limits":{"cancel":true,"retryAfter":true,"maxRetryAfterMs":500,"tryLimit":5,"connectTimeoutMs":2000,
	"connIdleMs":15000,"streamsPerConn":32,"mayTell":true}}`

// JSON returns the settings in the form of the configuration.
func (s Settings) JSON() json.RawMessage {
	return fmt.Appendf(nil, settingsFormat, s.DeadlineMS, s.DeadlineMS, s.LoadsInOrder, s.FrontEnds, s.Index)
}

// Endpoint returns the engine in the form of the discovery service, with the zone and the kind in
// Settings.
func (e *Engine) Endpoint(state string) Endpoint {
	return Endpoint{ID: e.ID, Address: e.Addr, Zone: "here", Kind: "std-8", State: state, Size: 1}
}
