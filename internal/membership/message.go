package membership

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

// messageKind is the purpose of a message. Its numbers are part of the wire format.
type messageKind uint8

const (
	ping        messageKind = 1 + iota // requests an ack with the same sequence number
	ack                                // reply to a ping
	pingRequest                        // asks the receiver to ping another member (SWIM's ping-req)
	indirectAck                        // reply to a ping request: the target has sent an ack
	nack                               // reply to a ping request: the target has not sent an ack in time
	gossip                             // carries updates only and requests no reply
)

// String returns the kind's name, which is stable across versions.
func (k messageKind) String() string {
	switch k {
	case ping:
		return "ping"
	case ack:
		return "ack"
	case pingRequest:
		return "ask"
	case indirectAck:
		return "relay"
	case nack:
		return "nack"
	case gossip:
		return "gossip"
	default:
		return "?"
	}
}

// Bounds of the values that a message can add to a view.
const (
	// maxIncarnation is the largest incarnation accepted, so that a member always has
	// larger incarnations left to refute an update with.
	maxIncarnation = 1 << 30
	// maxNumber bounds the numbers of listed members.
	maxNumber = 1 << 14
	// MaxNameBytes is the maximum length of a member's name.
	MaxNameBytes = 32
)

// The field numbers of a message. In protobuf terms:
//
//	message Message {
//	  uint32 kind = 1;
//	  uint32 seq = 2;
//	  uint32 incarnation = 3;         // of the sender, as are the next three
//	  uint32 boot_id = 4;
//	  string name = 5;
//	  uint32 list_size = 6;           // numbers mean the same members at equal sizes
//	  fixed64 digest = 7;
//	  bytes range_digests = 8;        // 16 bits for each range
//	  uint32 target = 9;              // number + 1 of a ping request's target
//	  string target_name = 10;        // name of a ping request's target that is unlisted
//	  bytes updates = 11;             // (number difference, incarnation * 8 + state, reporter if suspect)...
//	  bytes names = 12;               // (number, length, name)...
//	  repeated UnlistedUpdate unlisted_updates = 13;
//	  repeated bytes range_block = 14;   // range, incarnation, then two bits per member:
//	                                     // 0 not in the block, 1 alive, 2 dead, 3 left
//	  uint32 uptime = 15;             // 1 + uptime in units of 100 ms, in the first 30 s of a process
//	  repeated bytes uniform_block = 16; // range, incarnation * 8 + state, then one bit per member
//	  uint32 names_wanted_from = 17;  // number + 1 of a member whose name the sender lacks
//	}
const (
	fieldKind            protowire.Number = 1
	fieldSeq             protowire.Number = 2
	fieldIncarnation     protowire.Number = 3
	fieldBootID          protowire.Number = 4
	fieldName            protowire.Number = 5
	fieldListSize        protowire.Number = 6
	fieldDigest          protowire.Number = 7
	fieldRangeDigests    protowire.Number = 8
	fieldTarget          protowire.Number = 9
	fieldTargetName      protowire.Number = 10
	fieldUpdates         protowire.Number = 11
	fieldNames           protowire.Number = 12
	fieldUnlistedUpdate  protowire.Number = 13
	fieldRangeBlock      protowire.Number = 14
	fieldUptime          protowire.Number = 15
	fieldUniformBlock    protowire.Number = 16
	fieldNamesWantedFrom protowire.Number = 17
)

// The field numbers of an update of an unlisted member:
//
//	message UnlistedUpdate {
//	  string name = 1;
//	  bytes address = 2;            // netip.AddrPort's binary form
//	  uint32 incarnation_state = 3; // incarnation * 8 + state
//	  uint32 reporter = 4;
//	}
const (
	unlistedFieldName             protowire.Number = 1
	unlistedFieldAddr             protowire.Number = 2
	unlistedFieldIncarnationState protowire.Number = 3
	unlistedFieldReporter         protowire.Number = 4
)

// message is the content of one datagram.
type message struct {
	kind            messageKind
	seq             uint32
	incarnation     uint32
	bootID          uint32
	name            string
	listSize        uint32
	digest          uint64
	rangeDigests    []uint16
	target          uint32
	uptime          uint32
	namesWantedFrom uint32
	targetName      string
	updates         []update
	names           []memberName
	unlistedUpdates []update
	rangeBlocks     []rangeBlock
}

// update is a member's state in the sender's view. It identifies a listed member by
// number, and an unlisted one, whose number is negative, by name and address.
type update struct {
	number      int
	name        string
	addr        netip.AddrPort
	incarnation uint32
	state       State
	reporter    uint32 // for a suspect: reporter ID of its latest reporter; 0: unknown
}

// memberName is the name of a listed member.
type memberName struct {
	number int
	name   string
}

// rangeBlock encodes members of a range that share an incarnation. It holds two bits
// per member, which encode its state. A uniform block holds one bit per member, which
// is set if the member has the block's incarnation and state.
type rangeBlock struct {
	rangeIndex  int
	incarnation uint32
	bits        []byte
	uniform     bool
	state       State // state of the members in a uniform block
}
