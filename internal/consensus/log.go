package consensus

import (
	"slices"

	"github.com/pkg/errors"
)

// raftLog is the in-memory copy of the log since the last compaction.
type raftLog struct {
	snap Snapshot
	// prevIndex and prevTerm name the entry before entries[0].
	prevIndex uint64
	prevTerm  uint64
	entries   []Entry
	// stable is the last index known to be synced.
	stable  uint64
	commit  uint64
	applied uint64
	// saveSnap is set while snap is not yet synced; resetLog asks to delete all
	// stored entries with it, install to hand it to the application.
	saveSnap bool
	resetLog bool
	install  bool
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

// load takes over stored entries. Those up to the snapshot are dropped: the
// term of the entry before them is not stored.
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

// term returns the term of the entry at index, and false when it is not known.
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

// limited returns entries from an index on, at least one and otherwise at most
// maxBytes in sum.
func (l *raftLog) limited(from uint64, maxBytes int) []Entry {
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

// merge stores entries from a leader whose predecessor matches. It truncates
// at the first conflict and returns false when that would undo a commit.
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

// upToDate reports whether a log that ends with the given entry holds every
// entry that this log could have committed.
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

// membersAt returns the membership in force at an index of at least that of
// the snapshot.
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

// compact makes snap the base of the log but keeps trailing entries before it.
func (l *raftLog) compact(snap Snapshot, trailing uint64) {
	l.snap = snap
	l.saveSnap = true
	if snap.Index < trailing || snap.Index-trailing <= l.prevIndex {
		return
	}
	cut := snap.Index - trailing
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
	l.saveSnap, l.resetLog, l.install = true, true, true
}
