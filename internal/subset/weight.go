package subset

import "hash/fnv"

// splitMixGamma is the increment of SplitMix64. It spreads the indices of gateways over
// the range of 64-bit numbers.
const splitMixGamma = 0x9e3779b97f4a7c15

// weight returns the weight of the pair of an engine and a gateway.
func (c *candidate) weight(gateway int) uint64 { return pairWeight(c.hash, gateway) }

// pairWeight returns the weight of the pair of an engine, given by the hash of its ID,
// and a gateway.
func pairWeight(engineHash uint64, gateway int) uint64 {
	return mix(engineHash + uint64(gateway)*splitMixGamma)
}

// mix is the finalizer of SplitMix64: every bit of x affects every bit of the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func hashOf(engineID string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(engineID)) // Write on a hash never returns an error
	return hash.Sum64()
}
