package consensus

import "testing"

// TestCompactKeepsBytes guards against a log that keeps, after a snapshot, as many large entries as it
// keeps small ones.
func TestCompactKeepsBytes(t *testing.T) {
	for size, want := range map[int]int{10: 50, 300: 3, 2000: 0} {
		l := &raftLog{}
		for i := range 100 {
			l.entries = append(l.entries, Entry{Index: uint64(i + 1), Term: 1, Data: make([]byte, size)})
		}
		l.applied, l.commit, l.stable = 90, 100, 100
		l.compact(Snapshot{Index: 90, Term: 1}, 50, 1000)
		if kept := len(l.entries) - 10; kept != want || l.entries[len(l.entries)-1].Index != 100 {
			t.Errorf("%d entries of %d bytes kept before the snapshot, want %d, and the last entry", kept, size, want)
		}
	}
}
