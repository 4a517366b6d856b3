package demand

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// A message is the demand vector of its sender, each entry as a big-endian IEEE 754
// single-precision number, followed by the loads of the sender, each as two big-endian
// 32-bit numbers: the hash of the engine's ID and the data set. A message has no header.
// Datagrams of other kinds (see internal/peer) begin with a byte that would make the
// first number negative, and demand is never negative.
const (
	// MaxMessageBytes is the maximum length of a message.
	MaxMessageBytes = 256

	demandBytes = 4
	loadBytes   = 8

	maxDemand = math.MaxInt32
)

// errMalformed is wrapped by every error of decodeMessage.
var errMalformed = errors.New("malformed demand message")

func appendDemand(message []byte, value float64) []byte {
	return binary.BigEndian.AppendUint32(message, math.Float32bits(float32(value)))
}

func appendLoad(message []byte, load Load) []byte {
	message = binary.BigEndian.AppendUint32(message, load.Engine)
	return binary.BigEndian.AppendUint32(message, load.Dataset)
}

// decodeMessage decodes a message whose demand vector has demandCount entries.
func decodeMessage(message []byte, demandCount int) (peerState, error) {
	loadsOffset := demandCount * demandBytes
	if len(message) < loadsOffset || (len(message)-loadsOffset)%loadBytes != 0 {
		return peerState{}, fmt.Errorf("%w: %d bytes", errMalformed, len(message))
	}
	state := peerState{demand: make([]float64, 0, demandCount)}
	for i := range demandCount {
		bits := binary.BigEndian.Uint32(message[i*demandBytes:])
		value := float64(math.Float32frombits(bits))
		if inRange := value >= 0 && value <= maxDemand; !inRange { // false for NaN
			return peerState{}, fmt.Errorf("%w: demand %v", errMalformed, value)
		}
		state.demand = append(state.demand, value)
	}
	for rest := message[loadsOffset:]; len(rest) > 0; rest = rest[loadBytes:] {
		state.loads = append(state.loads, Load{
			Engine:  binary.BigEndian.Uint32(rest),
			Dataset: binary.BigEndian.Uint32(rest[4:]),
		})
	}
	return state, nil
}
