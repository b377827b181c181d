package standin

import (
	"sort"
	"sync"
	"time"
)

// change is a statement that changes data, in SQLite's dialect, with its arguments.
type change struct {
	SQL  string `cbor:"1,keyasint"`
	Args []any  `cbor:"2,keyasint"`
}

// record is one committed transaction. End is the log position after it.
type record struct {
	End     LSN      `cbor:"1,keyasint"`
	Changes []change `cbor:"2,keyasint"`
	// Committed is the commit time on the primary, in microseconds since the Unix
	// epoch.
	Committed int64 `cbor:"3,keyasint"`
	// flushedAt is the time of the flush on this endpoint, zero for records read from
	// disk.
	flushedAt time.Time
}

// timeline is a part of the log written by one primary, from Start on. Origin
// distinguishes timelines with the same number that two primaries started.
type timeline struct {
	Number uint32 `cbor:"1,keyasint" json:"number"`
	Start  LSN    `cbor:"2,keyasint" json:"start"`
	Origin string `cbor:"3,keyasint" json:"origin"`
}

// recordOverheadBytes is the size of a transaction in the log besides its statements.
const recordOverheadBytes = 48

// wal is the endpoint's log: all flushed transactions, in ascending order of their
// end positions, and the history of timelines. replayed is never after the end of the
// log. Methods are safe for concurrent use.
type wal struct {
	mu       sync.Mutex
	records  []record
	history  []timeline
	replayed LSN
	// lastCommit is the commit time of the last replayed transaction, in microseconds
	// since the Unix epoch.
	lastCommit int64
	// changed is closed and replaced at each change of the log, of replayed or of the
	// replay lag.
	changed chan struct{}
	file    *walFile
	// internedSQL maps the text of a statement to the copy that all records share.
	internedSQL map[string]string
}

func newWAL() *wal {
	return &wal{
		history:     []timeline{{Number: 1, Start: firstLSN, Origin: "initial"}},
		replayed:    firstLSN,
		changed:     make(chan struct{}),
		internedSQL: make(map[string]string),
	}
}

// maxInternedStatements limits the number of statement texts kept for sharing.
const maxInternedStatements = 1024

// internStatements makes changes with equal statements share one text. The caller
// holds mu.
func (w *wal) internStatements(changes []change) {
	for i, c := range changes {
		interned, ok := w.internedSQL[c.SQL]
		if ok {
			changes[i].SQL = interned
			continue
		}
		if len(w.internedSQL) < maxInternedStatements {
			w.internedSQL[c.SQL] = c.SQL
		}
	}
}

// recordSize returns the size of a transaction in the log, in bytes, rounded up to a
// multiple of 8.
func recordSize(changes []change) LSN {
	size := recordOverheadBytes
	for _, c := range changes {
		size += len(c.SQL) + 8*len(c.Args)
		for _, arg := range c.Args {
			switch v := arg.(type) {
			case string:
				size += len(v)
			case []byte:
				size += len(v)
			}
		}
	}
	return LSN(size+7) &^ 7
}

// flushed returns the end position of the log.
func (w *wal) flushed() LSN {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flushedLocked()
}

func (w *wal) flushedLocked() LSN {
	if n := len(w.records); n > 0 {
		return w.records[n-1].End
	}
	return firstLSN
}

// replayedLSN returns the position up to which the log is applied to the database.
func (w *wal) replayedLSN() LSN {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replayed
}

// replayedCommitTime returns the commit time of the last replayed transaction, or
// the zero time if there is none.
func (w *wal) replayedCommitTime() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastCommit == 0 {
		return time.Time{}
	}
	return time.UnixMicro(w.lastCommit)
}

func (w *wal) setReplayed(r record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replayed, w.lastCommit = r.End, r.Committed
	w.notifyLocked()
}

func (w *wal) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notifyLocked()
}

func (w *wal) notifyLocked() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// watch returns a channel that is closed at the next change of the log, of the
// replayed position or of the replay lag.
func (w *wal) watch() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// appendLocal adds a transaction that was committed on this primary and counts it as
// replayed. It returns the new end of the log.
func (w *wal) appendLocal(changes []change) (LSN, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.internStatements(changes)
	now := time.Now()
	r := record{
		End: w.flushedLocked() + recordSize(changes), Changes: changes,
		Committed: now.UnixMicro(), flushedAt: now,
	}
	if err := w.file.append(r); err != nil {
		return 0, err
	}
	w.records = append(w.records, r)
	w.replayed, w.lastCommit = r.End, r.Committed
	w.notifyLocked()
	return r.End, nil
}

// appendReceived adds transactions received from the primary. It skips those that
// end at or before the end of the log.
func (w *wal) appendReceived(records []record) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range records {
		if r.End <= w.flushedLocked() {
			continue
		}
		if err := w.file.append(r); err != nil {
			return err
		}
		w.internStatements(r.Changes)
		r.flushedAt = time.Now()
		w.records = append(w.records, r)
	}
	w.notifyLocked()
	return nil
}

// recordsAfter returns up to limit transactions that end after l, in log order.
func (w *wal) recordsAfter(l LSN, limit int) []record {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := sort.Search(len(w.records), func(i int) bool { return w.records[i].End > l })
	end := min(i+limit, len(w.records))
	return w.records[i:end:end]
}

// timelines returns a copy of the history.
func (w *wal) timelines() []timeline {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]timeline(nil), w.history...)
}

// currentTimeline returns the number of the newest timeline.
func (w *wal) currentTimeline() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.history[len(w.history)-1].Number
}

// adoptHistory replaces the history by that of a primary.
func (w *wal) adoptHistory(history []timeline) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append([]timeline(nil), history...)
	return w.file.saveHistory(w.history)
}

// startTimeline starts a new timeline at the end of the log and returns its number,
// which is one above the highest in the history. Timelines that start after the end
// of the log are removed.
func (w *wal) startTimeline(origin string) (uint32, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	end := w.flushedLocked()
	number := uint32(0)
	var kept []timeline
	for _, t := range w.history {
		number = max(number, t.Number)
		if t.Start <= end {
			kept = append(kept, t)
		}
	}
	number++
	w.history = append(kept, timeline{Number: number, Start: end, Origin: origin})
	w.notifyLocked()
	return number, w.file.saveHistory(w.history)
}

// truncate drops the transactions that end after l and reports whether there were
// any. It resets the replayed position, so the caller must provide an empty database.
func (w *wal) truncate(l LSN) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.flushedLocked() <= l {
		return false, nil
	}
	i := sort.Search(len(w.records), func(i int) bool { return w.records[i].End > l })
	w.records = append([]record(nil), w.records[:i]...)
	w.replayed = firstLSN
	w.notifyLocked()
	return true, w.file.rewrite(w.records)
}

// commonPosition returns the position up to which two logs with the given histories
// are equal. end is the end of the shorter log. Logs are equal up to the start of the
// first timeline that differs or that only one of them has.
func commonPosition(local, remote []timeline, end LSN) LSN {
	n := min(len(local), len(remote))
	for i := range n {
		if local[i] != remote[i] {
			return min(end, local[i].Start, remote[i].Start)
		}
	}
	if len(remote) > n {
		end = min(end, remote[n].Start)
	}
	if len(local) > n {
		end = min(end, local[n].Start)
	}
	return end
}
