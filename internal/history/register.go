package history

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// OperationKind is the kind of an operation on a record.
type OperationKind uint8

// Kinds of operations.
const (
	// OpWrite sets the record's value.
	OpWrite OperationKind = iota
	// OpStrongRead reads the value with a statement that also writes, so that it
	// is acknowledged like a write.
	OpStrongRead
	// OpRead reads the value wherever the fleet routes it.
	OpRead
)

// Operation is one request on one record. The values written to a record must be
// unique.
type Operation struct {
	Client  int
	Record  string
	Kind    OperationKind
	Value   string
	Outcome Outcome
	Span
}

// endOfTime is later than any event of a history.
const endOfTime = time.Duration(1<<62 - 1)

// checkTimeout is the time limit of the search for a linearization of one record's
// history.
const checkTimeout = 60 * time.Second

// CheckLinearizable checks that the writes and strong reads of each record are
// linearizable. A write with an unknown outcome may take effect at any later time, or
// never. A record that is not decided within checkTimeout is a violation.
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

// events converts the writes that may have run and the acknowledged strong reads.
func events(ops []Operation) []porcupine.Operation {
	var out []porcupine.Operation
	for _, op := range ops {
		if op.Kind == OpRead || op.Outcome == NotRun || op.Kind == OpStrongRead && op.Outcome != Acked {
			continue
		}
		end := op.Return
		if op.Outcome == Unknown {
			end = endOfTime
		}
		out = append(out, porcupine.Operation{
			ClientId: op.Client, Input: op, Output: op.Value, Call: int64(op.Invoke), Return: int64(end),
		})
	}
	return out
}

// registerModel is the sequential model of a register that is initially empty.
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

// CheckFreshReads checks plain reads: a read returns the value of a write that began
// before the read ended and that no acknowledged write had replaced before the
// read began. The empty value is that of a record before its first write.
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
	source, written := writes[read.Value]
	switch {
	case read.Value != "" && !written:
		return []Violation{violation(RuleFresh, "record %s reads %q, which was never written", read.Record, read.Value)}
	case written && source.Outcome == NotRun:
		return []Violation{violation(RuleNotRun, "record %s reads %q, whose write was refused", read.Record, read.Value)}
	case written && source.Invoke > read.Return:
		return []Violation{violation(RuleFresh, "record %s reads %q before it was written", read.Record, read.Value)}
	}
	for _, w := range writes {
		if w.Outcome == Acked && w.Return < read.Invoke && (!written || certainlyAfter(source, w)) {
			return []Violation{violation(RuleFresh, "record %s reads %q after %q was acknowledged",
				read.Record, read.Value, w.Value)}
		}
	}
	return nil
}

// certainlyAfter reports whether w certainly took effect after the write source.
func certainlyAfter(source, w Operation) bool {
	return source.Outcome == Acked && source.Return < w.Invoke
}
