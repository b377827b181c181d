package store

import (
	"bufio"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Overwrites random bytes of a data file. Reading the folder must fail with
// StoreCorrupt, or return exactly the saved state when only unused space was
// damaged.
func TestRandomDamageIsDetected(t *testing.T) {
	_, file := newFilledFolder(t)
	intact, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want, _, err := readFolder(filepath.Dir(file))
	if err != nil {
		t.Fatal(err)
	}
	detected := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		dir := t.TempDir()
		damage(rt, filepath.Join(dir, FileName), intact, seed)
		got, _, err := readFolder(dir)
		switch {
		case result.CodeOf(err) == result.StoreCorrupt:
			detected++
		case err != nil:
			rt.Fatalf("error with another result code: %v", err)
		case !reflect.DeepEqual(got, want):
			rt.Fatal("damaged data was read without an error")
		}
	})
	if detected == 0 {
		t.Fatal("no damage was detected")
	}
}

// damage writes a copy of a file with up to 64 random bytes. It leaves both meta
// pages intact: when the newer one is damaged, bbolt uses the older one.
func damage(t *rapid.T, file string, intact []byte, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	data := append([]byte(nil), intact...)
	metaPages := 2 * os.Getpagesize()
	offset := metaPages + rng.IntN(len(data)-metaPages-64)
	for i := range 1 + rng.IntN(64) {
		data[offset+i] = byte(rng.Uint32())
	}
	if err := os.WriteFile(file, data, fileMode); err != nil {
		t.Fatal(err)
	}
}

const writerEnv = "STORE_TEST_WRITER_DIR"

// A process is killed while it saves entries. Every entry that it reported as
// saved must be in the data folder.
func TestKilledProcessKeepsSavedEntries(t *testing.T) {
	if dir := os.Getenv(writerEnv); dir != "" {
		writeForever(t, dir)
		return
	}
	dir := t.TempDir()
	for range 3 {
		saved := killWriter(t, dir, 100)
		st := mustLoadAndClose(t, dir)
		if n := len(st.Entries); n == 0 || st.Entries[n-1].Index < saved {
			t.Fatalf("%d entries, but %d were reported as saved", n, saved)
		}
	}
}

// writeForever saves one entry after another and prints the index of each.
func writeForever(t *testing.T, dir string) {
	s := mustOpen(t, dir)
	st := mustLoad(t, s)
	for i := uint64(len(st.Entries)) + 1; ; i++ {
		mustSave(t, s, consensus.Durable{Entries: entries(i, i, 1)})
		if _, err := os.Stdout.WriteString(strconv.FormatUint(i, 10) + "\n"); err != nil {
			return
		}
	}
}

// killWriter runs a writer until it has reported a number of entries, kills it
// and returns the last index that it reported.
func killWriter(t *testing.T, dir string, reports int) uint64 {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestKilledProcessKeepsSavedEntries$")
	cmd.Env = append(os.Environ(), writerEnv+"="+dir)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var saved uint64
	for lines := bufio.NewScanner(out); lines.Scan(); reports-- {
		if reports == 0 {
			if err := cmd.Process.Kill(); err != nil {
				t.Fatal(err)
			}
		}
		if saved, err = strconv.ParseUint(lines.Text(), 10, 64); err != nil {
			t.Fatalf("the writer printed %q", lines.Text())
		}
	}
	_ = cmd.Wait() // it was killed
	return saved
}

func mustLoadAndClose(t *testing.T, dir string) consensus.Stored {
	t.Helper()
	s := mustOpen(t, dir)
	st := mustLoad(t, s)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return st
}
