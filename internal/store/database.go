package store

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	fileName      = "dewhill.db"
	fileMode      = 0o600
	formatVersion = 1
	// lockTimeout is how long a call waits while another process uses the file.
	lockTimeout = 2 * time.Second
)

// The buckets and keys of the file.
var (
	metaBucket       = []byte("about")
	valueBucket      = []byte("state")
	ownerKey         = []byte("owner")
	versionKey       = []byte("version")
	contentDigestKey = []byte("sum")
)

// createOrVerify creates the file if there is none, else reads all of it. It
// returns errCorrupt for a file that cannot be used.
func (s *Store) createOrVerify() error {
	info, err := os.Stat(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return s.create()
	}
	if err == nil && info.Size() == 0 {
		return errCorrupt // bbolt would take it for a new one
	}
	return s.view(s.verify)
}

// verify checks version, owner and checksums.
func (s *Store) verify(tx *bbolt.Tx) error {
	meta, values := tx.Bucket(metaBucket), tx.Bucket(valueBucket)
	if meta == nil || values == nil {
		return errCorrupt
	}
	version, ok := stripChecksum(meta.Get(versionKey))
	if !ok || len(version) != 1 || version[0] != formatVersion {
		return errCorrupt
	}
	owner, ok := stripChecksum(meta.Get(ownerKey))
	if !ok {
		return errCorrupt
	}
	if string(owner) != s.owner {
		return fmt.Errorf("%s %w: %q", s.path, ErrForeignOwner, owner)
	}
	want, err := readContentDigest(tx)
	if err != nil {
		return err
	}
	var digest uint64
	err = values.ForEach(func(key, record []byte) error {
		digest ^= entryDigest(key, record)
		return nil
	})
	if err != nil {
		return err
	}
	if digest != want {
		return errCorrupt
	}
	return nil
}

// create writes an empty file under another name first. Otherwise a process that
// is killed meanwhile would leave half a file, which would pass for a corrupt one.
func (s *Store) create() error {
	fresh := &Store{path: s.path + ".new", owner: s.owner}
	err := os.Remove(fresh.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	err = fresh.update(fresh.initialize)
	if err != nil {
		return err
	}
	return os.Rename(fresh.path, s.path)
}

func (s *Store) initialize(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucketIfNotExists(valueBucket); err != nil {
		return err
	}
	if err := meta.Put(versionKey, addChecksum([]byte{formatVersion})); err != nil {
		return err
	}
	if err := meta.Put(ownerKey, addChecksum([]byte(s.owner))); err != nil {
		return err
	}
	return writeContentDigest(tx, 0)
}

// replace moves a file that cannot be used aside and creates an empty one. The
// warning says so in one line.
func (s *Store) replace(reason error) (warning string, err error) {
	aside := fmt.Sprintf("%s.bad-%d", s.path, time.Now().UnixNano())
	if err := os.Rename(s.path, aside); err != nil {
		return "", err
	}
	warning = fmt.Sprintf("%s is %v: moved to %s, its contents are lost", s.path, reason, aside)
	return warning, s.createOrVerify()
}

// view runs a read-only transaction.
func (s *Store) view(do func(*bbolt.Tx) error) error {
	return s.withDatabase(func(db *bbolt.DB) error { return db.View(do) })
}

// update runs a transaction, which is on the disk once update returns without
// error.
func (s *Store) update(do func(*bbolt.Tx) error) error {
	return s.withDatabase(func(db *bbolt.DB) error { return db.Update(do) })
}

// withDatabase calls a function with the file open. Where pages are damaged, bbolt
// panics or reads beyond its mapping: that becomes errCorrupt too.
func (s *Store) withDatabase(do func(*bbolt.DB) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("%w (%v)", errCorrupt, reason)
		}
	}()
	db, err := bbolt.Open(s.path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return s.openError(err)
	}
	defer func() { _ = db.Close() }() // a committed transaction is on the disk already
	return classify(do(db))
}

func (s *Store) openError(err error) error {
	var pathError *os.PathError
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return fmt.Errorf("%s is in use by another process", s.path)
	case errors.As(err, &pathError):
		return err
	default:
		return fmt.Errorf("%w (%w)", errCorrupt, err)
	}
}

// diskErrors are the errors of a disk that can't be written, or read, although the
// file is in order.
var diskErrors = []error{
	syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS, syscall.EACCES, syscall.EPERM,
}

// classify turns errors that neither this package nor the disk has caused into
// errCorrupt: bbolt returns various ones for damaged pages.
func classify(err error) error {
	if err == nil || errors.Is(err, errCorrupt) || errors.Is(err, ErrForeignOwner) {
		return err
	}
	for _, diskError := range diskErrors {
		if errors.Is(err, diskError) {
			return err
		}
	}
	return fmt.Errorf("%w (%w)", errCorrupt, err)
}
