// Package store keeps the state of a front end that must survive restarts in a durable
// key-value store: one bbolt file in a directory, if the deployment configures one.
//
// Guarantees:
//
//   - A value for which Put has returned without an error, or whose PutAsync callback was
//     called, survives any termination of the process. After a crash, the value of a key is
//     the last value that was put, or an earlier value if Put had not returned, but never a
//     mixture of values. Damage to the header of the file, which a crash does not cause, may
//     show the state before the last Put.
//   - A file that is corrupt, truncated or was created by another program is renamed and
//     reported in one line. The front end continues with an empty store, like a front end
//     without a disk.
//   - A directory that belongs to a front end with another name is rejected: two front ends
//     with the same stored state would violate each other's guarantees.
//
// The file is open only while it is read or written, so that during an upgrade two
// processes of the same front end can use it.
//
//   - store.go: Store and its synchronous operations
//   - async.go: writes in the background
//   - database.go: creation, verification, replacement and access of the file
//   - checksum.go: checksums of values, and the digest of the content
package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"go.etcd.io/bbolt"
)

// ErrForeignOwner is returned for a directory that belongs to another front end.
var ErrForeignOwner = errors.New("belongs to another front end")

// errCorrupt is returned for a file that is damaged or was created by another program.
var errCorrupt = errors.New("corrupt, or not a file of this program")

// Store is the durable storage of one front end. It is safe for concurrent use.
type Store struct {
	path  string
	owner string
	// report is called on any goroutine with errors and warnings that occur after Open.
	// If it is nil, they are dropped.
	report func(string)

	mu        sync.Mutex        // guards the fields below
	queue     map[string][]byte // values for the background writer; nil: to be deleted
	callbacks []func()          // callbacks of the queued values
	writing   bool              // the background writer is running
}

// Open opens the store in an existing directory for the front end with the name owner. If
// the file in the directory cannot be used, Open renames it, creates an empty store, and
// returns a warning. Errors and warnings that occur later are passed to report, which may be
// nil, on any goroutine. Open returns an error if the directory belongs to another front end
// (ErrForeignOwner), if the file is in use, or if the file system returns an error.
func Open(dir, owner string, report func(string)) (s *Store, warning string, err error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, "", err
	}
	if !info.IsDir() {
		return nil, "", fmt.Errorf("%s is not a directory", dir)
	}
	s = &Store{path: filepath.Join(dir, fileName), owner: owner, report: report, queue: map[string][]byte{}}
	err = s.createOrVerify()
	if errors.Is(err, errCorrupt) {
		warning, err = s.replace(err)
	}
	if err != nil {
		return nil, "", err
	}
	return s, warning, nil
}

// Get returns the value of a key, or nil if there is none.
func (s *Store) Get(key string) (value []byte, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		record := tx.Bucket(valueBucket).Get([]byte(key))
		if record == nil {
			return nil
		}
		stored, ok := stripChecksum(record)
		if !ok {
			return errCorrupt
		}
		value = append([]byte{}, stored...)
		return nil
	})
	return value, err
}

// All returns the values whose keys begin with a prefix, by the rest of their keys.
func (s *Store) All(prefix string) (values map[string][]byte, err error) {
	values = map[string][]byte{}
	err = s.view(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(valueBucket).Cursor()
		for key, record := cursor.Seek([]byte(prefix)); key != nil && strings.HasPrefix(string(key), prefix); key, record = cursor.Next() {
			stored, ok := stripChecksum(record)
			if !ok {
				return errCorrupt
			}
			values[string(key[len(prefix):])] = append([]byte{}, stored...)
		}
		return nil
	})
	return values, err
}

// Put stores a value, or deletes the key if the value is nil. Once Put returns without an
// error, the change is on disk.
func (s *Store) Put(key string, value []byte) error {
	return s.putAll(map[string][]byte{key: value})
}

// putAll stores values in one transaction. Some damage is detected only when pages are
// written again. In this case too, the file is replaced, and a warning is reported.
func (s *Store) putAll(values map[string][]byte) error {
	err := s.writeAll(values)
	if !errors.Is(err, errCorrupt) {
		return err
	}
	warning, err := s.replace(err)
	if err != nil {
		return err
	}
	s.reportLine(warning)
	return s.writeAll(values)
}

func (s *Store) reportLine(line string) {
	if s.report != nil {
		s.report(line)
	}
}

func (s *Store) writeAll(values map[string][]byte) error {
	return s.update(func(tx *bbolt.Tx) error {
		digest, err := readContentDigest(tx)
		if err != nil {
			return err
		}
		bucket := tx.Bucket(valueBucket)
		for key, value := range values {
			digest ^= storedDigest(bucket, []byte(key))
			if value == nil {
				err = bucket.Delete([]byte(key))
			} else {
				record := addChecksum(value)
				digest ^= entryDigest([]byte(key), record)
				err = bucket.Put([]byte(key), record)
			}
			if err != nil {
				return fmt.Errorf("put key %q: %w", key, err)
			}
		}
		return writeContentDigest(tx, digest)
	})
}
