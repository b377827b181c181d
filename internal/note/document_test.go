package note

import (
	"testing"
)

// document returns a valid document.
func document() Document {
	return Document{
		Number:     7,
		Services:   []Service{{Name: "logs", Ack: AckReplicas}},
		Routes:     []Route{{Name: "r", Database: "launch", Service: "logs", Path: "/", Policy: ReadPrimary, Timeout: 1000}},
		Workspaces: []Workspace{{Name: "crew", Rate: 10, Burst: 10}},
		Keys:       []Key{{ID: "k1", Workspace: "crew"}, {ID: "k2", Workspace: "crew"}},
	}
}

func TestDocumentCatalogHoldsItsEntries(t *testing.T) {
	c, problems := document().Catalog()
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if c.Routes["launch"].Service != "logs" || len(c.Keys) != 2 {
		t.Errorf("catalog %+v, want the route of launch to service logs and 2 keys", c)
	}
}

// TestDocumentCatalogReportsInvalidEntries makes one entry of a valid document invalid
// per case. An invalid entry that goes unreported would be put in force.
func TestDocumentCatalogReportsInvalidEntries(t *testing.T) {
	cases := map[string]func(d *Document){
		"unknown service": func(d *Document) { d.Routes[0].Service = "gone" },
		"same database and path": func(d *Document) {
			d.Routes = append(d.Routes, Route{Name: "s", Database: "launch", Service: "logs", Path: "/", Policy: ReadPrimary, Timeout: 1})
		},
		"no timeout":        func(d *Document) { d.Routes[0].Timeout = 0 },
		"unknown policy":    func(d *Document) { d.Routes[0].Policy = "any" },
		"no database":       func(d *Document) { d.Routes[0].Database = "" },
		"key twice":         func(d *Document) { d.Keys[1].ID = "k1" },
		"unknown workspace": func(d *Document) { d.Keys[0].Workspace = "nobody" },
		"service twice":     func(d *Document) { d.Services = append(d.Services, d.Services[0]) },
		"nameless service":  func(d *Document) { d.Services = append(d.Services, Service{}) },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			d := document()
			invalidate(&d)
			if _, problems := d.Catalog(); !HasErrors(problems) {
				t.Error("Catalog reported no error")
			}
		})
	}
}

// TestDocumentCatalogTakesRouteWithLeastPath lists the route with the longer path first.
// Statements carry no path, so the least path decides which route serves a database.
func TestDocumentCatalogTakesRouteWithLeastPath(t *testing.T) {
	d := document()
	d.Routes = append([]Route{{Name: "s", Database: "launch", Service: "logs", Path: "/deep", Policy: ReadPrimary, Timeout: 1}}, d.Routes...)
	c, problems := d.Catalog()
	if HasErrors(problems) || c.Routes["launch"].Name != "r" {
		t.Errorf("problems %v, route %q, want r", problems, c.Routes["launch"].Name)
	}
}
