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

// relayNetwork forwards the datagrams between front ends, with one socket for each
// directed pair. A datagram from a to b is sent to the socket (a, b) and forwarded to b
// from the socket (b, a), whose address b is configured with as that of a. Front ends can
// therefore identify their peers by the sender's address, and each pair can have its own
// faults.
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

// timelineRun is a timeline and the time at which its run started.
type timelineRun struct {
	timeline  faultplan.Timeline
	startedAt time.Time
}

// nowMS returns the time since the start of the run.
func (p *timelineRun) nowMS() float64 { return float64(time.Since(p.startedAt).Microseconds()) / 1000 }

// newRelayNetwork opens the sockets between front ends that will listen on the given
// addresses, and starts to forward datagrams.
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

// addr returns the address at which one front end reaches another.
func (r *relayNetwork) addr(from, to int) netip.AddrPort {
	if from == to {
		return r.fronts[from]
	}
	return r.sockets[from][to].LocalAddr().(*net.UDPAddr).AddrPort()
}

// relay forwards the datagrams of a directed pair until its socket is closed.
func (r *relayNetwork) relay(from, to int) {
	var buffer [maxRelayDatagramSize]byte
	for {
		n, sender, err := r.sockets[from][to].ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || sender != r.fronts[from] {
			continue // the error of an earlier send on this socket, or an unknown sender
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

// deliveries returns the copies of a datagram that arrive under the current faults.
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
		// Sending to a receiver that is not running may fail: the datagram counts as lost.
		_, _ = r.sockets[to][from].WriteToUDPAddrPort(delivery.Message, r.fronts[to])
	}
	if delivery.DelayMS > 0 {
		time.AfterFunc(milliseconds(delivery.DelayMS), send)
	} else {
		send()
	}
}

// close closes the sockets and waits until all relays have stopped.
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

// milliseconds converts a time of a timeline, in ms, to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
