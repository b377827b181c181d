package bench

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/galenabridge/galenabridge/internal/history"
)

// sentWrite is a record or correction that a caller has tried to insert.
type sentWrite struct {
	id        string
	body      string
	service   string
	workspace string
	outcome   history.Outcome
}

// writeLog holds the writes of one workspace's callers and their outcomes, which
// the checks compare with the stored rows. It is safe for concurrent use.
type writeLog struct {
	mu          sync.Mutex
	records     []*sentWrite
	corrections []*sentWrite
	// acked holds the acknowledged records by service.
	acked map[string][]*sentWrite
}

func newWriteLog() *writeLog {
	return &writeLog{acked: make(map[string][]*sentWrite)}
}

// add adds a write whose outcome is set already.
func (l *writeLog) add(op Operation, w *sentWrite) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op == OpCorrect {
		l.corrections = append(l.corrections, w)
		return
	}
	l.records = append(l.records, w)
	if w.outcome == history.Acked {
		l.acked[w.service] = append(l.acked[w.service], w)
	}
}

// randomAcked returns a random acknowledged record of the service, or nil if there
// is none.
func (l *writeLog) randomAcked(service string, rng *rand.Rand) *sentWrite {
	l.mu.Lock()
	defer l.mu.Unlock()
	acked := l.acked[service]
	if len(acked) == 0 {
		return nil
	}
	return acked[rng.IntN(len(acked))]
}

// Violations counts violations of the proxy's guarantees.
type Violations struct {
	// Lost counts acknowledged writes that are not stored.
	Lost int `json:"lost"`
	// Doubled counts writes that are stored more than once.
	Doubled int `json:"doubled"`
	// RanAnyway counts writes that are stored although their error reported that
	// they did not run.
	RanAnyway int `json:"ran_although_not_run"`
	// Stale counts reads that did not return the body of an acknowledged record, and
	// reads of an id that was never written that returned a body.
	Stale int `json:"stale_reads"`
	// Foreign counts answers to another request and records of another workspace.
	Foreign int `json:"foreign_answers"`
	// Examples describes the first maxExamples violations.
	Examples []string `json:"examples,omitempty"`
}

// Total returns the number of violations.
func (v *Violations) Total() int {
	return v.Lost + v.Doubled + v.RanAnyway + v.Stale + v.Foreign
}

const maxExamples = 20

func (v *Violations) addExample(format string, args ...any) {
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// checkStored compares the sent writes with the number of stored rows of each id.
// It finds doubled writes only among corrections, since the ids in the table of
// records are unique.
func (v *Violations) checkStored(kind string, sent []*sentWrite, stored map[string]int) {
	writes := make([]history.Write, len(sent))
	for i, w := range sent {
		writes[i] = history.Write{ID: w.id, Workspace: w.workspace, Outcome: w.outcome}
	}
	for _, found := range history.CheckStored(writes, stored) {
		switch found.Rule {
		case history.RuleDurable:
			v.Lost++
		case history.RuleAtMostOnce:
			v.Doubled++
		case history.RuleNotRun:
			v.RanAnyway++
		}
		v.addExample("%s: %s", kind, found)
	}
}
