package note

import (
	"reflect"
	"strings"
	"testing"
)

const testVerifier = "SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==$" +
	"AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=:AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="

// firstNote returns a note that adds one entry of each kind to an empty catalog.
func firstNote() Note {
	return Note{
		Number: 1,
		Added: Items{
			Workspaces: []Workspace{{Name: "crew", Rate: 100, Burst: 20, Class: ClassInteractive}},
			Keys:       []Key{{ID: "crew-1", Workspace: "crew", Verifier: testVerifier}},
			Services: []Service{{
				Name: "launchlog", Endpoints: 3, Slots: 5, Connections: 30, Database: "db", User: "bridge",
			}},
			Domains: []Domain{{Name: "osan", Region: "kr-central"}},
		},
	}
}

func TestApplyAddsChangesAndWithdraws(t *testing.T) {
	c, problems := Catalog{}.Apply(firstNote())
	if HasErrors(problems) {
		t.Fatal(problems)
	}
	n := Note{Number: 2}
	n.Changed.Domains = []Domain{{Name: "osan", Region: "kr-central", Out: true}}
	n.Withdrawn.Keys = []string{"crew-1"}
	next, problems := c.Apply(n)
	if HasErrors(problems) {
		t.Fatal(problems)
	}
	if !next.Domains["osan"].Out || len(next.Keys) != 0 {
		t.Errorf("note not applied: %+v", next)
	}
	if c.Domains["osan"].Out || len(c.Keys) != 1 {
		t.Errorf("Apply modified its receiver: %+v", c)
	}
}

func TestApplyReportsAllErrorsAndChangesNothing(t *testing.T) {
	c, _ := Catalog{}.Apply(firstNote())
	n := Note{Number: 2}
	n.Added.Workspaces = []Workspace{{Name: "crew", Rate: 1, Burst: 1, Class: ClassBulk}}
	n.Changed.Services = []Service{{Name: "nowhere", Endpoints: 0, Slots: 1, Connections: 1, Database: "d", User: "u"}}
	n.Withdrawn.Keys = []string{"missing"}
	n.Withdrawn.Workspaces = []string{"crew"}
	next, problems := c.Apply(n)
	if !reflect.DeepEqual(next, c) {
		t.Error("a note with errors changed the catalog")
	}
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	got := strings.Join(paths, " ")
	for _, want := range []string{"changed.services[0]", "changed.services[0].endpoints", "withdrawn.keys[0]"} {
		if !strings.Contains(got, want) {
			t.Errorf("no problem at %s in %q", want, got)
		}
	}
}

func TestParseRefusesInvalidNotes(t *testing.T) {
	for _, text := range []string{
		`{"number":1,"surprise":true}`,
		`{"number":1,"withdrawn":{"keys":["a"]}} {}`,
		`{"number":"one"}`,
		`{"number":1}`,
		`{"number":0,"withdrawn":{"keys":["a"]}}`,
	} {
		if _, problems := Parse([]byte(text)); !HasErrors(problems) {
			t.Errorf("accepted %s", text)
		}
	}
}

func TestDigestIgnoresLayoutOnly(t *testing.T) {
	a, _ := Parse([]byte(`{"number":7,"withdrawn":{"keys":["a"]}}`))
	b, _ := Parse([]byte("{ \"withdrawn\": {\"keys\": [\"a\"]},\n \"number\": 7 }"))
	c, _ := Parse([]byte(`{"number":7,"withdrawn":{"keys":["b"]}}`))
	if Digest(a) != Digest(b) {
		t.Error("digest depends on layout")
	}
	if Digest(a) == Digest(c) {
		t.Error("digest does not depend on content")
	}
}

func TestProblemsHideSecrets(t *testing.T) {
	n := firstNote()
	n.Added.Keys[0].Verifier = "SCRAM-SHA-256$4096:secretsalt$x:y"
	for _, p := range n.Check() {
		if strings.Contains(p.String(), "secretsalt") {
			t.Errorf("problem shows the verifier: %s", p)
		}
	}
}

// TestApplyRefusesTwoSaltsInOneWorkspace adds a second key with another salt. The server
// sends one salt before it learns which key the caller has, so that callers with the
// other key could not authenticate.
func TestApplyRefusesTwoSaltsInOneWorkspace(t *testing.T) {
	n := firstNote()
	other := strings.Replace(testVerifier, "c2FsdHNhbHRzYWx0c2FsdA==", "b3RoZXJzYWx0b3RoZXJzYQ==", 1)
	n.Added.Keys = append(n.Added.Keys, Key{ID: "crew-2", Workspace: "crew", Verifier: other})
	if _, problems := (Catalog{}).Apply(n); !HasErrors(problems) {
		t.Error("accepted two different salts in one workspace")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"number":1,"added":{"domains":[{"name":"a","region":"r"}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, problems := Parse(data)
		if HasErrors(problems) {
			return
		}
		c, problems := Catalog{}.Apply(n)
		if !HasErrors(problems) && len(c.Domains) != len(n.Added.Domains) {
			t.Errorf("applied %d of %d domains", len(c.Domains), len(n.Added.Domains))
		}
	})
}
