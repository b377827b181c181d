package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/result"
)

func mustOpen(t testing.TB, dir string) *Store {
	t.Helper()
	s, err := Open(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func mustLoad(t testing.TB, s *Store) consensus.Stored {
	t.Helper()
	st, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	return st
}

func mustSave(t testing.TB, s *Store, d consensus.Durable) {
	t.Helper()
	if err := s.Save(d); err != nil {
		t.Fatal(err)
	}
}

func entries(from, to, term uint64) []consensus.Entry {
	var all []consensus.Entry
	for i := from; i <= to; i++ {
		all = append(all, consensus.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "command %d of term %d", i, term)})
	}
	return all
}

func TestReopenReturnsSavedState(t *testing.T) {
	dir := t.TempDir()
	s := mustOpen(t, dir)
	first := mustLoad(t, s)
	hard := consensus.HardState{Term: 3, Vote: 9, Commit: 4, Fleet: 77}
	mustSave(t, s, consensus.Durable{Hard: &hard, Entries: entries(1, 8, 2)})
	mustSave(t, s, consensus.Durable{Entries: entries(6, 7, 3)})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	got := mustLoad(t, mustOpen(t, dir))
	want := consensus.Stored{
		Disk: first.Disk, Boots: first.Boots + 1, Hard: hard,
		Entries: append(entries(1, 5, 2), entries(6, 7, 3)...),
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("loaded %+v, want %+v", got, want)
	}
}

func TestSnapshotReplacesEntries(t *testing.T) {
	s := mustOpen(t, t.TempDir())
	mustSave(t, s, consensus.Durable{Entries: entries(1, 9, 1)})
	snap := consensus.Snapshot{Index: 7, Term: 1, Data: []byte("state")}
	mustSave(t, s, consensus.Durable{Snapshot: &snap, FirstIndex: 5})
	if st := mustLoad(t, s); st.Snapshot.Index != 7 || st.Entries[0].Index != 5 || len(st.Entries) != 5 {
		t.Fatalf("after compaction: %+v, want snapshot 7 and entries 5 to 9", st)
	}
	snap.Index = 20
	mustSave(t, s, consensus.Durable{Snapshot: &snap, FirstIndex: 21, ResetLog: true, Entries: entries(21, 22, 2)})
	if st := mustLoad(t, s); st.Snapshot.Index != 20 || st.Entries[0].Index != 21 || len(st.Entries) != 2 {
		t.Fatalf("after the snapshot reset the log: %+v, want snapshot 20 and entries 21 and 22", st)
	}
}

func TestResetChangesIdentity(t *testing.T) {
	s := mustOpen(t, t.TempDir())
	mustSave(t, s, consensus.Durable{Entries: entries(1, 2, 1)})
	before := mustLoad(t, s)
	if err := s.Reset(); err != nil {
		t.Fatal(err)
	}
	after := mustLoad(t, s)
	if after.Disk == before.Disk || after.Boots != 1 || len(after.Entries) != 0 {
		t.Fatalf("after reset: %+v, want another identity, one start and no entries", after)
	}
}

func TestSecondOpenReturnsStoreInUse(t *testing.T) {
	dir := t.TempDir()
	mustOpen(t, dir)
	_, err := Open(dir, Options{LockTimeout: time.Millisecond})
	if result.CodeOf(err) != result.StoreInUse {
		t.Fatalf("second open: %v, want StoreInUse", err)
	}
}

func TestSaveBeyondMaxBytesReturnsDiskFull(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, Options{MaxBytes: 256 << 10})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	saved := fillUp(t, s)
	checkFull(t, s, saved)
}

// fillUp saves entries until Save returns DiskFull, and returns the last index
// saved.
func fillUp(t *testing.T, s *Store) uint64 {
	t.Helper()
	for i := uint64(1); i < 10000; i++ {
		e := consensus.Entry{Index: i, Term: 1, Data: bytes.Repeat([]byte("x"), 4000)}
		err := s.Save(consensus.Durable{Entries: []consensus.Entry{e}})
		if result.CodeOf(err) == result.DiskFull {
			return i - 1
		}
		if err != nil {
			t.Fatalf("entry %d: %v", i, err)
		}
	}
	t.Fatal("Save never returned DiskFull")
	return 0
}

// checkFull checks that a full store can still be read, and can be written again
// once a snapshot has freed space.
func checkFull(t *testing.T, s *Store, saved uint64) {
	t.Helper()
	st := mustLoad(t, s)
	if n := uint64(len(st.Entries)); n != saved {
		t.Fatalf("%d entries, but %d were saved", n, saved)
	}
	snap := consensus.Snapshot{Index: saved, Term: 1}
	mustSave(t, s, consensus.Durable{Snapshot: &snap, FirstIndex: saved + 1})
	mustSave(t, s, consensus.Durable{Entries: entries(saved+1, saved+1, 1)})
}

const limitEnv = "STORE_TEST_FILE_LIMIT_DIR"

// The test runs itself in a process with a limit on the file size, so that the
// operating system rejects writes past it. Save must return DiskFull and leave the
// store usable.
func TestFileSizeLimit(t *testing.T) {
	if dir := os.Getenv(limitEnv); dir != "" {
		s := mustOpen(t, dir)
		checkFull(t, s, fillUpLimited(t, s))
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestFileSizeLimit$", "-test.v")
	cmd.Env = append(os.Environ(), limitEnv+"="+t.TempDir())
	out, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "PASS: TestFileSizeLimit") {
		t.Fatalf("%v\n%s", err, out)
	}
}

func fillUpLimited(t *testing.T, s *Store) uint64 {
	t.Helper()
	signal.Ignore(syscall.SIGXFSZ)
	const limit = 512 << 10 // bytes
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		t.Fatal(err)
	}
	return fillUp(t, s)
}

// newFilledFolder creates a data folder with 300 entries, and returns the folder
// and its file.
func newFilledFolder(t *testing.T) (dir, file string) {
	t.Helper()
	dir = t.TempDir()
	s := mustOpen(t, dir)
	for i := uint64(1); i <= 300; i += 10 {
		mustSave(t, s, consensus.Durable{Entries: entries(i, i+9, 1)})
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return dir, filepath.Join(dir, FileName)
}

func TestTruncatedFileIsRefused(t *testing.T) {
	for _, keep := range []int64{4096 * 3, 4096*5 + 100, 4096 * 8} {
		dir, file := newFilledFolder(t)
		if err := os.Truncate(file, keep); err != nil {
			t.Fatal(err)
		}
		if _, err := Verify(dir); result.CodeOf(err) != result.StoreCorrupt {
			t.Errorf("verify with %d bytes: %v, want StoreCorrupt", keep, err)
		}
		if _, err := Open(dir, Options{}); result.CodeOf(err) != result.StoreCorrupt {
			t.Errorf("open with %d bytes: %v, want StoreCorrupt", keep, err)
		}
	}
}

// Changes the data of one log entry in the file, but not its checksum. The folder
// must be refused as corrupt.
func TestChangedRecordIsRefused(t *testing.T) {
	for _, text := range []string{"command 7 of", "command 150 of", "command 300 of"} {
		dir, file := newFilledFolder(t)
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		data = bytes.ReplaceAll(data, []byte(text), []byte(strings.ToUpper(text)))
		if err := os.WriteFile(file, data, fileMode); err != nil {
			t.Fatal(err)
		}
		if _, err := Verify(dir); result.CodeOf(err) != result.StoreCorrupt {
			t.Errorf("verify: %v, want StoreCorrupt", err)
		}
		if _, err := Open(dir, Options{}); result.CodeOf(err) != result.StoreCorrupt {
			t.Errorf("open: %v, want StoreCorrupt", err)
		}
	}
}

func TestOtherFormatIsRefused(t *testing.T) {
	dir := t.TempDir()
	s := mustOpen(t, dir)
	err := s.update(func(tx *bolt.Tx) error {
		return put(tx.Bucket(metaBucket), identityKey, identity{Format: FormatVersion + 1, Disk: 5, Boots: 1})
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, Options{}); result.CodeOf(err) != result.StoreVersion {
		t.Fatalf("open: %v, want StoreVersion", err)
	}
}

func TestVerifyAndDumpReportAllEntries(t *testing.T) {
	dir, _ := newFilledFolder(t)
	report, err := Verify(dir)
	if err != nil || report.Last != 300 || report.First != 1 {
		t.Fatalf("verify: %+v, %v, want entries 1 to 300", report, err)
	}
	var out bytes.Buffer
	if err := Dump(dir, &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var e dumpedEntry
	if err := json.Unmarshal([]byte(lines[300]), &e); err != nil || e.Index != 300 || e.Kind != "command" {
		t.Fatalf("%d lines, last %q: %v", len(lines), lines[300], err)
	}
}
