package history

import (
	"testing"
	"time"
)

func span(invoke, end int) Span {
	return Span{Invoke: time.Duration(invoke) * time.Millisecond, Return: time.Duration(end) * time.Millisecond}
}

func countByRule(found []Violation) map[Rule]int {
	out := make(map[Rule]int)
	for _, v := range found {
		out[v.Rule]++
	}
	return out
}

// TestCheckStoredFindsViolations checks a history with one violation of each rule,
// among records whose outcome allows what is stored.
func TestCheckStoredFindsViolations(t *testing.T) {
	sent := []Write{
		{ID: "kept"}, {ID: "lost"}, {ID: "twice"}, {ID: "refused", Outcome: NotRun}, {ID: "ran", Outcome: NotRun},
		{ID: "open", Outcome: Unknown}, {ID: "open, ran", Outcome: Unknown},
	}
	got := countByRule(CheckStored(sent, map[string]int{"kept": 1, "twice": 2, "ran": 1, "open, ran": 1}))
	if len(got) != 3 || got[RuleDurable] != 1 || got[RuleAtMostOnce] != 1 || got[RuleNotRun] != 1 {
		t.Errorf("%v", got)
	}
}

func TestCheckAnswersFindsMismatch(t *testing.T) {
	if got := CheckAnswers([]Answer{{"a", "a"}, {"b", "c"}}); len(got) != 1 {
		t.Errorf("%v", got)
	}
}

func TestCheckRateFindsExcess(t *testing.T) {
	var steady, crowded []Span
	for i := range 100 {
		steady = append(steady, span(i*100, i*100+5))
		crowded = append(crowded, span(i*100, i*100+5))
	}
	if got := CheckRate(steady, 10, 1.1); len(got) != 0 {
		t.Errorf("within the rate: violations %v, want none", got)
	}
	for i := range 10 {
		crowded = append(crowded, span(5000+i, 5001+i))
	}
	if got := CheckRate(crowded, 10, 5); len(got) != 1 {
		t.Errorf("above the rate: violations %v, want one", got)
	}
}

func write(value string, outcome Outcome, s Span) Operation {
	return Operation{Record: "r", Kind: OpWrite, Value: value, Outcome: outcome, Span: s}
}

func read(kind OperationKind, value string, s Span) Operation {
	return Operation{Client: 1, Record: "r", Kind: kind, Value: value, Span: s}
}

func TestCheckLinearizable(t *testing.T) {
	cases := map[string]struct {
		ops  []Operation
		want int
	}{
		"in order":             {[]Operation{write("1", Acked, span(0, 1)), read(OpStrongRead, "1", span(2, 3))}, 0},
		"unknown, ran":         {[]Operation{write("1", Unknown, span(0, 1)), read(OpStrongRead, "1", span(9, 10))}, 0},
		"unknown, did not run": {[]Operation{write("1", Unknown, span(0, 1)), read(OpStrongRead, "", span(9, 10))}, 0},
		"acknowledged and lost": {[]Operation{write("1", Acked, span(0, 1)), write("2", Acked, span(2, 3)),
			read(OpStrongRead, "1", span(4, 5))}, 1},
		"unknown, read, then lost": {[]Operation{write("1", Unknown, span(0, 1)), read(OpStrongRead, "1", span(2, 3)),
			read(OpStrongRead, "", span(4, 5))}, 1},
		"not run, but read": {[]Operation{write("1", NotRun, span(0, 1)), read(OpStrongRead, "1", span(2, 3))}, 1},
	}
	for name, c := range cases {
		if got := CheckLinearizable(c.ops); len(got) != c.want {
			t.Errorf("%s: violations %v", name, got)
		}
	}
}

func TestCheckFreshReads(t *testing.T) {
	cases := map[string]struct {
		ops  []Operation
		want int
	}{
		"own write": {[]Operation{write("1", Acked, span(0, 1)), read(OpRead, "1", span(2, 3))}, 0},
		"write in progress, read and not read": {[]Operation{write("1", Acked, span(0, 9)),
			read(OpRead, "1", span(2, 3)), read(OpRead, "", span(4, 5))}, 0},
		"stale":   {[]Operation{write("1", Acked, span(0, 1)), write("2", Acked, span(2, 3)), read(OpRead, "1", span(4, 5))}, 1},
		"absent":  {[]Operation{write("1", Acked, span(0, 1)), read(OpRead, "", span(4, 5))}, 1},
		"future":  {[]Operation{write("1", Acked, span(6, 7)), read(OpRead, "1", span(4, 5))}, 1},
		"nobody":  {[]Operation{read(OpRead, "x", span(4, 5))}, 1},
		"refused": {[]Operation{write("1", NotRun, span(0, 1)), read(OpRead, "1", span(4, 5))}, 1},
	}
	for name, c := range cases {
		if got := CheckFreshReads(c.ops); len(got) != c.want {
			t.Errorf("%s: violations %v", name, got)
		}
	}
}
