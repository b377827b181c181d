package note

import (
	"fmt"
	"slices"
)

// Document is a whole catalog as an operator states it, in place of the release
// notes that lead to it. Domains are not part of it.
type Document struct {
	// Number orders documents: the highest one is in force.
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Keys       []Key
	// IdleTransaction is in milliseconds; see Catalog.
	IdleTransaction int64
}

// Catalog returns the catalog that the document states, or every problem that
// it has. A document with a problem is refused whole.
func (d Document) Catalog() (Catalog, []Problem) {
	var problems []Problem
	c := Catalog{
		Services:   indexByName(d.Services, "services", Service.id, &problems),
		Workspaces: indexByName(d.Workspaces, "workspaces", Workspace.id, &problems),
		Keys:       indexByName(d.Keys, "keys", Key.id, &problems),
		Routes:     make(map[string]Route, len(d.Routes)),

		IdleTransaction: d.IdleTransaction,
	}
	c.checkRoutes(d.Routes, &problems)
	for _, key := range d.Keys {
		if _, ok := c.Workspaces[key.Workspace]; !ok {
			problems = append(problems, Problem{Path: "keys." + key.ID, Value: key.Workspace, Reason: "names no workspace"})
		}
	}
	sortProblems(problems)
	return c, problems
}

// collect indexes items by name; no name may stand twice.
func indexByName[T any](items []T, kind string, id func(T) string, problems *[]Problem) map[string]T {
	all := make(map[string]T, len(items))
	for i, item := range items {
		name := id(item)
		path := fmt.Sprintf("%s[%d]", kind, i)
		if name == "" {
			*problems = append(*problems, Problem{Path: path, Reason: "has no name"})
		}
		if _, ok := all[name]; ok {
			*problems = append(*problems, Problem{Path: path, Value: name, Reason: "stands twice"})
		}
		all[name] = item
	}
	return all
}

var readPolicies = []ReadPolicy{ReadPrimary, ReadBounded, ReadOwnWrites}

func (c Catalog) checkRoutes(routes []Route, problems *[]Problem) {
	type place struct{ database, path string }
	taken := make(map[place]bool, len(routes))
	for i, r := range routes {
		report := func(field, value, reason string) {
			*problems = append(*problems, Problem{Path: fmt.Sprintf("routes[%d].%s", i, field), Value: value, Reason: reason})
		}
		at := place{r.Database, r.Path}
		if taken[at] {
			report("database", r.Database, "another route has this database and path")
		}
		taken[at] = true
		if _, ok := c.Services[r.Service]; !ok {
			report("service", r.Service, "names no service")
		}
		if r.Database == "" {
			report("database", "", "is empty")
		}
		if r.Timeout <= 0 {
			report("timeout_ms", fmt.Sprint(r.Timeout), "must be above zero")
		}
		if !slices.Contains(readPolicies, r.Policy) {
			report("policy", string(r.Policy), "is not known")
		}
		if other, ok := c.Routes[r.Database]; !ok || r.Path < other.Path {
			c.Routes[r.Database] = r
		}
	}
}
