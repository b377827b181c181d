package store

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/result"
)

// openFile opens the database file and translates the errors of bbolt.
func openFile(path string, opts *bolt.Options) (*bolt.DB, error) {
	var db *bolt.DB
	var file *os.File
	opts.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
		var err error
		file, err = os.OpenFile(name, flag, mode)
		return file, err
	}
	err := recoverCorruption(path, func() error {
		var err error
		db, err = bolt.Open(path, fileMode, opts)
		return translateError(path, err)
	})
	if err != nil && file != nil {
		unlockAndClose(file)
	}
	return db, err
}

// release gives up a file that bbolt left open. A mapping of the file keeps the
// lock alive after Close, so the lock is released first.
func unlockAndClose(file *os.File) {
	_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN)
	_ = file.Close()
}

// guard runs f and turns panics, and faults on a mapped file that is shorter
// than its pages say, into a StoreCorrupt error.
func recoverCorruption(path string, f func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(old)
	defer func() {
		if r := recover(); r != nil {
			err = corrupt("%s: %v", path, r)
		}
	}()
	return f()
}

// classify gives the errors of bbolt and of the file system a result code.
func translateError(path string, err error) error {
	switch {
	case err == nil:
		return nil
	case result.CodeOf(err) != 0:
		return err
	case isDiskFull(err):
		return result.New(result.DiskFull, "%s: %v", path, err)
	case errors.Is(err, bolterrors.ErrTimeout):
		return result.New(result.StoreInUse, "%s: held by another process", path)
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrChecksum),
		errors.Is(err, bolterrors.ErrVersionMismatch), errors.Is(err, bolterrors.ErrInvalidMapping):
		return corrupt("%s: %v", path, err)
	}
	return errors.Wrap(err, "data file")
}

// isFull reports whether the file could not grow. bbolt keeps only the text of
// an error that it meets while growing the file.
func isDiskFull(err error) bool {
	for _, full := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, bolterrors.ErrMaxSizeReached} {
		if errors.Is(err, full) || strings.HasSuffix(err.Error(), full.Error()) {
			return true
		}
	}
	return false
}

// checkFile checks that the file holds all its pages, that these form a tree,
// that every record is sound, and at last what bbolt checks itself. It does so
// in a goroutine of its own, where a fault on a damaged page cannot be caught.
func checkFile(tx *bolt.Tx) error {
	info, err := os.Stat(tx.DB().Path())
	if err != nil {
		return errors.Wrap(err, "data file")
	}
	if info.Size() < tx.Size() {
		return corrupt("the data file has %d bytes of %d", info.Size(), tx.Size())
	}
	data, err := os.ReadFile(tx.DB().Path())
	if err != nil {
		return errors.Wrap(err, "data file")
	}
	if err := checkTree(data); err != nil {
		return err
	}
	if err := checkRecords(tx); err != nil {
		return err
	}
	var first error
	for err := range tx.Check() {
		if first == nil {
			first = corrupt("%v", err)
		}
	}
	return first
}

func checkRecords(tx *bolt.Tx) error {
	if tx.Bucket(metaBucket) == nil {
		return nil
	}
	if _, err := loadIdentity(tx); err != nil {
		return err
	}
	var st consensus.Stored
	return loadState(tx, &st)
}

func hex(id uint64) string { return fmt.Sprintf("%016x", id) }
