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

// TestRandomDamageIsDetected overwrites random bytes of a data file. The
// folder must be refused as corrupt, or hold exactly what was saved when the
// damage hit unused space.
func TestRandomDamageIsDetected(t *testing.T) {
	_, file := newFilledFolder(t)
	sound, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want, _, err := readFolder(filepath.Dir(file))
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		dir := t.TempDir()
		damage(rt, filepath.Join(dir, FileName), sound, seed)
		got, _, err := readFolder(dir)
		switch {
		case result.CodeOf(err) == result.StoreCorrupt:
			refused++
		case err != nil:
			rt.Fatalf("damage gives another error: %v", err)
		case !reflect.DeepEqual(got, want):
			rt.Fatal("damaged data was believed")
		}
	})
	if refused == 0 {
		t.Fatal("no damage was noticed")
	}
}

// damage writes a copy of a file in which a few bytes are random. Both meta
// pages are left alone: when the newer is damaged, bbolt uses the older.
func damage(t *rapid.T, file string, sound []byte, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	data := append([]byte(nil), sound...)
	metaPages := 2 * os.Getpagesize()
	at := metaPages + rng.IntN(len(data)-metaPages-64)
	for i := range 1 + rng.IntN(64) {
		data[at+i] = byte(rng.Uint32())
	}
	if err := os.WriteFile(file, data, fileMode); err != nil {
		t.Fatal(err)
	}
}

const writerEnv = "STORE_TEST_WRITER_DIR"

// TestKilledProcessKeepsSavedEntries kills a process while it saves entries.
// What it reported as saved must be there.
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
			t.Fatalf("%d entries after %d were reported as saved", n, saved)
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
