package bench

import (
	"fmt"
	"math/rand/v2"
	"sync"
)

// Outcome is what a caller knows about its request.
type Outcome uint8

// Outcomes.
const (
	Acked Outcome = iota
	// NotRun is a refusal that says the request had no effect.
	NotRun
	// Unknown is an error that leaves open whether the request ran.
	Unknown
)

// entry is a record or correction that a caller has sent.
type entry struct {
	id        string
	body      string
	service   string
	workspace string
	outcome   Outcome
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
	if e.outcome == Acked {
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
	for _, e := range sent {
		n := stored[e.id]
		switch {
		case n > 1:
			v.Doubled++
			v.note("%s %s of %s is stored %d times", kind, e.id, e.workspace, n)
		case n == 0 && e.outcome == Acked:
			v.Lost++
			v.note("%s %s of %s was acknowledged and is not stored", kind, e.id, e.workspace)
		case n == 1 && e.outcome == NotRun:
			v.RanAnyway++
			v.note("%s %s of %s was refused as not run and is stored", kind, e.id, e.workspace)
		}
	}
}
