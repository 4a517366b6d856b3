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
	// lockTimeout limits the time for which a call waits while another process uses the
	// file.
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

// createOrVerify creates the file if it does not exist, and otherwise verifies its whole
// content. It returns errCorrupt for a file that cannot be used.
func (s *Store) createOrVerify() error {
	info, err := os.Stat(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return s.create()
	}
	if err == nil && info.Size() == 0 {
		return errCorrupt // bbolt would initialize it as a new file
	}
	return s.view(s.verify)
}

// verify checks the version, the owner and the content digest.
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

// create creates an empty store under another name and then renames the file. Otherwise a
// process that is killed in the meantime would leave a partial file, which the next process
// would treat as corrupt.
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

// replace renames a file that cannot be used and creates an empty store. It returns a
// warning of one line about this.
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

// update runs a read-write transaction. Once update returns without an error, the
// transaction is on disk.
func (s *Store) update(do func(*bbolt.Tx) error) error {
	return s.withDatabase(func(db *bbolt.DB) error { return db.Update(do) })
}

// withDatabase opens the file, calls a function and closes the file. If pages are damaged,
// bbolt panics or reads outside its mapping: withDatabase then returns errCorrupt.
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
	defer func() { _ = db.Close() }() // a committed transaction is already on disk
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

// diskErrors are the errors of a disk that cannot be read or written. They do not mean that
// the file is corrupt.
var diskErrors = []error{
	syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS, syscall.EACCES, syscall.EPERM,
}

// classify wraps errors that come neither from this package nor from the disk in
// errCorrupt, because bbolt returns various errors for damaged pages.
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
