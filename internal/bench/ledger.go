package bench

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/galenabridge/galenabridge/internal/history"
)

// entry is a record or correction that a caller has sent.
type entry struct {
	id        string
	body      string
	service   string
	workspace string
	outcome   history.Outcome
}

// ledger remembers what the callers of one workspace have sent, for the checks.
// It is safe for concurrent use.
type ledger struct {
	mu          sync.Mutex
	entries     []*entry
	corrections []*entry
	readable    map[string][]*entry
}

func newLedger() *ledger {
	return &ledger{readable: make(map[string][]*entry)}
}

func (l *ledger) record(op Operation, e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op == OpCorrect {
		l.corrections = append(l.corrections, e)
		return
	}
	l.entries = append(l.entries, e)
	if e.outcome == history.Acked {
		l.readable[e.service] = append(l.readable[e.service], e)
	}
}

// pick returns an acknowledged entry of the service, or nil when there is none.
func (l *ledger) pick(service string, rng *rand.Rand) *entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.readable[service]
	if len(known) == 0 {
		return nil
	}
	return known[rng.IntN(len(known))]
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

func (v *Violations) note(format string, args ...any) {
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// checkStored compares what was sent with how often each id is stored. With
// ids that the database keeps unique, doubled entries cannot show; corrections
// have no such key.
func (v *Violations) checkStored(kind string, sent []*entry, stored map[string]int) {
	writes := make([]history.Write, len(sent))
	for i, e := range sent {
		writes[i] = history.Write{ID: e.id, Workspace: e.workspace, Outcome: e.outcome}
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
		v.note("%s: %s", kind, found)
	}
}
