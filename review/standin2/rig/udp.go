package rig

import (
	"net"
	"net/netip"
	"sync"
)

// Datagrams is the network between two front ends. Each has, for the other one, an address
// at which it sends to it and from which it gets its datagrams.
type Datagrams struct {
	rig *Rig

	mu     sync.Mutex
	losing map[int]bool // by sender
	lost   int
}

// NewDatagrams starts the network between two front ends, and returns for each its own
// address and its list of peers.
func (r *Rig) NewDatagrams() (network *Datagrams, own [2]string, peers [2][]string) {
	network = &Datagrams{rig: r, losing: map[int]bool{}}
	var sides [2]*net.UDPConn // side i: where front end i sends to the other one
	for i := range sides {
		own[i] = r.FreeUDP()
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		r.Check(err)
		sides[i] = conn
	}
	peers[0] = []string{own[0], sides[0].LocalAddr().String()}
	peers[1] = []string{sides[1].LocalAddr().String(), own[1]}
	for i := range sides {
		target := netip.MustParseAddrPort(own[1-i])
		go network.pass(i, sides[i], sides[1-i], target)
	}
	return network, own, peers
}

// Lose starts or stops the loss of all datagrams of a front end.
func (n *Datagrams) Lose(sender int, losing bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.losing[sender] = losing
	n.rig.Logf("network: datagrams of front end %d are lost: %v (lost so far: %d)", sender, losing, n.lost)
}

func (n *Datagrams) pass(sender int, from, out *net.UDPConn, target netip.AddrPort) {
	buffer := make([]byte, 2048)
	for {
		length, err := from.Read(buffer)
		if err != nil {
			return
		}
		n.mu.Lock()
		losing := n.losing[sender]
		if losing {
			n.lost++
		}
		n.mu.Unlock()
		if !losing {
			_, _ = out.WriteToUDPAddrPort(buffer[:length], target)
		}
	}
}
