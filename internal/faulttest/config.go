package faulttest

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strconv"
	"strings"

	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// deadlineMS bounds the duration of a client's request.
const deadlineMS = 4000

// newFrontEnd returns a front end that is not running yet, and writes its configuration.
func (f *Fleet) newFrontEnd(index int, peerAddrs []netip.AddrPort) *FrontEnd {
	f.t.Helper()
	front := &FrontEnd{
		Index:       index,
		Name:        fmt.Sprintf("n%d", index),
		Addr:        testprocess.FreeAddr(f.t),
		ControlAddr: testprocess.FreeAddr(f.t),
		tempDir:     f.t.TempDir(),
	}
	if f.options.Durable {
		front.StateDir = f.t.TempDir()
	}
	front.clusterPath = testprocess.WriteTempFile(f.t, "group.toml", f.clusterConfig(front, peerAddrs))
	known, _ := f.Discovery.UpdatesAfter(0)
	config := fakes.ProgramConfig{
		Name:             front.Name,
		Listen:           front.Addr,
		Seed:             fmt.Sprintf("%016x", f.options.Seed<<8+uint64(index)),
		Limits:           fakes.LimitsWithSockets(512),
		PeerListen:       peerAddrs[index].String(),
		Peers:            f.configuredPeers(index),
		DiscoveryAddress: f.Discovery.Addr,
		ControlAddress:   front.ControlAddr,
		InitialUpdates:   known,
		Settings:         fakes.Settings{FrontEnds: f.options.Size, Index: index, DeadlineMS: deadlineMS}.JSON(),
	}
	front.configPath = filepath.Join(f.t.TempDir(), "config.json")
	if err := config.Write(front.configPath); err != nil {
		f.t.Fatal(err)
	}
	return front
}

// configuredPeers returns the addresses at which a front end reaches the front ends of the
// fleet, by index, or nil if front ends join by seeds.
func (f *Fleet) configuredPeers(index int) []string {
	if f.options.SeedCount > 0 {
		return nil
	}
	var peers []string
	for other := range f.options.Size {
		peers = append(peers, f.relays.addr(index, other).String())
	}
	return peers
}

// clusterConfig returns the text of a front end's group.toml.
func (f *Fleet) clusterConfig(front *FrontEnd, peerAddrs []netip.AddrPort) string {
	text := f.options.ClusterConfig
	if f.options.SeedCount > 0 {
		var seeds []string
		for _, addr := range peerAddrs[:f.options.SeedCount] {
			seeds = append(seeds, strconv.Quote(addr.String()))
		}
		text = fmt.Sprintf("size = %d\nseeds = [%s]\n", f.options.Size, strings.Join(seeds, ", ")) + text
	}
	if front.StateDir != "" {
		text = fmt.Sprintf("state_dir = %q\n", front.StateDir) + text
	}
	return text
}
