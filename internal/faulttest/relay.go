package faulttest

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dewhill/internal/faultplan"
)

const (
	relayRNGStream       = 0x72656c61
	maxRelayDatagramSize = 2048
)

// relayNetwork carries the datagrams between front ends, by a socket for each
// directed pair: what a sends to b goes to the socket (a, b) and reaches b from the
// socket (b, a), which is the address that b knows a by. So front ends recognize
// their peers by the sender's address, and every pair has faults of its own.
type relayNetwork struct {
	sockets [][]*net.UDPConn // by sender and receiver
	fronts  []netip.AddrPort

	current atomic.Pointer[timelineRun] // nil: no faults
	rngMu   sync.Mutex
	rng     *rand.Rand

	relayed   atomic.Int64 // datagrams
	lost      atomic.Int64
	receivers sync.WaitGroup
}

// timelineRun is a timeline that runs since a time.
type timelineRun struct {
	timeline  faultplan.Timeline
	startedAt time.Time
}

// nowMS returns the time in the timeline.
func (p *timelineRun) nowMS() float64 { return float64(time.Since(p.startedAt).Microseconds()) / 1000 }

// newRelayNetwork opens the sockets between front ends, which will listen on the
// given addresses.
func newRelayNetwork(seed uint64, fronts []netip.AddrPort) (*relayNetwork, error) {
	r := &relayNetwork{fronts: fronts, rng: rand.New(rand.NewPCG(seed, relayRNGStream))}
	for from := range fronts {
		r.sockets = append(r.sockets, make([]*net.UDPConn, len(fronts)))
		for to := range fronts {
			if from == to {
				continue
			}
			conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 2, byte(from), byte(to+1))})
			if err != nil {
				r.close()
				return nil, fmt.Errorf("open relay from %d to %d: %w", from, to, err)
			}
			r.sockets[from][to] = conn
		}
	}
	for from := range fronts {
		for to := range fronts {
			if from != to {
				r.receivers.Go(func() { r.relay(from, to) })
			}
		}
	}
	return r, nil
}

// addr returns the address at which a front end finds another.
func (r *relayNetwork) addr(from, to int) netip.AddrPort {
	if from == to {
		return r.fronts[from]
	}
	return r.sockets[from][to].LocalAddr().(*net.UDPAddr).AddrPort()
}

// relay carries the datagrams of a directed pair until its socket is closed.
func (r *relayNetwork) relay(from, to int) {
	var buffer [maxRelayDatagramSize]byte
	for {
		n, sender, err := r.sockets[from][to].ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || sender != r.fronts[from] {
			continue // the error of an earlier send, or an unknown sender
		}
		r.relayed.Add(1)
		copies := r.deliveries(from, to, bytes.Clone(buffer[:n]))
		if len(copies) == 0 {
			r.lost.Add(1)
		}
		for _, delivery := range copies {
			r.deliver(from, to, delivery)
		}
	}
}

// deliveries returns the copies of a datagram that arrive.
func (r *relayNetwork) deliveries(from, to int, message []byte) []faultplan.Delivery {
	p := r.current.Load()
	if p == nil {
		return []faultplan.Delivery{{Message: message}}
	}
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return p.timeline.Deliver(r.rng, p.nowMS(), from, to, message)
}

// deliver sends a copy of a datagram to its receiver, after its delay.
func (r *relayNetwork) deliver(from, to int, delivery faultplan.Delivery) {
	send := func() {
		// A receiver that is not running is an error, and a loss like any other.
		_, _ = r.sockets[to][from].WriteToUDPAddrPort(delivery.Message, r.fronts[to])
	}
	if delivery.DelayMS > 0 {
		time.AfterFunc(milliseconds(delivery.DelayMS), send)
	} else {
		send()
	}
}

// close closes the sockets and waits until nothing is relayed any more.
func (r *relayNetwork) close() {
	for _, row := range r.sockets {
		for _, conn := range row {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
	r.receivers.Wait()
}

// milliseconds converts a time of a timeline.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
