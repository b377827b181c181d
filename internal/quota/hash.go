package quota

import "github.com/cespare/xxhash/v2"

// OwnerOf returns the owner of a key among the owners, by rendezvous hashing: a
// change of the set moves only the keys of the hosts that left or joined. It
// returns the empty string when there are no owners.
func OwnerOf(key string, owners []string) string {
	var best string
	var bestHash uint64
	for _, o := range owners {
		hash := xxhash.Sum64String(o + "\x00" + key)
		if best == "" || hash > bestHash || hash == bestHash && o < best {
			best, bestHash = o, hash
		}
	}
	return best
}
