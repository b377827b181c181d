// Package history checks recorded histories of requests against the guarantees of a
// fleet: every acknowledged record is stored exactly once, a request refused as not run
// had no effect, writes and strong reads are linearizable, plain reads are fresh, every
// answer belongs to its request and no workspace exceeds its rate. The checks are pure
// functions.
package history

import (
	"fmt"
	"time"
)

// Outcome is the outcome of a request as reported to its caller.
type Outcome uint8

// Outcomes.
const (
	// Acked is the acknowledgement of the request.
	Acked Outcome = iota
	// NotRun is a refusal that reports that the request had no effect.
	NotRun
	// Unknown is an error that does not report whether the request ran.
	Unknown
)

// Rule is the description of one guarantee.
type Rule string

// Guarantees.
const (
	RuleDurable      Rule = "acknowledged record stored"
	RuleAtMostOnce   Rule = "stored at most once"
	RuleNotRun       Rule = "request not run had no effect"
	RuleOwnAnswer    Rule = "answer belongs to its request"
	RuleRate         Rule = "rate over the fleet"
	RuleFresh        Rule = "read your writes"
	RuleLinearizable Rule = "linearizable record"
)

// Violation is one violation of a guarantee.
type Violation struct {
	Rule   Rule
	Detail string
}

// String formats the violation for a report.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

func violation(rule Rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// Write is a record that a caller sent.
type Write struct {
	ID        string
	Workspace string
	Outcome   Outcome
}

// CheckStored compares the sent records with the number of times that each is stored,
// by id.
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

// Answer holds the unique mark sent in a request and the one received in its answer.
type Answer struct {
	Sent     string
	Received string
}

// CheckAnswers returns a violation for each answer that belongs to another request.
func CheckAnswers(answers []Answer) []Violation {
	var out []Violation
	for _, a := range answers {
		if a.Sent != a.Received {
			out = append(out, violation(RuleOwnAnswer, "request %s was answered with %s", a.Sent, a.Received))
		}
	}
	return out
}

// Span holds the times of a request and of its answer, measured from the start of the
// history.
type Span struct {
	Invoke time.Duration
	Return time.Duration
}

// CheckRate finds a window of time in which more requests of one workspace were served
// than its rate (per second) and burst allow, and returns at most one violation. A
// request counts only in windows that contain both its start and its answer, since it
// may have been admitted at any time between them.
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
