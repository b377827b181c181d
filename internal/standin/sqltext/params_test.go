package sqltext

import "testing"

// The stand-in calls ParamTypes for each Parse message, so a panic there, caused by a malformed
// text, ends the process. It must return instead. An INSERT with an empty column list has a
// column without a token, and one whose column list is not closed has no end to slice up to;
// assignInsertTypes checks neither.
func TestParamTypesMalformedInsert(t *testing.T) {
	for _, text := range []string{
		"insert into t () values ($1)",
		"insert into t ) ( a values ($1)",
	} {
		t.Run(text, func(t *testing.T) {
			statements, err := Parse(text)
			if err != nil || len(statements) != 1 {
				t.Fatalf("%d statements, %v; want one", len(statements), err)
			}
			defer func() {
				if cause := recover(); cause != nil {
					t.Errorf("ParamTypes panics: %v", cause)
				}
			}()
			statements[0].ParamTypes(func(string, string) uint32 { return Int4 })
		})
	}
}
