package consensus

import (
	"slices"

	"github.com/pkg/errors"
)

// raftLog is the in-memory copy of the log since the last compaction. Invariants:
// prevIndex <= snap.Index <= applied <= commit <= last(), and stable <= last().
type raftLog struct {
	snap Snapshot
	// prevIndex and prevTerm identify the entry before entries[0].
	prevIndex uint64
	prevTerm  uint64
	entries   []Entry
	// stable is the last index known to be synced.
	stable  uint64
	commit  uint64
	applied uint64
	// snapshotUnsaved is set while snap is not synced, resetStored while all
	// stored entries must be deleted with it, and installPending while the
	// application must still restore its state from it.
	snapshotUnsaved bool
	resetStored     bool
	installPending  bool
}

func newLog(st Stored) (*raftLog, error) {
	l := &raftLog{snap: st.Snapshot, commit: max(st.Hard.Commit, st.Snapshot.Index), applied: st.Snapshot.Index}
	l.prevIndex, l.prevTerm = st.Snapshot.Index, st.Snapshot.Term
	if len(st.Entries) > 0 {
		if err := l.load(st.Entries); err != nil {
			return nil, err
		}
	}
	l.stable = l.last()
	if l.commit > l.last() {
		return nil, errors.Errorf("consensus: commit index %d is past the last entry %d", l.commit, l.last())
	}
	return l, nil
}

// load initialises the log with stored entries. Those up to the snapshot are
// left out, because the term of the entry before them is not stored.
func (l *raftLog) load(entries []Entry) error {
	for i, e := range entries {
		if e.Index != entries[0].Index+uint64(i) {
			return errors.Errorf("consensus: entry %d follows entry %d", e.Index, entries[i-1].Index)
		}
	}
	if entries[0].Index > l.snap.Index+1 {
		return errors.Errorf("consensus: entries between snapshot %d and %d are missing", l.snap.Index, entries[0].Index)
	}
	skip := min(l.snap.Index+1-entries[0].Index, uint64(len(entries)))
	l.entries = slices.Clone(entries[skip:])
	return nil
}

func (l *raftLog) last() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false when it is unknown.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.prevIndex:
		return l.prevTerm, true
	case index == l.snap.Index:
		return l.snap.Term, true
	case index < l.prevIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.prevIndex-1].Term, true
}

// slice returns the entries in [from, to], which must be in memory.
func (l *raftLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.prevIndex-1 : to-l.prevIndex : to-l.prevIndex]
}

// sliceLimited returns entries from an index on: at least one, further ones up to
// maxBytes in total.
func (l *raftLog) sliceLimited(from uint64, maxBytes int) []Entry {
	all := l.slice(from, l.last())
	size := 0
	for i, e := range all {
		size += e.size()
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all
}

// append adds entries after the last one.
func (l *raftLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// merge adds entries from a leader; the entry before them must match. It
// truncates the log at the first conflict, and returns false when that would
// remove a committed entry.
func (l *raftLog) merge(entries []Entry) bool {
	for i, e := range entries {
		if e.Index <= l.prevIndex {
			continue
		}
		if term, ok := l.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= l.commit {
			return false
		}
		l.truncate(e.Index)
		l.append(entries[i:]...)
		return true
	}
	return true
}

// truncate removes the entries from index on.
func (l *raftLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	l.entries = slices.Clip(l.entries[:index-l.prevIndex-1])
	l.stable = min(l.stable, index-1)
}

func (l *raftLog) commitTo(index uint64) {
	l.commit = max(l.commit, min(index, l.last()))
}

// upToDate reports whether a log that ends with the given entry is at least as
// up to date as this one: a higher last term, or the same term and no lower index.
func (l *raftLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// members returns the latest membership in the log, committed or not.
func (l *raftLog) members() []Member {
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := &l.entries[i]
		if e.Index <= l.snap.Index {
			break
		}
		if e.Kind == EntryMembership {
			return e.Members
		}
	}
	return l.snap.Members
}

// membersAt returns the membership in effect at an index, which must not be below
// that of the snapshot.
func (l *raftLog) membersAt(index uint64) []Member {
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := &l.entries[i]
		if e.Index <= l.snap.Index {
			break
		}
		if e.Kind == EntryMembership && e.Index <= index {
			return e.Members
		}
	}
	return l.snap.Members
}

// compact records a snapshot and drops the entries before it, except for the last
// trailing ones whose data has at most the given bytes.
func (l *raftLog) compact(snap Snapshot, trailing uint64, bytes int) {
	l.snap = snap
	l.snapshotUnsaved = true
	cut := snap.Index
	for cut > l.prevIndex && snap.Index-cut < trailing {
		if bytes -= len(l.entries[cut-l.prevIndex-1].Data); bytes < 0 {
			break
		}
		cut--
	}
	if cut <= l.prevIndex {
		return
	}
	term, _ := l.term(cut)
	l.entries = slices.Clone(l.slice(cut+1, l.last()))
	l.prevIndex, l.prevTerm = cut, term
}

// restore replaces the log by a snapshot from the leader.
func (l *raftLog) restore(snap Snapshot) {
	l.snap = snap
	l.prevIndex, l.prevTerm = snap.Index, snap.Term
	l.entries = nil
	l.stable, l.commit, l.applied = snap.Index, snap.Index, snap.Index
	l.snapshotUnsaved, l.resetStored, l.installPending = true, true, true
}
