package membership

import (
	"cmp"
	"net/netip"
)

// Times are the protocol's intervals and its send rate.
type Times struct {
	ProbeIntervalMS     float64 // length of a period: time between two probes
	ProbeTimeoutMS      float64 // time without an ack after which a probe's next step begins
	SuspicionMinMS      float64 // time until a suspect with maxReporters reporters is declared dead
	SuspicionMaxMS      float64 // time until a suspect with a single reporter is declared dead
	ReconnectIntervalMS float64 // time between attempts to reach addresses that belong to no live member
	ForgetAfterMS       float64 // time after which a dead or left unlisted member is forgotten
	DatagramsPerSecond  float64 // average rate of sent datagrams
}

// DefaultTimes returns the times for one probe a second.
func DefaultTimes() Times {
	return Times{
		ProbeIntervalMS:     1000,
		ProbeTimeoutMS:      250,
		SuspicionMinMS:      2500,
		SuspicionMaxMS:      4000,
		ReconnectIntervalMS: 3000,
		ForgetAfterMS:       600_000,
		DatagramsPerSecond:  3,
	}
}

// defaultMaxMessageBytes is the default of Options.MaxMessageBytes.
const defaultMaxMessageBytes = 256

// Options identify this front end and configure its view.
type Options struct {
	Name             string           // truncated to MaxNameBytes
	Self             int              // index in Peers; negative: unlisted
	Peers            []netip.AddrPort // configured fleet, by index
	Addr             netip.AddrPort   // own address, if unlisted
	Seeds            []netip.AddrPort // addresses to contact to join a fleet with unlisted members
	FirstIncarnation uint32           // incarnation at the start; 0: 1
	Size             int              // configured fleet size, for quorums; 0: number of members in the view

	MaxMessageBytes int   // 0: defaultMaxMessageBytes
	Times           Times // zero value: DefaultTimes
	// FixedTimeouts disables local health and the loss estimate. Simulations use it
	// as a baseline for comparison.
	FixedTimeouts bool
}

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, defaultMaxMessageBytes)
	o.Times = cmp.Or(o.Times, DefaultTimes())
	if len(o.Name) > MaxNameBytes {
		o.Name = o.Name[:MaxNameBytes]
	}
	return o
}
