package note

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
)

// Apply returns the catalog with the changes of n, and every problem found in n by
// itself and against the catalog. If any problem is an error, c is returned
// unchanged. c is never modified; the caller sets the stamp of the result.
func (c Catalog) Apply(n Note) (Catalog, []Problem) {
	problems := n.Check()
	next := c.clone()
	withdrawItems(next.Workspaces, n.Withdrawn.Workspaces, "withdrawn.workspaces", &problems)
	withdrawItems(next.Keys, n.Withdrawn.Keys, "withdrawn.keys", &problems)
	withdrawItems(next.Services, n.Withdrawn.Services, "withdrawn.services", &problems)
	withdrawItems(next.Domains, n.Withdrawn.Domains, "withdrawn.domains", &problems)

	putItems(next.Workspaces, c.Workspaces, n.Added.Workspaces, n.Changed.Workspaces, "workspaces", Workspace.id, &problems)
	putItems(next.Keys, c.Keys, n.Added.Keys, n.Changed.Keys, "keys", Key.id, &problems)
	putItems(next.Services, c.Services, n.Added.Services, n.Changed.Services, "services", Service.id, &problems)
	putItems(next.Domains, c.Domains, n.Added.Domains, n.Changed.Domains, "domains", Domain.id, &problems)

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

// clone copies the catalog and its maps. A nil map becomes an empty one, except
// Routes, which stays nil.
func (c Catalog) clone() Catalog {
	return Catalog{
		Stamp:      c.Stamp,
		Workspaces: cloneOrNew(c.Workspaces),
		Keys:       cloneOrNew(c.Keys),
		Services:   cloneOrNew(c.Services),
		Domains:    cloneOrNew(c.Domains),
		Routes:     maps.Clone(c.Routes),

		IdleTransaction: c.IdleTransaction,
	}
}

func cloneOrNew[T any](m map[string]T) map[string]T {
	if m == nil {
		return make(map[string]T)
	}
	return maps.Clone(m)
}

// withdrawItems deletes names from m. A name that is not in m is a problem.
func withdrawItems[T any](m map[string]T, names []string, path string, problems *[]Problem) {
	for i, name := range names {
		if _, ok := m[name]; !ok {
			*problems = append(*problems, Problem{
				Path:   fmt.Sprintf("%s[%d]", path, i),
				Value:  name,
				Reason: "does not exist in the catalog",
			})
			continue
		}
		delete(m, name)
	}
}

// putItems writes the added and changed items of one kind into next, from which the
// withdrawn items are already deleted. An added item must not be in next, so that a note
// can replace an item by withdrawing and adding it. A changed item must be in the catalog
// before the note and must not be withdrawn by it. Added and changed together must not
// contain an item twice.
func putItems[T any](
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
			report("added", i, name, "appears twice in the note")
		case exists:
			report("added", i, name, "already exists in the catalog; use changed")
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
			report("changed", i, name, "appears twice in the note")
		case !existed || !exists:
			report("changed", i, name, "does not exist in the catalog; use added")
		}
		seen[name] = true
		next[name] = item
	}
}

// checkReferences checks the rules that involve several fields or entries: the workspaces
// and services that are referred to exist, the keys of a workspace share one salt, and
// each service has a connection for each slot.
func (c Catalog) checkReferences() []Problem {
	var problems []Problem
	for _, id := range sortedNames(c.Keys) {
		workspace := c.Keys[id].Workspace
		if _, ok := c.Workspaces[workspace]; !ok {
			problems = append(problems, Problem{
				Path: "keys." + id + ".workspace", Value: workspace, Reason: "refers to a workspace that is not in the catalog",
			})
		}
	}
	for _, name := range sortedNames(c.Workspaces) {
		for _, service := range c.Workspaces[name].Services {
			if _, ok := c.Services[service]; !ok {
				problems = append(problems, Problem{
					Path: "workspaces." + name + ".services", Value: service, Reason: "refers to a service that is not in the catalog",
				})
			}
		}
	}
	problems = append(problems, c.checkSalts()...)
	return append(problems, c.checkConnections()...)
}

// checkSalts verifies that the keys of a workspace share salt and iteration count:
// in SCRAM the server sends both before it learns which key the caller has.
func (c Catalog) checkSalts() []Problem {
	var problems []Problem
	first := make(map[string]Verifier)
	for _, id := range sortedNames(c.Keys) {
		key := c.Keys[id]
		v, err := ParseVerifier(key.Verifier)
		if err != nil {
			continue // Check reports it
		}
		other, ok := first[key.Workspace]
		if !ok {
			first[key.Workspace] = v
			continue
		}
		if v.Iterations != other.Iterations || !bytes.Equal(v.Salt, other.Salt) {
			problems = append(problems, Problem{
				Path:   "keys." + id + ".verifier",
				Reason: "salt or iteration count differs from that of another key of the workspace",
			})
		}
	}
	return problems
}

// checkConnections returns a warning for each service that has fewer connections than
// slots per endpoint.
func (c Catalog) checkConnections() []Problem {
	var problems []Problem
	for _, name := range sortedNames(c.Services) {
		s := c.Services[name]
		if s.Connections < s.Slots {
			problems = append(problems, Problem{
				Path:    "services." + name + ".connections",
				Value:   fmt.Sprint(s.Connections),
				Reason:  fmt.Sprintf("is below the %d slots, so that not all slots can be used", s.Slots),
				Warning: true,
			})
		}
	}
	return problems
}

// CheckEntryHosts returns a warning for each service that has fewer connections per
// endpoint than there are entry hosts.
func (c Catalog) CheckEntryHosts(entryHosts int) []Problem {
	var problems []Problem
	for _, name := range sortedNames(c.Services) {
		s := c.Services[name]
		if s.Connections < entryHosts {
			problems = append(problems, Problem{
				Path:    "services." + name + ".connections",
				Value:   fmt.Sprint(s.Connections),
				Reason:  fmt.Sprintf("is below the %d entry hosts, so that some hosts wait for a connection", entryHosts),
				Warning: true,
			})
		}
	}
	return problems
}

func sortedNames[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}

// KeysOf returns the keys of a workspace, sorted by id.
func (c Catalog) KeysOf(workspace string) []Key {
	var keys []Key
	for _, id := range sortedNames(c.Keys) {
		if c.Keys[id].Workspace == workspace {
			keys = append(keys, c.Keys[id])
		}
	}
	return keys
}

// Allows reports whether the workspace may use the service. A workspace without a list
// of services may use all of them.
func (w Workspace) Allows(service string) bool {
	return len(w.Services) == 0 || slices.Contains(w.Services, service)
}
