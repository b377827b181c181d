package standin

import (
	"sort"
	"sync"
	"time"
)

// change is one writing statement in SQLite's dialect with its bound values.
type change struct {
	SQL  string `cbor:"1,keyasint"`
	Args []any  `cbor:"2,keyasint"`
}

// record is one committed transaction.
type record struct {
	End     LSN      `cbor:"1,keyasint"`
	Changes []change `cbor:"2,keyasint"`
	// Committed is the time of the commit at the primary, in microseconds since
	// 1970.
	Committed int64 `cbor:"3,keyasint"`
	// flushedAt is the time of the flush on this endpoint.
	flushedAt time.Time
}

// timeline marks the log position at which a primary began to write. Origin
// tells timelines of the same number apart.
type timeline struct {
	Number uint32 `cbor:"1,keyasint" json:"number"`
	Start  LSN    `cbor:"2,keyasint" json:"start"`
	Origin string `cbor:"3,keyasint" json:"origin"`
}

// recordOverhead is the log space of a transaction besides its statements.
const recordOverhead = 48

// wal is the endpoint's log: every flushed transaction and the history of its
// timelines. It is safe for concurrent use.
type wal struct {
	mu       sync.Mutex
	records  []record
	history  []timeline
	replayed LSN
	// lastCommit is the time of commit of the last transaction replayed.
	lastCommit int64
	changed    chan struct{}
	file       *walFile
	// texts shares the text of statements that recur.
	statements map[string]string
}

func newWAL() *wal {
	return &wal{
		history:    []timeline{{Number: 1, Start: firstLSN, Origin: "initial"}},
		replayed:   firstLSN,
		changed:    make(chan struct{}),
		statements: make(map[string]string),
	}
}

// maxTexts bounds the texts that are shared.
const maxInternedStatements = 1024

// shareTexts replaces the texts of changes by equal ones in use already.
func (w *wal) internStatements(changes []change) {
	for i, c := range changes {
		interned, ok := w.statements[c.SQL]
		if ok {
			changes[i].SQL = interned
			continue
		}
		if len(w.statements) < maxInternedStatements {
			w.statements[c.SQL] = c.SQL
		}
	}
}

func recordSize(changes []change) LSN {
	size := recordOverhead
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

// flushed returns the end of the log.
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

// replayedTo returns the position up to which the database has the log.
func (w *wal) replayedLSN() LSN {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replayed
}

// replayedAt returns the commit time of the last transaction replayed.
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

// watch returns a channel that is closed at the next change.
func (w *wal) watch() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// appendLocal adds a transaction of this primary, which has replayed it.
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

// appendReceived adds transactions received from the primary.
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

// after returns up to limit transactions that end after l.
func (w *wal) recordsAfter(l LSN, limit int) []record {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := sort.Search(len(w.records), func(i int) bool { return w.records[i].End > l })
	end := min(i+limit, len(w.records))
	return w.records[i:end:end]
}

// timelines returns the history up to the end of the log.
func (w *wal) timelines() []timeline {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]timeline(nil), w.history...)
}

// current returns the number of the newest timeline.
func (w *wal) currentTimeline() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.history[len(w.history)-1].Number
}

// adopt takes over the history of a primary.
func (w *wal) adoptHistory(history []timeline) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append([]timeline(nil), history...)
	return w.file.saveHistory(w.history)
}

// branch starts a new timeline at the end of the log.
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

// truncate drops the transactions after l and reports whether any was dropped.
// The caller rebuilds the database and replays from the start.
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

// commonPoint returns the last position up to which a log with the history
// remote that ends at end agrees with a log of history local.
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
