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

// unlockAndClose closes a file that bbolt left open. A memory mapping of the file
// keeps the lock held after Close, so the lock is released first.
func unlockAndClose(file *os.File) {
	_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN)
	_ = file.Close()
}

// recoverCorruption runs f and converts a panic into a StoreCorrupt error. This
// includes a memory fault on a mapped file that is shorter than its pages require.
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

// translateError adds a result code to known errors of bbolt and of the file
// system.
func translateError(path string, err error) error {
	switch {
	case err == nil:
		return nil
	case result.CodeOf(err) != 0:
		return err
	case isDiskFull(err):
		return result.New(result.DiskFull, "%s: %v", path, err)
	case errors.Is(err, bolterrors.ErrTimeout):
		return result.New(result.StoreInUse, "%s: locked by another process", path)
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrChecksum),
		errors.Is(err, bolterrors.ErrVersionMismatch), errors.Is(err, bolterrors.ErrInvalidMapping):
		return corrupt("%s: %v", path, err)
	}
	return errors.Wrap(err, "access data file")
}

// isDiskFull reports whether the file could not grow. bbolt keeps only the text of
// an error from growing the file, so the text is compared as well.
func isDiskFull(err error) bool {
	for _, full := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, bolterrors.ErrMaxSizeReached} {
		if errors.Is(err, full) || strings.HasSuffix(err.Error(), full.Error()) {
			return true
		}
	}
	return false
}

// checkFile checks that the file contains all its pages, that these form a tree
// and that every record is valid, and then runs the check of bbolt. bbolt's check
// must come last: it runs in a goroutine of its own, where a memory fault on a
// damaged page cannot be recovered.
func checkFile(tx *bolt.Tx) error {
	info, err := os.Stat(tx.DB().Path())
	if err != nil {
		return errors.Wrap(err, "stat data file")
	}
	if info.Size() < tx.Size() {
		return corrupt("the data file is truncated: it has %d of %d bytes", info.Size(), tx.Size())
	}
	data, err := os.ReadFile(tx.DB().Path())
	if err != nil {
		return errors.Wrap(err, "read data file")
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

// checkRecords decodes every record. An empty file is valid.
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

// hex formats an identity as 16 hexadecimal digits.
func hex(id uint64) string { return fmt.Sprintf("%016x", id) }
