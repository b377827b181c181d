package history

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// Kind is the kind of an operation on a record.
type Kind uint8

// Kinds.
const (
	// OpWrite sets the record's value.
	OpWrite Kind = iota
	// OpStrongRead reads the value with a statement that also writes, so that it
	// is acknowledged like a write.
	OpStrongRead
	// OpRead reads the value wherever the fleet routes it.
	OpRead
)

// Operation is one request on one record. Values of writes are unique.
type Operation struct {
	Client  int
	Record  string
	Kind    Kind
	Value   string
	Outcome Outcome
	Span
}

// forever is later than any event of a history.
const forever = time.Duration(1<<62 - 1)

// checkTimeout bounds the search for a linearization of one history.
const checkTimeout = 60 * time.Second

// Linearizable checks the writes and strong reads of each record. A write with
// an unknown outcome may take effect at any later time, or never.
func CheckLinearizable(ops []Operation) []Violation {
	var out []Violation
	for record, history := range byRecord(ops) {
		switch porcupine.CheckOperationsTimeout(registerModel, events(history), checkTimeout) {
		case porcupine.Illegal:
			out = append(out, violation(RuleLinearizable, "record %s", record))
		case porcupine.Unknown:
			out = append(out, violation(RuleLinearizable, "record %s: not decided within %s", record, checkTimeout))
		}
	}
	return out
}

func byRecord(ops []Operation) map[string][]Operation {
	out := make(map[string][]Operation)
	for _, op := range ops {
		out[op.Record] = append(out[op.Record], op)
	}
	return out
}

func events(ops []Operation) []porcupine.Operation {
	var out []porcupine.Operation
	for _, op := range ops {
		if op.Kind == OpRead || op.Outcome == NotRun || op.Kind == OpStrongRead && op.Outcome != Acked {
			continue
		}
		end := op.Return
		if op.Outcome == Unknown {
			end = forever
		}
		out = append(out, porcupine.Operation{
			ClientId: op.Client, Input: op, Output: op.Value, Call: int64(op.Invoke), Return: int64(end),
		})
	}
	return out
}

// registerModel is a register that starts empty.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		op := input.(Operation)
		if op.Kind == OpWrite {
			return true, op.Value
		}
		return output.(string) == state.(string), state
	},
}

// Fresh checks plain reads: a read returns the value of a write that began
// before the read ended and that no acknowledged write had replaced before the
// read began.
func CheckFreshReads(ops []Operation) []Violation {
	var out []Violation
	for _, history := range byRecord(ops) {
		writes := make(map[string]Operation)
		for _, op := range history {
			if op.Kind == OpWrite {
				writes[op.Value] = op
			}
		}
		for _, op := range history {
			if op.Kind != OpRead || op.Outcome != Acked {
				continue
			}
			out = append(out, checkRead(op, writes)...)
		}
	}
	return out
}

func checkRead(read Operation, writes map[string]Operation) []Violation {
	seen, known := writes[read.Value]
	switch {
	case read.Value != "" && !known:
		return []Violation{violation(RuleFresh, "record %s reads %q, which nobody wrote", read.Record, read.Value)}
	case known && seen.Outcome == NotRun:
		return []Violation{violation(RuleNotRun, "record %s reads %q, whose write was refused", read.Record, read.Value)}
	case known && seen.Invoke > read.Return:
		return []Violation{violation(RuleFresh, "record %s reads %q before it was written", read.Record, read.Value)}
	}
	for _, w := range writes {
		if w.Outcome == Acked && w.Return < read.Invoke && (!known || replaces(seen, w)) {
			return []Violation{violation(RuleFresh, "record %s reads %q after %q was acknowledged",
				read.Record, read.Value, w.Value)}
		}
	}
	return nil
}

// replaces reports whether w certainly came after the write that was seen.
func replaces(seen, w Operation) bool {
	return seen.Outcome == Acked && seen.Return < w.Invoke
}
