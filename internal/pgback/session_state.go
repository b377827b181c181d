package pgback

import "container/list"

// maxPrepared bounds the prepared statements kept on one connection.
const maxPrepared = 256

// SessionState is what the endpoint keeps for a connection between
// transactions: prepared statements and run-time settings.
type SessionState struct {
	// Settings identifies the run-time settings in force; empty means the
	// endpoint's defaults.
	Settings string
	// Dirty tells that a request may have changed the state in a way that is
	// not recorded here, so that it must be reset before reuse.
	Dirty bool

	prepared map[string]*list.Element
	order    *list.List
}

// Clear records that the endpoint has discarded the whole state.
func (s *SessionState) Clear() {
	s.Settings = ""
	s.Dirty = false
	s.prepared = make(map[string]*list.Element)
	s.order = list.New()
}

// Has tells whether the statement is prepared, and marks it as used.
func (s *SessionState) Has(name string) bool {
	element, ok := s.prepared[name]
	if ok {
		s.order.MoveToFront(element)
	}
	return ok
}

// Add records a prepared statement.
func (s *SessionState) Add(name string) {
	if !s.Has(name) {
		s.prepared[name] = s.order.PushFront(name)
	}
}

// Remove records that a statement was closed.
func (s *SessionState) Remove(name string) {
	if element, ok := s.prepared[name]; ok {
		s.order.Remove(element)
		delete(s.prepared, name)
	}
}

// EvictionCandidate returns the least recently used statement when there are too many.
func (s *SessionState) EvictionCandidate() (name string, ok bool) {
	if s.order.Len() <= maxPrepared {
		return "", false
	}
	return s.order.Back().Value.(string), true
}
