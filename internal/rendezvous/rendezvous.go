// Package rendezvous assigns keys to names by rendezvous hashing: everyone who
// knows the same names reaches the same choice, and the loss of a name moves
// only the keys that it had.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type ranking struct {
	name string
	hash uint64
}

// Top returns the n names with the highest hash for the key, the highest first.
// It returns all names when there are no more than n.
func Top(names []string, key string, n int) []string {
	ranked := make([]ranking, len(names))
	for i, name := range names {
		ranked[i] = ranking{name: name, hash: xxhash.Sum64String(name + "\x00" + key)}
	}
	slices.SortFunc(ranked, func(a, b ranking) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	})
	chosen := make([]string, min(n, len(ranked)))
	for i := range chosen {
		chosen[i] = ranked[i].name
	}
	return chosen
}

// Owner returns the name with the highest hash for the key, or an empty string
// when there are no names.
func Owner(names []string, key string) string {
	best := ranking{}
	for _, name := range names {
		r := ranking{name: name, hash: xxhash.Sum64String(name + "\x00" + key)}
		if best.name == "" || r.hash > best.hash || (r.hash == best.hash && r.name < best.name) {
			best = r
		}
	}
	return best.name
}
