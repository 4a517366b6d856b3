// Package store keeps what a front end must remember over restarts, in a durable
// key-value store: one bbolt file in a directory, where an installation has one.
//
// Guarantees:
//
//   - A value for which Put has returned without error, or whose PutAsync callback
//     was called, outlasts any end of the process. After a crash a value is the
//     last one that was put, or an earlier one if Put had not returned: never a
//     mixture. Damage to the file's own header, which a crash does not cause, may
//     show the state before the last Put.
//   - A file that is corrupt, truncated or foreign is moved aside and reported in
//     one line, and the front end continues with an empty store, as one without a
//     disk does.
//   - A directory that belongs to a front end of another name is rejected: two
//     front ends with one memory would break each other's promises.
//
// The file is open only while it is read or written, so that during an upgrade two
// processes of one front end can both use it.
//
//   - store.go: Store and its synchronous operations
//   - async.go: writes in the background
//   - database.go: the file: creation, verification, replacement, access
//   - checksum.go: checksums of values and of the whole
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

// ErrForeignOwner is returned for a directory of another front end.
var ErrForeignOwner = errors.New("belongs to another front end")

// errCorrupt is returned for a file that is damaged or foreign.
var errCorrupt = errors.New("corrupt, or not a file of this program")

// Store is the durable memory of one front end. It is safe for concurrent use.
type Store struct {
	path  string
	owner string
	// report is called from any goroutine with what is found after Open; nil: it
	// is dropped.
	report func(string)

	mu        sync.Mutex        // guards the fields below
	queue     map[string][]byte // values for the background writer; nil: to be deleted
	callbacks []func()          // of the queued values
	writing   bool              // the background writer runs
}

// Open opens the store in a directory that exists, for the front end with a name.
// If the file in it cannot be used, Open moves it aside, starts an empty one, and
// describes that in warning. What is found later is passed to report, which may be
// nil, from any goroutine. The error is ErrForeignOwner, that the file is in use,
// or of the file system.
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

// Get returns a value, or nil if there is none.
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

// All returns the values whose keys begin with a prefix, which must not be empty,
// by the rest of their keys.
func (s *Store) All(prefix string) (values map[string][]byte, err error) {
	values = map[string][]byte{}
	err = s.view(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(valueBucket).Cursor()
		for key, record := cursor.Seek([]byte(prefix)); strings.HasPrefix(string(key), prefix); key, record = cursor.Next() {
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

// Put stores a value, or deletes the key if the value is nil. Once it returns
// without error, that is on the disk.
func (s *Store) Put(key string, value []byte) error {
	return s.putAll(map[string][]byte{key: value})
}

// putAll stores values in one transaction. Some damage shows only when pages are
// written again: the file is replaced then too, which is reported.
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
