// Package store keeps the durable state of a control host in one data folder:
// the identity of the folder, the hard state of consensus, its log and its
// latest snapshot. Each Save is one transaction that is synced before it
// returns. Every record is stored with a checksum.
package store

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	bolt "go.etcd.io/bbolt"

	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/result"
)

// FileName is the name of the database file in the data folder.
const FileName = "control.db"

// FormatVersion is the version of the file format written by this package.
const FormatVersion = 1

const (
	defaultLockTimeout = time.Second
	folderMode         = 0o700
	fileMode           = 0o600
)

// Options are the settings of a Store.
type Options struct {
	// MaxBytes bounds the size of the database file; zero means no bound.
	MaxBytes int
	// LockTimeout bounds the wait for another process to release the folder;
	// zero means one second.
	LockTimeout time.Duration
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	db   *bolt.DB
	path string
	id   identity
}

// Open opens the data folder, creates it when missing, and increments its count
// of starts. When the folder cannot be used, it returns an error with result code
// StoreInUse, StoreVersion, StoreCorrupt or DiskFull.
func Open(dir string, opts Options) (*Store, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	path := filepath.Join(dir, FileName)
	db, err := openFile(path, &bolt.Options{
		Timeout: lockTimeout(opts), MaxSize: opts.MaxBytes,
		FreelistType: bolt.FreelistMapType, NoStatistics: true,
	})
	if err != nil {
		return nil, err
	}
	s := &Store{db: db, path: path}
	if err := s.checkAndCountStart(); err != nil {
		return nil, firstError(err, db.Close())
	}
	if err := syncFolder(dir); err != nil {
		return nil, firstError(err, db.Close())
	}
	return s, nil
}

func lockTimeout(opts Options) time.Duration {
	if opts.LockTimeout == 0 {
		return defaultLockTimeout
	}
	return opts.LockTimeout
}

// checkAndCountStart checks an existing file, or initialises a new one, and
// increments its count of starts.
func (s *Store) checkAndCountStart() error {
	err := recoverCorruption(s.path, func() error { return s.db.View(checkFile) })
	if err != nil {
		return err
	}
	return s.update(func(tx *bolt.Tx) error {
		id, err := loadIdentity(tx)
		if err != nil {
			return err
		}
		id.Boots++
		s.id = id
		return storeIdentity(tx, id)
	})
}

// Load returns the content of the data folder.
func (s *Store) Load() (consensus.Stored, error) {
	st := consensus.Stored{Disk: s.id.Disk, Boots: s.id.Boots}
	err := recoverCorruption(s.path, func() error {
		return s.db.View(func(tx *bolt.Tx) error { return loadState(tx, &st) })
	})
	return st, err
}

// Save stores d in one transaction and syncs it. After an error with result code
// DiskFull nothing of d is stored, and Load and later calls of Save still work.
func (s *Store) Save(d consensus.Durable) error {
	if d.Empty() {
		return nil
	}
	return s.update(func(tx *bolt.Tx) error { return saveDurable(tx, d) })
}

// Reset empties the data folder and assigns it a new identity, for a host that
// must join the group again.
func (s *Store) Reset() error {
	id, err := newIdentity()
	if err != nil {
		return err
	}
	id.Boots = 1
	err = s.update(func(tx *bolt.Tx) error {
		if err := dropState(tx); err != nil {
			return err
		}
		return storeIdentity(tx, id)
	})
	if err == nil {
		s.id = id
	}
	return err
}

// Size returns the size of the database file in bytes.
func (s *Store) Size() (int64, error) {
	info, err := os.Stat(s.path)
	if err != nil {
		return 0, errors.Wrap(err, "stat data file")
	}
	return info.Size(), nil
}

// Close releases the data folder.
func (s *Store) Close() error {
	return errors.Wrap(s.db.Close(), "close data file")
}

func (s *Store) update(f func(tx *bolt.Tx) error) error {
	return recoverCorruption(s.path, func() error { return translateError(s.path, s.db.Update(f)) })
}

// syncFolder makes the entry of a new file in its folder durable.
func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	err = f.Sync()
	return errors.Wrap(firstError(err, f.Close()), "sync data folder")
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func corrupt(format string, args ...any) error {
	return result.New(result.StoreCorrupt, format, args...)
}
