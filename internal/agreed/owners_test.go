package agreed

import (
	"slices"
	"testing"
)

func registerControl(id string, incarnation uint64) Command {
	return Command{RegisterHost: &RegisterHost{Host{ID: id, Incarnation: incarnation, Control: true}}}
}

func silent(hosts ...string) Command {
	return Command{SetSilentOwners: &SetSilentOwners{Hosts: hosts}}
}

// TestOwnersEpochFollowsQuotaOwners checks that the epoch changes with the owners of quotas
// and only then: each change costs a report of all leases.
func TestOwnersEpochFollowsQuotaOwners(t *testing.T) {
	s := run(t, New(), step{command: registerControl("a", 1)}, step{command: registerControl("b", 1)}, step{command: registerControl("c", 1)})
	for _, tc := range []struct {
		name    string
		command Command
		owners  []string
		changes bool
	}{
		{"a host falls silent", silent("b"), []string{"a", "c"}, true},
		{"the same again", silent("b", "b", "unknown"), []string{"a", "c"}, false},
		{"the silent host restarts", registerControl("b", 2), []string{"a", "c"}, false},
		{"another falls silent as the first returns", silent("c"), []string{"a", "b"}, true},
		{"the silent host is removed", Command{RemoveHost: &RemoveHost{ID: "c", Incarnation: 1}}, []string{"a", "b"}, false},
		{"it is no longer silent", silent(), []string{"a", "b"}, false},
		{"another is removed", Command{RemoveHost: &RemoveHost{ID: "a", Incarnation: 1}}, []string{"b"}, true},
	} {
		before := s
		next, out := Apply(s, s.Revision+1, tc.command)
		if out.Code != 0 {
			t.Fatalf("%s: code %d %s", tc.name, out.Code, out.Detail)
		}
		s = next
		if !slices.Equal(s.QuotaOwners(), tc.owners) {
			t.Errorf("%s: owners %v, want %v", tc.name, s.QuotaOwners(), tc.owners)
		}
		if changed := s.OwnersEpoch != before.OwnersEpoch; changed != tc.changes {
			t.Errorf("%s: epoch %d after %d, want a change: %t", tc.name, s.OwnersEpoch, before.OwnersEpoch, tc.changes)
		}
		if s.Revision == before.Revision {
			continue
		}
		patched, err := Patch(before, Diff(before, s))
		if err != nil || !slices.Equal(patched.QuotaOwners(), tc.owners) || patched.OwnersEpoch != s.OwnersEpoch {
			t.Errorf("%s: a subscriber has owners %v in epoch %d, want %v in %d; error %v", tc.name, patched.QuotaOwners(), patched.OwnersEpoch, tc.owners, s.OwnersEpoch, err)
		}
	}
}

// TestMarkAbsent marks a process absent and registers it again. It guards against a return
// that waits until a new registration is settled, and against marks that outlive the process.
func TestMarkAbsent(t *testing.T) {
	register := func(incarnation uint64) Command {
		return Command{RegisterHost: &RegisterHost{Host{ID: "e", Incarnation: incarnation, Entry: true}}}
	}
	mark := func(incarnation uint64) Command {
		return Command{MarkAbsent: &MarkAbsent{Processes: map[string]uint64{"e": incarnation, "unknown": 1}}}
	}
	s := run(t, New(), step{command: register(1)})
	before := s.Hosts["e"]
	s = run(t, s, step{command: mark(1)})
	if !s.Hosts["e"].Absent {
		t.Fatal("the process is not absent")
	}
	changed, removed := s.HostsChanged, s.EntryRemoved
	s = run(t, s, step{command: register(1)})
	if s.Hosts["e"] != before || s.HostsChanged != changed || s.EntryRemoved != removed {
		t.Errorf("host %+v after its return, want %+v, and no other change of the hosts", s.Hosts["e"], before)
	}
	s = run(t, s, step{command: mark(2)})
	if s.Hosts["e"].Absent {
		t.Error("another incarnation was marked")
	}
	s = run(t, s, step{command: mark(1)}, step{command: register(2)})
	if s.Hosts["e"].Absent || s.EntryRemoved != s.Revision {
		t.Errorf("host %+v after a restart, EntryRemoved %d, want a new process", s.Hosts["e"], s.EntryRemoved)
	}
}
