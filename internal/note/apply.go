package note

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
)

// Apply returns the catalog as changed by n and the problems found. When any
// problem is an error, the catalog is returned unchanged. The stamp of the
// result is left to the caller.
func (c Catalog) Apply(n Note) (Catalog, []Problem) {
	problems := n.Check()
	next := c.clone()
	withdraw(next.Workspaces, n.Withdrawn.Workspaces, "withdrawn.workspaces", &problems)
	withdraw(next.Keys, n.Withdrawn.Keys, "withdrawn.keys", &problems)
	withdraw(next.Services, n.Withdrawn.Services, "withdrawn.services", &problems)
	withdraw(next.Domains, n.Withdrawn.Domains, "withdrawn.domains", &problems)

	put(next.Workspaces, c.Workspaces, n.Added.Workspaces, n.Changed.Workspaces, "workspaces", Workspace.id, &problems)
	put(next.Keys, c.Keys, n.Added.Keys, n.Changed.Keys, "keys", Key.id, &problems)
	put(next.Services, c.Services, n.Added.Services, n.Changed.Services, "services", Service.id, &problems)
	put(next.Domains, c.Domains, n.Added.Domains, n.Changed.Domains, "domains", Domain.id, &problems)

	problems = append(problems, next.checkReferences()...)
	sortProblems(problems)
	if HasErrors(problems) {
		return c, problems
	}
	return next, problems
}

func (w Workspace) id() string { return w.Name }
func (k Key) id() string       { return k.ID }
func (s Service) id() string   { return s.Name }
func (d Domain) id() string    { return d.Name }

// clone copies the maps of the catalog; a nil map becomes an empty one.
func (c Catalog) clone() Catalog {
	return Catalog{
		Stamp:      c.Stamp,
		Workspaces: cloneMap(c.Workspaces),
		Keys:       cloneMap(c.Keys),
		Services:   cloneMap(c.Services),
		Domains:    cloneMap(c.Domains),
		Routes:     maps.Clone(c.Routes),

		IdleTransaction: c.IdleTransaction,
	}
}

func cloneMap[T any](m map[string]T) map[string]T {
	if m == nil {
		return make(map[string]T)
	}
	return maps.Clone(m)
}

func withdraw[T any](m map[string]T, names []string, path string, problems *[]Problem) {
	for i, name := range names {
		if _, ok := m[name]; !ok {
			*problems = append(*problems, Problem{
				Path:   fmt.Sprintf("%s[%d]", path, i),
				Value:  name,
				Reason: "is not in force",
			})
			continue
		}
		delete(m, name)
	}
}

// put adds and changes the items of one kind. An added item must be new, a
// changed one must be in force before the note, and no item may stand twice.
func put[T any](
	next, before map[string]T, added, changed []T, kind string, id func(T) string, problems *[]Problem,
) {
	seen := make(map[string]bool, len(added)+len(changed))
	report := func(section string, i int, name, reason string) {
		*problems = append(*problems, Problem{
			Path:   fmt.Sprintf("%s.%s[%d]", section, kind, i),
			Value:  name,
			Reason: reason,
		})
	}
	for i, item := range added {
		name := id(item)
		_, exists := next[name]
		switch {
		case seen[name]:
			report("added", i, name, "stands twice in the note")
		case exists:
			report("added", i, name, "is already in force; use changed")
		}
		seen[name] = true
		next[name] = item
	}
	for i, item := range changed {
		name := id(item)
		_, existed := before[name]
		_, exists := next[name]
		switch {
		case seen[name]:
			report("changed", i, name, "stands twice in the note")
		case !existed || !exists:
			report("changed", i, name, "is not in force; use added")
		}
		seen[name] = true
		next[name] = item
	}
}

// checkReferences verifies that the names used by one entry are in force.
func (c Catalog) checkReferences() []Problem {
	var problems []Problem
	for _, id := range sortedNames(c.Keys) {
		workspace := c.Keys[id].Workspace
		if _, ok := c.Workspaces[workspace]; !ok {
			problems = append(problems, Problem{
				Path: "keys." + id + ".workspace", Value: workspace, Reason: "names no workspace in force",
			})
		}
	}
	for _, name := range sortedNames(c.Workspaces) {
		for _, service := range c.Workspaces[name].Services {
			if _, ok := c.Services[service]; !ok {
				problems = append(problems, Problem{
					Path: "workspaces." + name + ".services", Value: service, Reason: "names no service in force",
				})
			}
		}
	}
	problems = append(problems, c.checkSalts()...)
	return append(problems, c.checkConnections()...)
}

// checkSalts verifies that the keys of a workspace share salt and iteration
// count: the server sends both before it can know which key the caller holds.
func (c Catalog) checkSalts() []Problem {
	var problems []Problem
	first := make(map[string]Verifier)
	for _, id := range sortedNames(c.Keys) {
		key := c.Keys[id]
		v, err := ParseVerifier(key.Verifier)
		if err != nil {
			continue // reported by Check
		}
		other, ok := first[key.Workspace]
		if !ok {
			first[key.Workspace] = v
			continue
		}
		if v.Iterations != other.Iterations || !bytes.Equal(v.Salt, other.Salt) {
			problems = append(problems, Problem{
				Path:   "keys." + id + ".verifier",
				Reason: "salt and iterations differ from another key of the workspace",
			})
		}
	}
	return problems
}

// checkConnections warns about services with fewer connections than slots.
func (c Catalog) checkConnections() []Problem {
	var problems []Problem
	for _, name := range sortedNames(c.Services) {
		s := c.Services[name]
		if s.Connections < s.Slots {
			problems = append(problems, Problem{
				Path:    "services." + name + ".connections",
				Value:   fmt.Sprint(s.Connections),
				Reason:  fmt.Sprintf("is below the %d slots, which can then not all be used", s.Slots),
				Warning: true,
			})
		}
	}
	return problems
}

// CheckEntryHosts warns about services with fewer connections than entry hosts.
func (c Catalog) CheckEntryHosts(entryHosts int) []Problem {
	var problems []Problem
	for _, name := range sortedNames(c.Services) {
		s := c.Services[name]
		if s.Connections < entryHosts {
			problems = append(problems, Problem{
				Path:    "services." + name + ".connections",
				Value:   fmt.Sprint(s.Connections),
				Reason:  fmt.Sprintf("is below the %d entry hosts; some will have to wait for a connection", entryHosts),
				Warning: true,
			})
		}
	}
	return problems
}

func sortedNames[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}

// KeysOf returns the keys of a workspace in order of their ids.
func (c Catalog) KeysOf(workspace string) []Key {
	var keys []Key
	for _, id := range sortedNames(c.Keys) {
		if c.Keys[id].Workspace == workspace {
			keys = append(keys, c.Keys[id])
		}
	}
	return keys
}

// Allows reports whether the workspace may use the service.
func (w Workspace) Allows(service string) bool {
	return len(w.Services) == 0 || slices.Contains(w.Services, service)
}
