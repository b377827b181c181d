// Package history checks what callers recorded against the promises of a
// fleet: every acknowledged record is stored exactly once, a refusal called
// not run had no effect, reads are fresh, no answer is another caller's and no
// workspace passes its rate. The checks are pure functions of recorded
// histories.
package history

import (
	"fmt"
	"time"
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

// Rule names a promise.
type Rule string

// Rules.
const (
	RuleDurable      Rule = "acknowledged record kept"
	RuleAtMostOnce   Rule = "stored at most once"
	RuleNotRun       Rule = "not run is true"
	RuleOwnAnswer    Rule = "own answer"
	RuleRate         Rule = "rate over the fleet"
	RuleFresh        Rule = "read your writes"
	RuleLinearizable Rule = "linearizable record"
)

// Violation is one broken promise.
type Violation struct {
	Rule   Rule
	Detail string
}

// String formats the violation for a report.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

func violation(rule Rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// Write is a record that a caller has sent.
type Write struct {
	ID        string
	Workspace string
	Outcome   Outcome
}

// Stored compares what was sent with how often each record is stored.
func CheckStored(sent []Write, stored map[string]int) []Violation {
	var out []Violation
	for _, w := range sent {
		n := stored[w.ID]
		if n > 1 {
			out = append(out, violation(RuleAtMostOnce, "%s of %s is stored %d times", w.ID, w.Workspace, n))
		}
		if n == 0 && w.Outcome == Acked {
			out = append(out, violation(RuleDurable, "%s of %s is not stored", w.ID, w.Workspace))
		}
		if n > 0 && w.Outcome == NotRun {
			out = append(out, violation(RuleNotRun, "%s of %s is stored", w.ID, w.Workspace))
		}
	}
	return out
}

// Answer is a request's mark with the mark found in its answer.
type Answer struct {
	Sent     string
	Received string
}

// Foreign finds answers that belong to another request.
func CheckAnswers(answers []Answer) []Violation {
	var out []Violation
	for _, a := range answers {
		if a.Sent != a.Received {
			out = append(out, violation(RuleOwnAnswer, "request %s was answered with %s", a.Sent, a.Received))
		}
	}
	return out
}

// Span is the time from a request's start to its answer, from the start of the
// history.
type Span struct {
	Invoke time.Duration
	Return time.Duration
}

// Rate finds windows in which more requests of one workspace were served than
// its rate (per second) and burst allow. Only requests that lie within a window
// as a whole count, so the order of events within a request does not matter.
func CheckRate(served []Span, rate, burst float64) []Violation {
	for _, first := range served {
		within := spansAfter(served, first.Invoke)
		for i, last := range within {
			allowed := rate*(last.Return-first.Invoke).Seconds() + burst
			if float64(i+1) > allowed {
				return []Violation{violation(RuleRate, "%d requests within %s from %s, %.1f allowed",
					i+1, last.Return-first.Invoke, first.Invoke, allowed)}
			}
		}
	}
	return nil
}
