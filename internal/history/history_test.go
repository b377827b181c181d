package history

import (
	"testing"
	"time"
)

func at(invoke, end int) Span {
	return Span{Invoke: time.Duration(invoke) * time.Millisecond, Return: time.Duration(end) * time.Millisecond}
}

func rules(found []Violation) map[Rule]int {
	out := make(map[Rule]int)
	for _, v := range found {
		out[v.Rule]++
	}
	return out
}

// TestStoredFindsPlantedFaults plants one fault of each kind.
func TestStoredFindsPlantedFaults(t *testing.T) {
	sent := []Write{
		{ID: "kept"}, {ID: "lost"}, {ID: "twice"}, {ID: "refused", Outcome: NotRun}, {ID: "ran", Outcome: NotRun},
		{ID: "open", Outcome: Unknown}, {ID: "open, ran", Outcome: Unknown},
	}
	got := rules(CheckStored(sent, map[string]int{"kept": 1, "twice": 2, "ran": 1, "open, ran": 1}))
	if len(got) != 3 || got[RuleDurable] != 1 || got[RuleAtMostOnce] != 1 || got[RuleNotRun] != 1 {
		t.Errorf("%v", got)
	}
}

func TestForeignFindsCrossedAnswers(t *testing.T) {
	if got := CheckAnswers([]Answer{{"a", "a"}, {"b", "c"}}); len(got) != 1 {
		t.Errorf("%v", got)
	}
}

func TestRateFindsExcess(t *testing.T) {
	var steady, crowded []Span
	for i := range 100 {
		steady = append(steady, at(i*100, i*100+5))
		crowded = append(crowded, at(i*100, i*100+5))
	}
	if got := CheckRate(steady, 10, 1.1); len(got) != 0 {
		t.Errorf("within the rate: %v", got)
	}
	for i := range 10 {
		crowded = append(crowded, at(5000+i, 5001+i))
	}
	if got := CheckRate(crowded, 10, 5); len(got) != 1 {
		t.Errorf("over the rate: %v", got)
	}
}

func write(value string, outcome Outcome, s Span) Operation {
	return Operation{Record: "r", Kind: OpWrite, Value: value, Outcome: outcome, Span: s}
}

func read(kind Kind, value string, s Span) Operation {
	return Operation{Client: 1, Record: "r", Kind: kind, Value: value, Span: s}
}

func TestLinearizable(t *testing.T) {
	cases := map[string]struct {
		ops  []Operation
		want int
	}{
		"in order":           {[]Operation{write("1", Acked, at(0, 1)), read(OpStrongRead, "1", at(2, 3))}, 0},
		"unknown took place": {[]Operation{write("1", Unknown, at(0, 1)), read(OpStrongRead, "1", at(9, 10))}, 0},
		"unknown was lost":   {[]Operation{write("1", Unknown, at(0, 1)), read(OpStrongRead, "", at(9, 10))}, 0},
		"acknowledged and lost": {[]Operation{write("1", Acked, at(0, 1)), write("2", Acked, at(2, 3)),
			read(OpStrongRead, "1", at(4, 5))}, 1},
		"seen and then gone": {[]Operation{write("1", Unknown, at(0, 1)), read(OpStrongRead, "1", at(2, 3)),
			read(OpStrongRead, "", at(4, 5))}, 1},
		"refused and seen": {[]Operation{write("1", NotRun, at(0, 1)), read(OpStrongRead, "1", at(2, 3))}, 1},
	}
	for name, c := range cases {
		if got := CheckLinearizable(c.ops); len(got) != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestFresh(t *testing.T) {
	cases := map[string]struct {
		ops  []Operation
		want int
	}{
		"own write": {[]Operation{write("1", Acked, at(0, 1)), read(OpRead, "1", at(2, 3))}, 0},
		"write in progress, seen and unseen": {[]Operation{write("1", Acked, at(0, 9)),
			read(OpRead, "1", at(2, 3)), read(OpRead, "", at(4, 5))}, 0},
		"stale":   {[]Operation{write("1", Acked, at(0, 1)), write("2", Acked, at(2, 3)), read(OpRead, "1", at(4, 5))}, 1},
		"absent":  {[]Operation{write("1", Acked, at(0, 1)), read(OpRead, "", at(4, 5))}, 1},
		"future":  {[]Operation{write("1", Acked, at(6, 7)), read(OpRead, "1", at(4, 5))}, 1},
		"nobody":  {[]Operation{read(OpRead, "x", at(4, 5))}, 1},
		"refused": {[]Operation{write("1", NotRun, at(0, 1)), read(OpRead, "1", at(4, 5))}, 1},
	}
	for name, c := range cases {
		if got := CheckFreshReads(c.ops); len(got) != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
