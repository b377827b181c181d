package agreed

import "reflect"

// entryOverhead is the memory of an entry of a map beside the texts of its value, in bytes: the value,
// the key and the part of the table that is empty. maxEntryText is the length in bytes of the texts that
// most entries stay below.
const (
	entryOverhead = 160
	maxEntryText  = 160
)

// UnsharedSize estimates the memory of the maps of s that a later state does not share, in bytes. A map
// that a command changes is copied, with texts that both copies share; a catalog that is replaced has
// texts of its own.
func (s *State) UnsharedSize(later *State) int {
	size := 0
	add := func(m, of any, perEntry int) {
		v := reflect.ValueOf(m)
		if v.Pointer() != reflect.ValueOf(of).Pointer() {
			size += v.Len() * perEntry
		}
	}
	add(s.Catalog.Routes, later.Catalog.Routes, entryOverhead+maxEntryText)
	add(s.Catalog.Workspaces, later.Catalog.Workspaces, entryOverhead+maxEntryText)
	add(s.Catalog.Keys, later.Catalog.Keys, entryOverhead+maxEntryText)
	add(s.Catalog.Services, later.Catalog.Services, entryOverhead+maxEntryText)
	add(s.Catalog.Domains, later.Catalog.Domains, entryOverhead)
	add(s.Hosts, later.Hosts, entryOverhead)
	add(s.Endpoints, later.Endpoints, entryOverhead)
	add(s.Groups, later.Groups, entryOverhead)
	add(s.Retired, later.Retired, entryOverhead)
	return size
}
