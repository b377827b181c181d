package note

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// Change is one difference between two catalogs.
type Change struct {
	// Op is "+" for added, "~" for changed and "-" for withdrawn.
	Op   string `json:"op"`
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Before and After are the entry as JSON, with digests in place of secrets.
	// Before is empty for an added entry, After for a withdrawn one.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	switch c.Op {
	case "+":
		return fmt.Sprintf("+ %s %s %s", c.Kind, c.Name, c.After)
	case "-":
		return fmt.Sprintf("- %s %s %s", c.Kind, c.Name, c.Before)
	}
	return fmt.Sprintf("~ %s %s %s -> %s", c.Kind, c.Name, c.Before, c.After)
}

// Diff returns the changes from a to b: workspaces, keys, services and domains in that
// order, each sorted by name. It does not compare routes.
func Diff(a, b Catalog) []Change {
	changes := diffMaps("workspace", a.Workspaces, b.Workspaces)
	changes = append(changes, diffMaps("key", a.Keys, b.Keys)...)
	changes = append(changes, diffMaps("service", a.Services, b.Services)...)
	return append(changes, diffMaps("domain", a.Domains, b.Domains)...)
}

func diffMaps[T any](kind string, a, b map[string]T) []Change {
	names := append(sortedNames(a), sortedNames(b)...)
	slices.Sort(names)
	var changes []Change
	for _, name := range slices.Compact(names) {
		before, inA := a[name]
		after, inB := b[name]
		c := Change{Kind: kind, Name: name}
		switch {
		case !inA:
			c.Op, c.After = "+", redactedJSON(after)
		case !inB:
			c.Op, c.Before = "-", redactedJSON(before)
		case reflect.DeepEqual(before, after):
			continue
		default:
			c.Op, c.Before, c.After = "~", redactedJSON(before), redactedJSON(after)
		}
		changes = append(changes, c)
	}
	return changes
}

// redactedJSON encodes an entry as JSON, with digests in place of its secrets.
func redactedJSON(v any) string {
	data, err := json.Marshal(redact(v))
	if err != nil {
		return fmt.Sprintf("%+v", redact(v))
	}
	return string(data)
}

// redact returns a copy of a key or service with digests in place of its secrets, and
// any other entry as it is.
func redact(v any) any {
	switch item := v.(type) {
	case Key:
		item.Verifier = fingerprint(item.Verifier)
		return item
	case Service:
		item.Password = fingerprint(item.Password)
		return item
	}
	return v
}

// fingerprint returns a short digest of a secret, so that a changed secret shows in a
// diff.
func fingerprint(secret string) string {
	if secret == "" {
		return ""
	}
	return "sha256:" + shortDigest(secret)
}

// Redacted returns a copy of the catalog for display, with short digests in place of
// secrets.
func (c Catalog) Redacted() Catalog {
	next := c.clone()
	for id, k := range next.Keys {
		next.Keys[id] = redact(k).(Key)
	}
	for name, s := range next.Services {
		next.Services[name] = redact(s).(Service)
	}
	return next
}
