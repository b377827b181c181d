package agreed

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

var receivedAt = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// noteWith returns the command for a note that adds one workspace and services.
func noteWith(number uint64, title string, services ...string) Command {
	n := note.Note{Number: number, Title: title}
	for _, name := range services {
		n.Added.Services = append(n.Added.Services, note.Service{
			Name: name, Endpoints: 3, Slots: 5, Connections: 30, Database: "db", User: "user",
		})
	}
	n.Added.Workspaces = []note.Workspace{{
		Name: fmt.Sprintf("w%d", number), Rate: 1, Burst: 1, Class: note.ClassBulk,
	}}
	return Command{ApplyNote: &ApplyNote{Note: n, Received: receivedAt}}
}

// step is a command with the expected result code.
type step struct {
	command Command
	code    result.Code
}

// run applies the steps in order, checks the code of each and returns the last state.
func run(t *testing.T, s *State, steps ...step) *State {
	t.Helper()
	for i, step := range steps {
		next, out := Apply(s, s.Revision+1, step.command)
		if out.Code != step.code {
			t.Fatalf("step %d: code %d %s, want %d", i, out.Code, out.Detail, step.code)
		}
		s = next
	}
	return s
}

func put(id string) Command {
	return Command{PutEndpoint: &PutEndpoint{Endpoint{ID: id, Service: "log", Addr: "127.0.0.1:1", Domain: "d"}}}
}

func seal(term uint64) Command {
	return Command{SealGroup: &SealGroup{Service: "log", Term: term, Reason: "lost"}}
}

func choose(term uint64, id string) Command {
	return Command{ChooseCandidate: &ChooseCandidate{Service: "log", Term: term, Candidate: id}}
}

func activate(term uint64, id string) Command {
	return Command{ActivateGroup: &ActivateGroup{Service: "log", Term: term, Primary: id, Timeline: uint32(term)}}
}

func TestApplyRepeatedNoteReturnsFirstStamp(t *testing.T) {
	first, out := Apply(New(), 5, noteWith(1, "first"))
	again := noteWith(1, "first")
	again.ApplyNote.Received = receivedAt.Add(time.Hour)
	second, repeated := Apply(first, 6, again)
	if second != first || repeated.Code != 0 || *repeated.Stamp != *out.Stamp {
		t.Fatalf("got %+v, want %+v", repeated, out)
	}
}

// TestApplyNoteWithUsedNumberRefused guards against two operators that both get their
// note accepted under one number.
func TestApplyNoteWithUsedNumberRefused(t *testing.T) {
	s := run(t, New(), step{noteWith(1, "mine"), 0})
	same, out := Apply(s, 9, noteWith(1, "yours"))
	if same != s || out.Code != result.NoteConflict {
		t.Fatalf("outcome %+v, want NoteConflict and the state unchanged", out)
	}
	for _, want := range []string{"note 1", `"mine"`, s.Catalog.Stamp.Digest} {
		if !strings.Contains(out.Detail, want) {
			t.Errorf("detail %q does not contain %s", out.Detail, want)
		}
	}
	run(t, s, step{noteWith(3, "too far"), result.NoteOutOfOrder}, step{noteWith(2, "next"), 0})
}

func TestApplyInvalidNoteChangesNothing(t *testing.T) {
	bad := noteWith(1, "bad")
	bad.ApplyNote.Note.Added.Workspaces[0].Rate = -1
	s, out := Apply(New(), 1, bad)
	if out.Code != result.NoteInvalid || len(out.Problems) == 0 || len(s.Catalog.Workspaces) != 0 {
		t.Fatalf("outcome %+v, want NoteInvalid with problems and the state unchanged", out)
	}
}

func TestHistoryBoundedByMaxHistory(t *testing.T) {
	s := New()
	for n := range uint64(MaxHistory + 10) {
		s = run(t, s, step{noteWith(n+1, "x"), 0})
	}
	if len(s.History) != MaxHistory {
		t.Fatalf("history has %d entries, want MaxHistory", len(s.History))
	}
	run(t, s, step{noteWith(1, "x"), result.NoteOutOfOrder}, step{noteWith(20, "x"), 0})
}

func TestRegisterHostOldIncarnationRefused(t *testing.T) {
	register := func(incarnation uint64) Command {
		return Command{RegisterHost: &RegisterHost{Host{ID: "h", Incarnation: incarnation}}}
	}
	s := run(t, New(), step{register(5), 0}, step{register(4), result.PeerIncarnation}, step{register(5), 0})
	if s.Hosts["h"].Registered != 1 {
		t.Fatalf("registered at %d, want 1", s.Hosts["h"].Registered)
	}
	s = run(t, s, step{register(6), 0}, step{Command{RemoveHost: &RemoveHost{ID: "h", Incarnation: 5}}, 0})
	if s.Hosts["h"].Incarnation != 6 {
		t.Fatal("the removal of an older incarnation removed the newer one")
	}
	s = run(t, s, step{Command{RemoveHost: &RemoveHost{ID: "h", Incarnation: 6}}, 0})
	if len(s.Hosts) != 0 {
		t.Fatal("the host was not removed")
	}
}

func TestGroupPhaseTransitions(t *testing.T) {
	s := run(t, New(),
		step{noteWith(1, "first", "log"), 0},
		step{put("a"), 0},
		step{activate(1, "a"), result.GroupConflict}, // no quorum yet
		step{put("b"), 0},
		step{seal(0), result.TermConflict},
		step{activate(1, "z"), result.GroupConflict},
		step{activate(1, "a"), 0},
		step{put("c"), 0},
		step{put("d"), result.GroupConflict}, // the group is complete
		step{seal(2), result.TermConflict},
		step{seal(1), 0},
		step{seal(1), result.TermConflict}, // already sealed by another command
		step{activate(2, "b"), result.TermConflict},
		step{choose(1, "b"), result.TermConflict},
		step{choose(2, "b"), 0},
		step{activate(2, "c"), result.TermConflict},
		step{activate(2, "b"), 0},
		step{activate(2, "b"), 0},
		step{Command{RemoveEndpoint: &RemoveEndpoint{ID: "b", Term: 2}}, result.GroupConflict},
		step{Command{RemoveEndpoint: &RemoveEndpoint{ID: "a", Term: 2}}, 0},
		step{put("d"), 0},
	)
	g := s.Groups["log"]
	if g.Term != 2 || g.Primary != "b" || g.Phase != PhaseActive || g.Timeline != 2 || s.Quorum("log") != 2 {
		t.Fatalf("group %+v, want it active in term 2 with primary b on timeline 2, with quorum 2", g)
	}
}

func TestWithdrawnServiceRemovesGroup(t *testing.T) {
	withdraw := Command{ApplyNote: &ApplyNote{Note: note.Note{Number: 2, Withdrawn: note.Withdrawals{Services: []string{"log"}}}}}
	s := run(t, New(), step{noteWith(1, "first", "log"), 0}, step{put("a"), 0}, step{withdraw, 0})
	if len(s.Groups) != 0 || len(s.Endpoints) != 0 {
		t.Fatalf("groups %v and endpoints %v remain, want none", s.Groups, s.Endpoints)
	}
}

// drawCommand generates a command, valid or not.
func drawCommand(t *rapid.T, s *State) Command {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
	term := rapid.Uint64Range(0, 4).Draw(t, "term")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return noteWith(s.Catalog.Stamp.Number+rapid.Uint64Range(0, 2).Draw(t, "ahead"), id, id)
	case 1:
		return Command{RegisterHost: &RegisterHost{Host{ID: id, Incarnation: term, PeerAddr: id}}}
	case 2:
		return Command{RemoveHost: &RemoveHost{ID: id, Incarnation: term}}
	case 3:
		return put(id)
	case 4:
		return seal(term)
	case 5:
		return choose(term, id)
	case 6:
		return activate(term, id)
	case 7:
		return Command{RemoveEndpoint: &RemoveEndpoint{ID: id, Term: term}}
	default:
		return noteWith(s.Catalog.Stamp.Number+1, id, "log")
	}
}

// TestPatchMatchesApply checks for random commands that patches and a decoded
// snapshot give the same state as Apply, that Apply does not modify the former state,
// and that terms never decrease.
func TestPatchMatchesApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		follower := s
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			before := encode(t, s)
			next, _ := Apply(s, uint64(i+1), drawCommand(t, s))
			if !bytes.Equal(before, encode(t, s)) {
				t.Fatal("a command modified the former state")
			}
			if next.Groups["log"].Term < s.Groups["log"].Term {
				t.Fatal("the term decreased")
			}
			s = next
			if rapid.Bool().Draw(t, "push") && follower.Revision < s.Revision {
				follower = patch(t, follower, s)
			}
		}
		if follower.Revision < s.Revision {
			follower = patch(t, follower, s)
		}
		data := encode(t, s)
		if !bytes.Equal(data, encode(t, follower)) {
			t.Fatal("the patched state differs")
		}
		decoded, err := Decode(data)
		if err != nil || !bytes.Equal(data, encode(t, decoded)) {
			t.Fatalf("the decoded state differs: %v", err)
		}
	})
}

// patch sends the difference of two states through its encoding and applies it.
func patch(t *rapid.T, from, to *State) *State {
	data, err := encMode.Marshal(Diff(from, to))
	if err != nil {
		t.Fatal(err)
	}
	var d Delta
	if err := decMode.Unmarshal(data, &d); err != nil {
		t.Fatal(err)
	}
	next, err := Patch(from, d)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Patch(next, d); err != ErrGap {
		t.Fatalf("a delta was applied twice: %v", err)
	}
	return next
}

func encode(t *rapid.T, s *State) []byte {
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestSealFormingGroup guards against a group whose primary was lost before it was first active, and
// that no command can make active.
func TestSealFormingGroup(t *testing.T) {
	s := run(t, New(), step{putDocument(1, "log"), 0}, step{put("a"), 0}, step{put("b"), 0}, step{put("c"), 0}, step{seal(0), 0})
	if g := s.Groups["log"]; g.Phase != PhaseSealed || g.Term != 1 {
		t.Fatalf("group %+v, want it sealed in term 1", g)
	}
	s = run(t, s, step{seal(0), result.TermConflict}, step{choose(1, "b"), 0}, step{activate(1, "c"), result.TermConflict}, step{activate(1, "b"), 0})
	if g := s.Groups["log"]; g.Phase != PhaseActive || g.Term != 1 || g.Primary != "b" {
		t.Errorf("group %+v, want b as the primary of term 1", g)
	}
}
