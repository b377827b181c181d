package agreed

import (
	"maps"

	"github.com/galenabridge/galenabridge/internal/note"
)

// putCatalog replaces the whole catalog except the failure domains. A number not
// higher than the one in force is acknowledged and changes nothing, so that an
// operator may repeat a request that was not answered.
func putCatalog(s *State, index uint64, c *PutCatalog) (*State, Outcome) {
	current := s.Catalog.Stamp
	if c.Document.Number <= current.Number {
		return nil, Outcome{Stamp: &current, Repeated: true}
	}
	next := copyOf(s)
	next.Catalog = note.Catalog{
		Stamp:      note.Stamp{Number: c.Document.Number},
		Workspaces: orEmpty(c.Catalog.Workspaces),
		Keys:       orEmpty(c.Catalog.Keys),
		Services:   orEmpty(c.Catalog.Services),
		Domains:    s.Catalog.Domains,
		Routes:     orEmpty(c.Catalog.Routes),

		IdleTransaction: c.Catalog.IdleTransaction,
	}
	next.Document = c.Document
	next.syncGroups(index)
	return next, Outcome{Stamp: &next.Catalog.Stamp}
}

// orEmpty returns m, or an empty map for nil.
func orEmpty[T any](m map[string]T) map[string]T {
	if m == nil {
		return map[string]T{}
	}
	return m
}

// setDomain takes a failure domain out of use or puts it back into use.
func setDomain(s *State, d note.Domain) (*State, Outcome) {
	if current, ok := s.Catalog.Domains[d.Name]; ok && current == d {
		return nil, Outcome{}
	}
	next := copyOf(s)
	next.Catalog.Domains = maps.Clone(s.Catalog.Domains)
	if next.Catalog.Domains == nil {
		next.Catalog.Domains = make(map[string]note.Domain)
	}
	next.Catalog.Domains[d.Name] = d
	return next, Outcome{}
}

// DomainOut reports whether a failure domain is out of use, so that nothing may be sent to its
// endpoints.
func (s *State) DomainOut(domain string) bool { return s.Catalog.Domains[domain].Out }

// AnyDomainOut reports whether any failure domain is out of use.
func (s *State) AnyDomainOut() bool {
	for _, d := range s.Catalog.Domains {
		if d.Out {
			return true
		}
	}
	return false
}

// ForSubscriber returns the state as sent to subscribers: without the source of the
// document, the usage reports and the last withdrawal, which only control hosts need.
func (s *State) ForSubscriber() *State {
	next := copyOf(s)
	next.Document.Source = nil
	next.Usage, next.ServiceWithdrawn = Usage{}, 0
	return next
}
