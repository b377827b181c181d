package store

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	bolt "go.etcd.io/bbolt"

	"github.com/galenabridge/galenabridge/internal/consensus"
)

// Report summarises a data folder that was found to be sound.
type Report struct {
	Format   uint64             `json:"format"`
	Disk     string             `json:"disk"`
	Fleet    string             `json:"fleet"`
	Boots    uint64             `json:"boots"`
	Term     uint64             `json:"term"`
	Commit   uint64             `json:"commit"`
	Snapshot uint64             `json:"snapshot"`
	First    uint64             `json:"first"`
	Last     uint64             `json:"last"`
	Members  []consensus.Member `json:"members"`
	Bytes    int64              `json:"bytes"`
}

// Verify checks every page and record of the data folder without changing it.
// The folder must not be in use.
func Verify(dir string) (Report, error) {
	st, report, err := read(dir)
	if err != nil {
		return report, err
	}
	report.summarise(st)
	return report, nil
}

// Dump writes the contents of the data folder as one JSON object per line: a
// summary first, then the entries of the log.
func Dump(dir string, w io.Writer) error {
	st, report, err := read(dir)
	if err != nil {
		return err
	}
	report.summarise(st)
	enc := json.NewEncoder(w)
	if err := enc.Encode(report); err != nil {
		return errors.Wrap(err, "dump")
	}
	for _, e := range st.Entries {
		if err := enc.Encode(dumpOf(e)); err != nil {
			return errors.Wrap(err, "dump")
		}
	}
	return nil
}

// dumpedEntry is the form of a log entry in a dump.
type dumpedEntry struct {
	Index   uint64             `json:"index"`
	Term    uint64             `json:"term"`
	Kind    string             `json:"kind"`
	Data    []byte             `json:"data,omitempty"`
	Members []consensus.Member `json:"members,omitempty"`
}

func dumpOf(e consensus.Entry) dumpedEntry {
	kinds := map[consensus.EntryKind]string{
		consensus.EntryCommand: "command", consensus.EntryNoOp: "no_op", consensus.EntryMembership: "change",
	}
	return dumpedEntry{Index: e.Index, Term: e.Term, Kind: kinds[e.Kind], Data: e.Data, Members: e.Members}
}

func read(dir string) (consensus.Stored, Report, error) {
	var st consensus.Stored
	var report Report
	path := filepath.Join(dir, FileName)
	info, err := os.Stat(path)
	if err != nil {
		return st, report, errors.Wrap(err, "data file")
	}
	report.Bytes = info.Size()
	db, err := openFile(path, &bolt.Options{ReadOnly: true, Timeout: defaultLockTimeout, PreLoadFreelist: true})
	if err != nil {
		return st, report, err
	}
	err = guard(path, func() error {
		return db.View(func(tx *bolt.Tx) error { return readAll(tx, &st, &report) })
	})
	return st, report, firstError(err, db.Close())
}

func readAll(tx *bolt.Tx, st *consensus.Stored, report *Report) error {
	if err := checkFile(tx); err != nil {
		return err
	}
	if tx.Bucket(metaBucket) == nil {
		return corrupt("the data folder was never initialised")
	}
	id, err := loadIdentity(tx)
	if err != nil {
		return err
	}
	report.Format, report.Disk, report.Boots = id.Format, hex(id.Disk), id.Boots
	return loadState(tx, st)
}

func (r *Report) summarise(st consensus.Stored) {
	r.Fleet, r.Term, r.Commit = hex(st.Hard.Fleet), st.Hard.Term, st.Hard.Commit
	r.Snapshot = st.Snapshot.Index
	r.First, r.Last = st.Snapshot.Index+1, st.Snapshot.Index
	r.Members = st.Snapshot.Members
	if n := len(st.Entries); n > 0 {
		r.First, r.Last = st.Entries[0].Index, st.Entries[n-1].Index
	}
	for _, e := range st.Entries {
		if e.Kind == consensus.EntryMembership {
			r.Members = e.Members
		}
	}
}
