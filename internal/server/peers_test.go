package server

import (
	"net"
	"testing"

	"dewhill/control"
	"dewhill/internal/cluster"
	"dewhill/internal/peer"
)

// A disabled cluster sets no timers in the loop and does not raise the maximum size of
// datagrams; an enabled one does both. Neither accepts datagrams from senders that are not
// in the list of peers.
func TestClusterOffSetsNoTimers(t *testing.T) {
	for name, on := range map[string]bool{"off": false, "on": true} {
		t.Run(name, func(t *testing.T) {
			transport, err := peer.Open(&net.ListenConfig{}, "127.0.0.1:0", []string{"127.0.0.1:9", "127.0.0.1:10"}, "", 0)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = transport.Close() })
			options := cluster.DefaultOptions()
			options.Enabled = on
			options.MaxDatagramBytes = 1200
			f := &platformFrontEnd{
				cfg:   &Config{Name: "n0", Cluster: options},
				loop:  newEventLoop("n0", control.Settings{}, 1),
				peers: transport,
			}
			if err := f.joinCluster(0); err != nil {
				t.Fatal(err)
			}
			if joined := f.cluster != nil; joined != on {
				t.Errorf("joined the cluster: %v, want %v", joined, on)
			}
			if timers := f.loop.timers.Len(); (timers > 0) != on {
				t.Errorf("%d timers in the loop, cluster on: %v", timers, on)
			}
			if larger := transport.MaxDatagramBytes > peer.MaxDatagramBytes; larger != on {
				t.Errorf("datagrams of up to %d bytes, cluster on: %v", transport.MaxDatagramBytes, on)
			}
			if transport.AcceptUnlisted {
				t.Error("datagrams from unlisted senders are accepted")
			}
		})
	}
}
