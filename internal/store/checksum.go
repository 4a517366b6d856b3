package store

import (
	"encoding/binary"
	"hash/crc32"
	"hash/fnv"

	"go.etcd.io/bbolt"
)

const (
	checksumBytes      = 4
	contentDigestBytes = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// addChecksum returns a record, which consists of the checksum of a value and the value.
func addChecksum(value []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(value, castagnoli)), value...)
}

// stripChecksum returns the value in a record, or false if the checksum does not match.
func stripChecksum(record []byte) (value []byte, ok bool) {
	if len(record) < checksumBytes {
		return nil, false
	}
	value = record[checksumBytes:]
	if crc32.Checksum(value, castagnoli) != binary.BigEndian.Uint32(record) {
		return nil, false
	}
	return value, true
}

// entryDigest returns the contribution of an entry to the content digest, which is the XOR
// of the contributions of all entries. The content digest detects damage that removes or
// adds entries whose records are valid: pages with wrong references, or a changed key.
func entryDigest(key, record []byte) uint64 {
	digest := fnv.New64a() // Write never returns an error
	_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, uint32(len(key))))
	_, _ = digest.Write(key)
	_, _ = digest.Write(record)
	return digest.Sum64()
}

// storedDigest returns the contribution of the entry that is stored under a key to the
// content digest, or 0 if there is no entry.
func storedDigest(values *bbolt.Bucket, key []byte) uint64 {
	record := values.Get(key)
	if record == nil {
		return 0
	}
	return entryDigest(key, record)
}

// readContentDigest returns the stored content digest.
func readContentDigest(tx *bbolt.Tx) (uint64, error) {
	encoded, ok := stripChecksum(tx.Bucket(metaBucket).Get(contentDigestKey))
	if !ok || len(encoded) != contentDigestBytes {
		return 0, errCorrupt
	}
	return binary.BigEndian.Uint64(encoded), nil
}

func writeContentDigest(tx *bbolt.Tx, digest uint64) error {
	return tx.Bucket(metaBucket).Put(contentDigestKey, addChecksum(binary.BigEndian.AppendUint64(nil, digest)))
}
