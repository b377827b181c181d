// Package rendezvous assigns keys to names by rendezvous (highest random weight) hashing.
// The assignment depends only on the set of names and the key, and removing a name moves
// only the keys that were assigned to it.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rankedName is a name with the hash that ranks it for a key.
type rankedName struct {
	name string
	hash uint64
}

// Hash returns the hash that ranks a name for a key.
func Hash(name, key string) uint64 { return xxhash.Sum64String(name + "\x00" + key) }

// Top returns the n names with the highest hashes for the key, in descending order of the
// hash; equal hashes are ordered by name. It returns all names when there are at most n.
func Top(names []string, key string, n int) []string {
	ranked := make([]rankedName, len(names))
	for i, name := range names {
		ranked[i] = rankedName{name: name, hash: Hash(name, key)}
	}
	slices.SortFunc(ranked, func(a, b rankedName) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	})
	chosen := make([]string, min(n, len(ranked)))
	for i := range chosen {
		chosen[i] = ranked[i].name
	}
	return chosen
}

// Owner returns the first name of Top, or an empty string when there are no names.
func Owner(names []string, key string) string {
	best := rankedName{}
	for _, name := range names {
		r := rankedName{name: name, hash: Hash(name, key)}
		if best.name == "" || r.hash > best.hash || (r.hash == best.hash && r.name < best.name) {
			best = r
		}
	}
	return best.name
}
