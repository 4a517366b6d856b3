// Package peer carries datagrams between front ends over UDP. Delivery is not
// guaranteed.
//
//	transport.go  the socket and the addresses of the peers
//	datagram.go   the frame that identifies the package that a datagram belongs to
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"
)

// receiveBackoff is the delay after a receive error. Such errors are caused by earlier
// sends, for example to a peer whose port is closed.
const receiveBackoff = time.Millisecond

// UnlistedPeer is the index of senders that are not listed peers.
const UnlistedPeer = -1

var errTooLong = errors.New("datagram too long")

// Transport is the socket for datagrams between front ends. Its exported fields must be
// set before the first send or receive. Its methods may be called from any goroutine.
type Transport struct {
	MaxDatagramBytes int
	AcceptUnlisted   bool // deliver datagrams of unlisted senders too

	conn           *net.UDPConn
	peers          []netip.AddrPort // by index
	indexByAddr    map[netip.AddrPort]int
	broadcastAddrs []netip.AddrPort // destinations of Broadcast
}

// Open binds the socket. Broadcasts are sent to each peer except the one with index
// self, or instead to the address broadcast if it is not empty.
func Open(config *net.ListenConfig, listen string, peers []string, broadcast string, self int) (*Transport, error) {
	t := &Transport{indexByAddr: map[netip.AddrPort]int{}, MaxDatagramBytes: MaxDatagramBytes}
	if err := t.setPeers(peers, self); err != nil {
		return nil, err
	}
	if broadcast != "" {
		addr, err := netip.ParseAddrPort(broadcast)
		if err != nil {
			return nil, fmt.Errorf("broadcast address: %w", err)
		}
		t.broadcastAddrs = []netip.AddrPort{addr}
	}
	conn, err := config.ListenPacket(context.Background(), "udp", listen)
	if err != nil {
		return nil, err
	}
	t.conn = conn.(*net.UDPConn)
	return t, nil
}

func (t *Transport) setPeers(peers []string, self int) error {
	for index, text := range peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("address of peer %d: %w", index, err)
		}
		t.peers = append(t.peers, addr)
		if index != self {
			t.indexByAddr[addr] = index
			t.broadcastAddrs = append(t.broadcastAddrs, addr)
		}
	}
	return nil
}

// Peers returns the listed peers' addresses by index.
func (t *Transport) Peers() []netip.AddrPort { return t.peers }

// Addr returns the address that the socket is bound to.
func (t *Transport) Addr() netip.AddrPort { return t.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Broadcast sends a datagram to all peers. It continues after an error and returns the
// first error.
func (t *Transport) Broadcast(datagram []byte) error {
	if len(datagram) > t.MaxDatagramBytes {
		return errTooLong
	}
	var first error
	for _, to := range t.broadcastAddrs {
		_, err := t.conn.WriteToUDPAddrPort(datagram, to)
		if err != nil && first == nil {
			first = err
		}
	}
	return first
}

// SendTo sends a datagram to the peer with an index, or to the address to if the index
// is UnlistedPeer.
func (t *Transport) SendTo(index int, to netip.AddrPort, datagram []byte) error {
	if len(datagram) > t.MaxDatagramBytes {
		return errTooLong
	}
	if index >= 0 {
		to = t.peers[index]
	}
	_, err := t.conn.WriteToUDPAddrPort(datagram, to)
	return err
}

// Receive calls deliver with each datagram until the socket is closed. Datagrams that
// are too long, and those of unlisted senders unless AcceptUnlisted is set, are dropped,
// and dropped is called for each of them.
func (t *Transport) Receive(deliver func(index int, from netip.AddrPort, datagram []byte), dropped func()) {
	buffer := make([]byte, t.MaxDatagramBytes+1)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receiveBackoff)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		index, listed := t.indexByAddr[from]
		if !listed {
			index = UnlistedPeer
		}
		if !listed && !t.AcceptUnlisted || n > t.MaxDatagramBytes {
			dropped()
			continue
		}
		deliver(index, from, slices.Clone(buffer[:n]))
	}
}

// Close closes the socket, which ends Receive.
func (t *Transport) Close() error { return t.conn.Close() }
