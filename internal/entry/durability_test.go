package entry

import (
	"testing"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/pgback"
)

// Members that are configured and have not joined yet count towards the size of the group, as
// in the election of a new primary. Otherwise a write could be acknowledged with fewer copies
// than a later election relies on.
func TestQuorumCountsMissingMembers(t *testing.T) {
	group := agreed.Group{Service: "s", Members: []string{"a", "b", "c"}, Primary: "a"}
	state := agreed.State{Groups: map[string]agreed.Group{"s": group}}
	cases := []struct {
		endpoints int
		flushed   map[string]uint64
		want      bool
	}{
		{3, map[string]uint64{}, false},
		{3, map[string]uint64{"b": 9}, false},
		{3, map[string]uint64{"b": 10}, true},
		{5, map[string]uint64{"b": 10}, false},
		{5, map[string]uint64{"b": 10, "c": 11}, true},
		{3, map[string]uint64{"x": 10}, false}, // not a member
	}
	for _, c := range cases {
		state.Catalog.Services = map[string]note.Service{"s": {Endpoints: c.endpoints}}
		got := hasQuorum(group, state.Quorum("s"), pgback.Status{Flushed: c.flushed}, 10)
		if got != c.want {
			t.Errorf("%d endpoints, flushed %v: %v, want %v", c.endpoints, c.flushed, got, c.want)
		}
	}
}
