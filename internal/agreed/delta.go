package agreed

import (
	"maps"
	"reflect"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/note"
)

// Changes holds the entries of one map that were set, and the keys of those that
// were removed.
type Changes[T any] struct {
	Set     map[string]T `cbor:"1,keyasint,omitempty"`
	Removed []string     `cbor:"2,keyasint,omitempty"`
}

// Delta is the difference between the states at revisions From and To. A nil Changes
// means that the map is unchanged. The document's source is not included.
type Delta struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Fleet is the name of the fleet after the change.
	Fleet      string                   `cbor:"3,keyasint,omitempty"`
	Stamps     []note.Stamp             `cbor:"4,keyasint,omitempty"`
	Workspaces *Changes[note.Workspace] `cbor:"5,keyasint,omitempty"`
	Keys       *Changes[note.Key]       `cbor:"6,keyasint,omitempty"`
	Services   *Changes[note.Service]   `cbor:"7,keyasint,omitempty"`
	Domains    *Changes[note.Domain]    `cbor:"8,keyasint,omitempty"`
	Hosts      *Changes[Host]           `cbor:"9,keyasint,omitempty"`
	Endpoints  *Changes[Endpoint]       `cbor:"10,keyasint,omitempty"`
	Groups     *Changes[Group]          `cbor:"11,keyasint,omitempty"`
	// EntryRemoved, HostsChanged and OwnersEpoch are fields of the state after the
	// change.
	EntryRemoved uint64 `cbor:"12,keyasint,omitempty"`
	HostsChanged uint64 `cbor:"13,keyasint,omitempty"`
	OwnersEpoch  uint64 `cbor:"14,keyasint,omitempty"`
	// Catalog is set if the whole catalog was replaced.
	Catalog *CatalogHeader       `cbor:"15,keyasint,omitempty"`
	Routes  *Changes[note.Route] `cbor:"16,keyasint,omitempty"`
	Retired *Changes[Tombstone]  `cbor:"17,keyasint,omitempty"`
	// SilentOwners is the field of the state after the change.
	SilentOwners []string `cbor:"18,keyasint,omitempty"`
}

// CatalogHeader is the part of a catalog outside its maps. Document is the number of
// the document.
type CatalogHeader struct {
	Stamp           note.Stamp `cbor:"1,keyasint"`
	IdleTransaction int64      `cbor:"2,keyasint,omitempty"`
	Document        uint64     `cbor:"3,keyasint,omitempty"`
}

func catalogHeader(s *State) CatalogHeader {
	return CatalogHeader{Stamp: s.Catalog.Stamp, IdleTransaction: s.Catalog.IdleTransaction, Document: s.Document.Number}
}

// ErrGap is returned by Patch if the delta does not start at the state's revision.
var ErrGap = errors.New("the delta does not start at the revision of the state")

// Diff returns the delta from one state to a later one. It does not compare the entries
// of a map that both states share.
func Diff(from, to *State) Delta {
	d := Delta{
		From:         from.Revision,
		To:           to.Revision,
		Fleet:        to.Fleet,
		Workspaces:   diffMap(from.Catalog.Workspaces, to.Catalog.Workspaces),
		Keys:         diffMap(from.Catalog.Keys, to.Catalog.Keys),
		Services:     diffMap(from.Catalog.Services, to.Catalog.Services),
		Domains:      diffMap(from.Catalog.Domains, to.Catalog.Domains),
		Hosts:        diffMap(from.Hosts, to.Hosts),
		Endpoints:    diffMap(from.Endpoints, to.Endpoints),
		Groups:       diffMap(from.Groups, to.Groups),
		EntryRemoved: to.EntryRemoved,

		HostsChanged: to.HostsChanged,
		OwnersEpoch:  to.OwnersEpoch,
		SilentOwners: to.SilentOwners,

		Routes:  diffMap(from.Catalog.Routes, to.Catalog.Routes),
		Retired: diffMap(from.Retired, to.Retired),
	}
	if header := catalogHeader(to); to.Document.Number != from.Document.Number {
		d.Catalog = &header
	}
	for _, stamp := range to.History {
		if stamp.Number > from.Catalog.Stamp.Number {
			d.Stamps = append(d.Stamps, stamp)
		}
	}
	return d
}

// diffMap returns the changes from one map to another, or nil if there are none.
func diffMap[T any](from, to map[string]T) *Changes[T] {
	if reflect.ValueOf(from).Pointer() == reflect.ValueOf(to).Pointer() {
		return nil // the map was not replaced
	}
	c := Changes[T]{Set: map[string]T{}}
	for name, value := range to {
		old, ok := from[name]
		if !ok || !reflect.DeepEqual(old, value) {
			c.Set[name] = value
		}
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			c.Removed = append(c.Removed, name)
		}
	}
	if len(c.Set) == 0 && len(c.Removed) == 0 {
		return nil
	}
	return &c
}

// Patch returns the state after a delta, without changing s. It returns ErrGap if the
// delta does not start at the revision of s or does not lead to a later one.
func Patch(s *State, d Delta) (*State, error) {
	if d.From != s.Revision || d.To <= d.From {
		return nil, ErrGap
	}
	next := copyOf(s)
	next.Revision = d.To
	next.Fleet = d.Fleet
	next.EntryRemoved = d.EntryRemoved
	if len(d.Stamps) > 0 {
		next.History = appendHistory(s.History, d.Stamps...)
		next.Catalog.Stamp = d.Stamps[len(d.Stamps)-1]
	}
	next.Catalog.Workspaces = patchMap(s.Catalog.Workspaces, d.Workspaces)
	next.Catalog.Keys = patchMap(s.Catalog.Keys, d.Keys)
	next.Catalog.Services = patchMap(s.Catalog.Services, d.Services)
	next.Catalog.Domains = patchMap(s.Catalog.Domains, d.Domains)
	next.Hosts = patchMap(s.Hosts, d.Hosts)
	next.Endpoints = patchMap(s.Endpoints, d.Endpoints)
	next.Groups = patchMap(s.Groups, d.Groups)
	next.HostsChanged = d.HostsChanged
	next.OwnersEpoch = d.OwnersEpoch
	next.SilentOwners = d.SilentOwners
	next.Catalog.Routes = patchMap(s.Catalog.Routes, d.Routes)
	next.Retired = patchMap(s.Retired, d.Retired)
	if d.Catalog != nil {
		next.Catalog.Stamp = d.Catalog.Stamp
		next.Catalog.IdleTransaction = d.Catalog.IdleTransaction
		next.Document = Document{Number: d.Catalog.Document}
	}
	return next, nil
}

// patchMap returns a map with the changes, or m itself if there are none.
func patchMap[T any](m map[string]T, c *Changes[T]) map[string]T {
	if c == nil {
		return m
	}
	next := maps.Clone(m)
	if next == nil {
		next = make(map[string]T)
	}
	maps.Copy(next, c.Set)
	for _, name := range c.Removed {
		delete(next, name)
	}
	return next
}
