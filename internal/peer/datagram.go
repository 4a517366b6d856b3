package peer

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// The layout of a datagram, with sizes in bytes, is
//
//	magic and version (1) | kind (1) | body | CRC-32C of the preceding bytes (4, big endian)
//
// Datagrams of kind Demand consist of the body alone. Such a body begins with a
// non-negative float, so its first byte is below 0x80. A front end of a version without
// kinds reads the magic number as the start of a negative float and drops the datagram.

// Kind identifies the package that a datagram belongs to.
type Kind byte

// The kinds of version 1. The number of a kind must never be reused for another kind.
const (
	Demand      Kind = 0 // internal/demand, without a frame
	Membership  Kind = 1 // internal/membership
	Replication Kind = 2 // internal/replication
	Maintenance Kind = 3 // reserved for ordering maintenance
	Lease       Kind = 4 // internal/lease
)

// String returns the kind's name in the counters that operators read.
func (k Kind) String() string {
	switch k {
	case Demand:
		return "demand"
	case Membership:
		return "fleet"
	case Replication:
		return "replica"
	case Maintenance:
		return "upkeep"
	case Lease:
		return "loads"
	default:
		return "unknown"
	}
}

const (
	// Overhead is the number of bytes that the frame adds to a body.
	Overhead = headerBytes + checksumBytes
	// MaxDatagramBytes is the length of the longest datagram that the platform delivers.
	MaxDatagramBytes = 256

	headerBytes   = 2
	checksumBytes = 4

	version       = 1
	magic         = 0xD0
	magicMask     = 0xF0
	versionMask   = 0x0F
	minFramedByte = 0x80 // minimum of a framed datagram's first byte
)

// The errors of Unwrap.
var (
	ErrVersion   = errors.New("datagram of another version")
	ErrMalformed = errors.New("malformed datagram")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Wrap returns a framed datagram of a kind with a body.
func Wrap(kind Kind, body []byte) []byte { return wrapVersion(version, kind, body) }

func wrapVersion(version byte, kind Kind, body []byte) []byte {
	datagram := make([]byte, 0, len(body)+Overhead)
	datagram = append(datagram, magic|version, byte(kind))
	datagram = append(datagram, body...)
	return binary.BigEndian.AppendUint32(datagram, crc32.Checksum(datagram, castagnoli))
}

// Unwrap returns a datagram's kind and body. The body shares the datagram's memory. The
// error is ErrMalformed or ErrVersion. The kind may be unknown to this version.
func Unwrap(datagram []byte) (Kind, []byte, error) {
	if len(datagram) == 0 || datagram[0] < minFramedByte {
		return Demand, datagram, nil
	}
	if len(datagram) < Overhead || datagram[0]&magicMask != magic {
		return 0, nil, ErrMalformed
	}
	checksummed := datagram[:len(datagram)-checksumBytes]
	checksum := binary.BigEndian.Uint32(datagram[len(checksummed):])
	if crc32.Checksum(checksummed, castagnoli) != checksum {
		return 0, nil, ErrMalformed
	}
	if datagram[0]&versionMask != version {
		return 0, nil, ErrVersion
	}
	return Kind(datagram[1]), checksummed[headerBytes:], nil
}
