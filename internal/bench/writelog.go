package bench

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/galenabridge/galenabridge/internal/history"
)

// entry is a record or correction that a caller has sent.
type sentWrite struct {
	id        string
	body      string
	service   string
	workspace string
	outcome   history.Outcome
}

// ledger remembers what the callers of one workspace have sent, for the checks.
// It is safe for concurrent use.
type writeLog struct {
	mu          sync.Mutex
	records     []*sentWrite
	corrections []*sentWrite
	acked       map[string][]*sentWrite
}

func newWriteLog() *writeLog {
	return &writeLog{acked: make(map[string][]*sentWrite)}
}

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

// pick returns an acknowledged entry of the service, or nil when there is none.
func (l *writeLog) randomAcked(service string, rng *rand.Rand) *sentWrite {
	l.mu.Lock()
	defer l.mu.Unlock()
	acked := l.acked[service]
	if len(acked) == 0 {
		return nil
	}
	return acked[rng.IntN(len(acked))]
}

// Violations counts broken promises.
type Violations struct {
	Lost      int `json:"lost"`
	Doubled   int `json:"doubled"`
	RanAnyway int `json:"ran_although_not_run"`
	Stale     int `json:"stale_reads"`
	Foreign   int `json:"foreign_answers"`
	// Examples names the first violations.
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

// checkStored compares what was sent with how often each id is stored. With
// ids that the database keeps unique, doubled entries cannot show; corrections
// have no such key.
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
