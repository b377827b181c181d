package store

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/galenabridge/galenabridge/internal/consensus"
)

// entryDataBytes is the size of one log entry's data in the benchmarks.
const entryDataBytes = 512

// BenchmarkSave measures saving one entry, sync included.
func BenchmarkSave(b *testing.B) {
	s := mustOpen(b, b.TempDir())
	data := bytes.Repeat([]byte("x"), entryDataBytes)
	index := uint64(0)
	for b.Loop() {
		index++
		mustSave(b, s, consensus.Durable{Entries: []consensus.Entry{{Index: index, Term: 1, Data: data}}})
	}
}

// BenchmarkRestart measures opening, checking and loading a data folder with a
// number of entries and no snapshot.
func BenchmarkRestart(b *testing.B) {
	for _, count := range []uint64{1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			dir := b.TempDir()
			s := mustOpen(b, dir)
			data := bytes.Repeat([]byte("x"), entryDataBytes)
			for i := uint64(1); i <= count; i++ {
				mustSave(b, s, consensus.Durable{Entries: []consensus.Entry{{Index: i, Term: 1, Data: data}}})
			}
			size, err := s.Size()
			if err != nil {
				b.Fatal(err)
			}
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				restart(b, dir, count)
			}
			b.ReportMetric(float64(size), "file_bytes")
		})
	}
}

func restart(b *testing.B, dir string, count uint64) {
	s, err := Open(dir, Options{})
	if err != nil {
		b.Fatal(err)
	}
	if st := mustLoad(b, s); uint64(len(st.Entries)) != count {
		b.Fatalf("%d entries after the restart, want %d", len(st.Entries), count)
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
}
