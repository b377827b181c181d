package store

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	bolt "go.etcd.io/bbolt"

	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Buckets and keys of the database file.
var (
	metaBucket  = []byte("meta")
	stateBucket = []byte("state")
	logBucket   = []byte("log")

	identityKey  = []byte("identity")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
)

// identity is the record that identifies the data folder. Disk is never zero.
type identity struct {
	Format uint64 `cbor:"1,keyasint"`
	Disk   uint64 `cbor:"2,keyasint"`
	Boots  uint64 `cbor:"3,keyasint"`
}

func newIdentity() (identity, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return identity{}, errors.Wrap(err, "disk identity")
	}
	return identity{Format: FormatVersion, Disk: binary.BigEndian.Uint64(b[:]) | 1}, nil
}

// loadIdentity returns the identity of the data folder, or a new one when the file
// is empty.
func loadIdentity(tx *bolt.Tx) (identity, error) {
	bucket := tx.Bucket(metaBucket)
	if bucket == nil {
		return newIdentity()
	}
	var id identity
	found, err := get(bucket, identityKey, &id)
	switch {
	case err != nil:
		return id, err
	case !found:
		return id, corrupt("the data folder has no identity")
	case id.Format != FormatVersion:
		return id, result.New(result.StoreVersion, "the data folder has format %d, this program writes format %d", id.Format, FormatVersion)
	}
	return id, nil
}

func storeIdentity(tx *bolt.Tx, id identity) error {
	for _, name := range [][]byte{metaBucket, stateBucket, logBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return put(tx.Bucket(metaBucket), identityKey, id)
}

func dropState(tx *bolt.Tx) error {
	for _, name := range [][]byte{metaBucket, stateBucket, logBucket} {
		if err := tx.DeleteBucket(name); err != nil {
			return err
		}
	}
	return nil
}

// checksumSize is the length of the checksum before each record, in bytes.
const checksumSize = 8

// checksum covers the key as well, so that a record under a wrong key is detected.
func checksum(key, payload []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(key) // never fails
	_, _ = h.Write(payload)
	return h.Sum64()
}

// put stores a record: the checksum in big-endian order, then the value in CBOR.
func put(bucket *bolt.Bucket, key []byte, value any) error {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	record := make([]byte, checksumSize, checksumSize+len(payload))
	binary.BigEndian.PutUint64(record, checksum(key, payload))
	return bucket.Put(key, append(record, payload...))
}

// get decodes the record under a key, and returns false when there is none.
func get(bucket *bolt.Bucket, key []byte, value any) (bool, error) {
	record := bucket.Get(key)
	if record == nil {
		return false, nil
	}
	return true, decode(key, record, value)
}

func decode(key, record []byte, value any) error {
	if len(record) < checksumSize {
		return corrupt("record %q is too short: %d bytes", key, len(record))
	}
	payload := record[checksumSize:]
	if binary.BigEndian.Uint64(record) != checksum(key, payload) {
		return corrupt("record %q has a wrong checksum", key)
	}
	if err := cbor.Unmarshal(payload, value); err != nil {
		return corrupt("record %q: %v", key, err)
	}
	return nil
}

// indexKey returns the key of a log entry. Its big-endian order keeps the entries
// of the bucket in the order of their indexes.
func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

func loadState(tx *bolt.Tx, st *consensus.Stored) error {
	state := tx.Bucket(stateBucket)
	if _, err := get(state, hardStateKey, &st.Hard); err != nil {
		return err
	}
	if _, err := get(state, snapshotKey, &st.Snapshot); err != nil {
		return err
	}
	return tx.Bucket(logBucket).ForEach(func(key, record []byte) error {
		var e consensus.Entry
		if err := decode(key, record, &e); err != nil {
			return err
		}
		if n := len(st.Entries); n > 0 && e.Index != st.Entries[n-1].Index+1 {
			return corrupt("entry %d follows entry %d", e.Index, st.Entries[n-1].Index)
		}
		st.Entries = append(st.Entries, e)
		return nil
	})
}

// saveDurable stores d. Its entries replace all stored entries from the index of the
// first one on.
func saveDurable(tx *bolt.Tx, d consensus.Durable) error {
	state, log := tx.Bucket(stateBucket), tx.Bucket(logBucket)
	if d.Hard != nil {
		if err := put(state, hardStateKey, d.Hard); err != nil {
			return err
		}
	}
	if d.Snapshot != nil {
		if err := saveSnapshot(state, log, d); err != nil {
			return err
		}
	}
	if len(d.Entries) == 0 {
		return nil
	}
	if err := deleteFrom(log, d.Entries[0].Index); err != nil {
		return err
	}
	for _, e := range d.Entries {
		if err := put(log, indexKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

func saveSnapshot(state, log *bolt.Bucket, d consensus.Durable) error {
	if err := put(state, snapshotKey, d.Snapshot); err != nil {
		return err
	}
	if d.ResetLog {
		return deleteFrom(log, 0)
	}
	return deleteBefore(log, d.FirstIndex)
}

func deleteFrom(log *bolt.Bucket, index uint64) error {
	c := log.Cursor()
	for key, _ := c.Seek(indexKey(index)); key != nil; key, _ = c.Seek(indexKey(index)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func deleteBefore(log *bolt.Bucket, index uint64) error {
	c := log.Cursor()
	for key, _ := c.First(); key != nil && binary.BigEndian.Uint64(key) < index; key, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
