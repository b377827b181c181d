package note

import (
	"fmt"
	"slices"
)

// Document is a complete configuration that replaces the catalog, as an alternative to
// a sequence of release notes. It has no failure domains.
type Document struct {
	// Number orders documents: the one with the highest number is in force.
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Keys       []Key
	// IdleTransaction is in milliseconds; see Catalog.
	IdleTransaction int64
}

// Catalog converts the document to a catalog and returns every problem found, sorted
// by path. The catalog is valid only if there are none.
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
			problems = append(problems, Problem{Path: "keys." + key.ID, Value: key.Workspace, Reason: "refers to a workspace that is not in the document"})
		}
	}
	sortProblems(problems)
	return c, problems
}

// indexByName returns items keyed by id, which is the name except for keys. It reports an
// empty or repeated id as a problem.
func indexByName[T any](items []T, kind string, id func(T) string, problems *[]Problem) map[string]T {
	byName := make(map[string]T, len(items))
	for i, item := range items {
		name := id(item)
		path := fmt.Sprintf("%s[%d]", kind, i)
		if name == "" {
			*problems = append(*problems, Problem{Path: path, Reason: "has no name"})
		}
		if _, ok := byName[name]; ok {
			*problems = append(*problems, Problem{Path: path, Value: name, Reason: "appears twice"})
		}
		byName[name] = item
	}
	return byName
}

var readPolicies = []ReadPolicy{ReadPrimary, ReadBounded, ReadOwnWrites}

// checkRoutes validates the routes and adds them to c.Routes. Of several routes with one
// database name, c.Routes holds the one with the least path.
func (c Catalog) checkRoutes(routes []Route, problems *[]Problem) {
	type routeKey struct{ database, path string }
	seen := make(map[routeKey]bool, len(routes))
	for i, r := range routes {
		report := func(field, value, reason string) {
			*problems = append(*problems, Problem{Path: fmt.Sprintf("routes[%d].%s", i, field), Value: value, Reason: reason})
		}
		key := routeKey{r.Database, r.Path}
		if seen[key] {
			report("database", r.Database, "another route has the same database and path")
		}
		seen[key] = true
		if _, ok := c.Services[r.Service]; !ok {
			report("service", r.Service, "refers to a service that is not in the document")
		}
		if r.Database == "" {
			report("database", "", "must be set")
		}
		if r.Timeout <= 0 {
			report("timeout_ms", fmt.Sprint(r.Timeout), "must be greater than zero")
		}
		if !slices.Contains(readPolicies, r.Policy) {
			report("policy", string(r.Policy), "must be one of primary, bounded, own_writes")
		}
		if other, ok := c.Routes[r.Database]; !ok || r.Path < other.Path {
			c.Routes[r.Database] = r
		}
	}
}
