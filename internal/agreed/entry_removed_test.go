package agreed

import "testing"

// TestEntryRemovedRevision checks that EntryRemoved changes exactly when the process of
// an entry host is replaced or removed, and that deltas carry it.
func TestEntryRemovedRevision(t *testing.T) {
	register := func(id string, incarnation uint64, entry bool) Command {
		return Command{RegisterHost: &RegisterHost{Host: Host{ID: id, Incarnation: incarnation, Entry: entry}}}
	}
	remove := func(id string, incarnation uint64) Command {
		return Command{RemoveHost: &RemoveHost{ID: id, Incarnation: incarnation}}
	}
	steps := []struct {
		command Command
		want    uint64
	}{
		{register("a", 1, true), 0},
		{register("b", 1, true), 0},
		{register("c", 1, false), 0},
		{register("a", 1, true), 0}, // the same process again
		{register("a", 2, true), 5}, // replaced
		{remove("c", 1), 5},         // not an entry host
		{remove("b", 9), 5},         // not the registered process
		{remove("b", 1), 8},
	}
	s := New()
	for i, step := range steps {
		before := s
		s, _ = Apply(s, uint64(i+1), step.command)
		if s.EntryRemoved != step.want {
			t.Fatalf("step %d: EntryRemoved is %d, want %d", i+1, s.EntryRemoved, step.want)
		}
		if s == before {
			continue
		}
		patched, err := Patch(before, Diff(before, s))
		if err != nil || patched.EntryRemoved != step.want {
			t.Fatalf("step %d: EntryRemoved after the delta is %d, error %v", i+1, patched.EntryRemoved, err)
		}
	}
}
