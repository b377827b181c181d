package core

import (
	"strconv"
	"strings"
	"testing"

	"github.com/galenabridge/galenabridge/internal/result"
)

// TestSessionKeepsBoundedState guards against sessions that keep any number or size of prepared
// statements and values, and against a count that does not shrink again.
func TestSessionKeepsBoundedState(t *testing.T) {
	f := newFixture(t)
	s := f.open("launch")
	for i := range maxKeptItems {
		f.expect(s, Statement{Kind: Prepare, Name: strconv.Itoa(i), Text: "x"}, 0, Idle)
	}
	f.expect(s, Statement{Kind: SetValue, Name: "v", Text: "x"}, result.SessionTooLarge, Idle)
	f.expect(s, Statement{Kind: Prepare, Name: "0", Text: "replaced"}, 0, Idle)
	for i := range maxKeptItems {
		f.expect(s, Statement{Kind: Forget, Name: strconv.Itoa(i)}, 0, Idle)
	}
	if s.keptBytes != 0 {
		t.Errorf("%d bytes kept by an empty session", s.keptBytes)
	}
	large := strings.Repeat("x", maxKeptBytes/2)
	f.expect(s, Statement{Kind: SetValue, Name: "v", Text: large}, 0, Idle)
	f.expect(s, Statement{Kind: SetValue, Name: "v", Text: large}, 0, Idle)
	f.expect(s, Statement{Kind: SetValue, Name: "w", Text: large}, result.SessionTooLarge, Idle)
}
