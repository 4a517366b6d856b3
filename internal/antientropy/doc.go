// Package antientropy finds the differences between two copies of a set with a
// Merkle tree over the hashes of the entries' keys. The hash space is divided into
// 16 ranges, each of these into 16, and each of those into 16 again. Each range has a
// digest of its entries. The number of bytes exchanged grows with the number of
// differences, not with the size of the set.
//
// Two copies are compared in steps. One member sends the digest of its whole set. If
// the other member's digest differs, it replies with the digests of the top ranges.
// The two members then take turns: each descends into the ranges that differ, and
// lists the entries of small ranges. Entries that are missing or differ are sent or
// requested. Each step is independent of the others: a lost message only delays the
// repair until a later comparison.
//
// The package does no I/O and reads no clock. The protocols that use it define the
// messages that carry the steps.
//
//   - tree.go: the tree, its entries and digests
//   - compare.go: ranges and their comparison
//   - wire.go: encoding of the steps, and packing of entries into messages
//   - budget.go: limit on the bytes sent in these messages
package antientropy
