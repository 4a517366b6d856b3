package server

import (
	"net"
	"testing"

	"dewhill/control"
	"dewhill/internal/cluster"
	"dewhill/internal/peer"
)

// Off, the cluster sets no timer in the loop and asks for no larger datagrams; on, it
// does. Either way it admits no strangers.
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
				t.Errorf("joined the cluster: %v", joined)
			}
			if timers := f.loop.timers.Len(); (timers > 0) != on {
				t.Errorf("%d timers", timers)
			}
			if larger := transport.MaxDatagramBytes > peer.MaxDatagramBytes; larger != on {
				t.Errorf("datagrams of %d bytes", transport.MaxDatagramBytes)
			}
			if transport.AcceptUnlisted {
				t.Error("strangers are admitted")
			}
		})
	}
}
