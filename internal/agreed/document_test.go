package agreed

import (
	"reflect"
	"testing"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// putDocument returns the command for a document with a route for each service.
func putDocument(number uint64, services ...string) Command {
	c := note.Catalog{Services: map[string]note.Service{}, Routes: map[string]note.Route{}}
	for _, name := range services {
		c.Services[name] = note.Service{Name: name, Ack: note.AckReplicas}
		c.Routes["db-"+name] = note.Route{Name: name, Database: "db-" + name, Service: name, Timeout: 1}
	}
	return Command{PutCatalog: &PutCatalog{Document: Document{Number: number, Source: []byte("text")}, Catalog: c}}
}

// announce returns the command for the announcement of an endpoint.
func announce(id, addr string, startedMS, seq uint64) Command {
	return Command{PutEndpoint: &PutEndpoint{Endpoint: Endpoint{ID: id, Service: "logs", Addr: addr, Domain: "a", StartedMS: startedMS, Seq: seq}}}
}

// applyCommands applies commands and returns the last state and all outcomes. It
// checks that each delta gives a subscriber the same catalog and endpoints.
func applyCommands(t *testing.T, commands ...Command) (*State, []Outcome) {
	t.Helper()
	s := New()
	var outcomes []Outcome
	for i, c := range commands {
		next, out := Apply(s, uint64(i+1), c)
		if next.Revision != s.Revision {
			patched, err := Patch(s.ForSubscriber(), Diff(s, next))
			if err != nil || !reflect.DeepEqual(patched.Catalog, next.Catalog) || !reflect.DeepEqual(patched.Endpoints, next.Endpoints) {
				t.Fatalf("command %d: the patched state differs: %v", i, err)
			}
		}
		s = next
		outcomes = append(outcomes, out)
	}
	return s, outcomes
}

func TestPutCatalogHighestNumberInForce(t *testing.T) {
	s, out := applyCommands(t, putDocument(4, "logs"), putDocument(9, "logs", "more"), putDocument(9, "other"), putDocument(5, "logs"))
	if s.Catalog.Stamp.Number != 9 || len(s.Catalog.Services) != 2 || s.Document.Number != 9 {
		t.Errorf("catalog %+v, want two services of document 9", s.Catalog)
	}
	for i, o := range out {
		if o.Code != 0 || o.Repeated != (i >= 2) {
			t.Errorf("command %d: outcome %+v, want code 0, and Repeated only for the last two", i, o)
		}
	}
}

func TestPutCatalogKeepsDomains(t *testing.T) {
	takeOut := Command{SetDomain: &SetDomain{Domain: note.Domain{Name: "a", Region: "r", Out: true}}}
	s, _ := applyCommands(t, putDocument(1, "logs"), takeOut, putDocument(2, "logs"))
	if !s.Catalog.Domains["a"].Out {
		t.Error("a new document put the failure domain back into use")
	}
}

// TestPutEndpointStaleAnnouncementsRefused guards against a late announcement that
// adds an endpoint again after it left, or that undoes a later announcement.
func TestPutEndpointStaleAnnouncementsRefused(t *testing.T) {
	leave := Command{RetireEndpoint: &RetireEndpoint{ID: "e1", StartedMS: 10}}
	s, out := applyCommands(t, putDocument(1, "logs"),
		announce("e1", "x:1", 10, 5), leave,
		announce("e1", "x:1", 10, 6), // after it left
		announce("e2", "x:1", 20, 1), // a newer process at the address
		announce("e0", "x:1", 15, 9), // an older process at the address
		announce("e2", "y:1", 20, 3),
		announce("e2", "x:1", 20, 2), // older than the last announcement
		announce("e1", "z:1", 30, 1), // the same identity in a new process
	)
	refused := map[int]bool{3: true, 5: true, 7: true}
	for i, o := range out {
		if (o.Code == result.GroupConflict) != refused[i] {
			t.Errorf("command %d: outcome %+v, want GroupConflict only for the stale announcements", i, o)
		}
	}
	if len(s.Endpoints) != 2 || s.Endpoints["e2"].Addr != "y:1" || s.Endpoints["e1"].StartedMS != 30 {
		t.Errorf("endpoints %+v, want e2 at y:1 and the new process of e1", s.Endpoints)
	}
}

func TestPutEndpointNewerProcessTakesAddress(t *testing.T) {
	s, _ := applyCommands(t, putDocument(1, "logs"), announce("e1", "x:1", 10, 5), announce("e2", "x:1", 20, 1))
	if _, ok := s.Endpoints["e1"]; ok || len(s.Groups["logs"].Members) != 1 {
		t.Errorf("endpoints %+v, group %+v, want only e2", s.Endpoints, s.Groups["logs"])
	}
}

func TestRetireEndpointPrimarySealsGroup(t *testing.T) {
	s, _ := applyCommands(t, putDocument(1, "logs"), announce("e1", "x:1", 10, 5), announce("e2", "y:1", 10, 5),
		Command{ActivateGroup: &ActivateGroup{Service: "logs", Term: 1, Primary: "e1", Timeline: 1}},
		Command{RetireEndpoint: &RetireEndpoint{ID: "e1"}})
	g := s.Groups["logs"]
	if g.Phase != PhaseSealed || g.Term != 2 || len(g.Members) != 1 {
		t.Errorf("group %+v, want it sealed in term 2 with one member", g)
	}
}

// TestChooseCandidateFence checks that a repeated choice keeps the fence, and that
// another attempt or another leader gets a greater one.
func TestChooseCandidateFence(t *testing.T) {
	choose := func(chooserTerm, attempt uint64) Command {
		return Command{ChooseCandidate: &ChooseCandidate{Service: "logs", Term: 2, Candidate: "e2", ChooserTerm: chooserTerm, Attempt: attempt}}
	}
	commands := []Command{
		putDocument(1, "logs"), announce("e1", "x:1", 10, 5), announce("e2", "y:1", 10, 5),
		{ActivateGroup: &ActivateGroup{Service: "logs", Term: 1, Primary: "e1", Timeline: 1}},
		{SealGroup: &SealGroup{Service: "logs", Term: 1}},
		choose(3, 1),
	}
	var fences []uint64
	for _, next := range []Command{choose(3, 1), choose(3, 2), choose(5, 1)} {
		s, _ := applyCommands(t, commands...)
		commands = append(commands, next)
		fences = append(fences, s.Groups["logs"].Changed)
	}
	s, _ := applyCommands(t, commands...)
	fences = append(fences, s.Groups["logs"].Changed)
	if fences[0] != fences[1] || fences[2] <= fences[1] || fences[3] <= fences[2] {
		t.Errorf("fences %v, want the second equal to the first and the others ascending", fences)
	}
}

func TestTombstonesBoundedByMaxTombstones(t *testing.T) {
	var all map[string]Tombstone
	for i := range uint64(2 * MaxTombstones) {
		all = addTombstone(all, string(rune('a'+i)), Tombstone{StartedMS: i, At: i})
	}
	if len(all) != MaxTombstones {
		t.Errorf("%d tombstones, want MaxTombstones", len(all))
	}
}
