package pgback

import "container/list"

// maxPrepared is the maximum number of prepared statements kept on one connection.
const maxPrepared = 256

// SessionState tracks the state that the endpoint keeps for a connection between
// transactions: prepared statements and run-time settings. Clear must be called before
// use.
type SessionState struct {
	// Settings is the SQL script that set the current run-time settings; empty means the
	// endpoint's defaults.
	Settings string
	// Dirty is set when a request may have changed the state in a way that is
	// not tracked here, so that the connection must be reset before reuse.
	Dirty bool

	// prepared and lru hold the same statement names; lru has the most recently used first.
	prepared map[string]*list.Element // elements of lru, by statement name
	lru      *list.List
}

// Clear records that the endpoint has discarded all session state.
func (s *SessionState) Clear() {
	s.Settings = ""
	s.Dirty = false
	s.prepared = make(map[string]*list.Element)
	s.lru = list.New()
}

// HasStatement reports whether the statement is prepared, and marks it as most recently used.
func (s *SessionState) HasStatement(name string) bool {
	element, ok := s.prepared[name]
	if ok {
		s.lru.MoveToFront(element)
	}
	return ok
}

// AddStatement records that a statement was prepared.
func (s *SessionState) AddStatement(name string) {
	if !s.HasStatement(name) {
		s.prepared[name] = s.lru.PushFront(name)
	}
}

// RemoveStatement records that a statement was closed.
func (s *SessionState) RemoveStatement(name string) {
	if element, ok := s.prepared[name]; ok {
		s.lru.Remove(element)
		delete(s.prepared, name)
	}
}

// EvictionCandidate returns the least recently used statement when more than maxPrepared are
// recorded. It does not remove the statement.
func (s *SessionState) EvictionCandidate() (name string, ok bool) {
	if s.lru.Len() <= maxPrepared {
		return "", false
	}
	return s.lru.Back().Value.(string), true
}
