package core

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// maxDocumentWait bounds the wait of a statement for a document that another host has and this one
// lacks. It covers the time in which a host turns to another control host if its own is suspended.
const maxDocumentWait = 400 * time.Millisecond

// documentNumber returns the number of the document of a view, zero if there is none.
func documentNumber(v view.View) uint64 {
	if v.State == nil {
		return 0
	}
	return v.State.Catalog.Stamp.Number
}

// observeDocument records that another host acts on a document.
func (s *Server) observeDocument(number uint64) {
	for {
		known := s.newestDocument.Load()
		if number <= known {
			return
		}
		if s.newestDocument.CompareAndSwap(known, number) {
			break
		}
	}
	s.reportBehind()
}

// reportBehind reports that other hosts act on a newer document, if they do.
func (s *Server) reportBehind() {
	if s.opts.Behind != nil && s.isBehind(s.opts.View.Current()) {
		s.opts.Behind()
	}
}

// knownDocument returns the highest number of a document that is known to be in force.
func (s *Server) knownDocument() uint64 {
	return max(s.newestDocument.Load(), documentNumber(s.opts.View.Current()))
}

// isBehind reports whether another host acts on a newer document than that of the view. Callers of this
// host may have seen the effect of the newer one, and must not see the older one again.
func (s *Server) isBehind(v view.View) bool { return documentNumber(v) < s.newestDocument.Load() }

// awaitDocument waits until the host has the newest document that it knows of, for a statement that
// no host with that document has taken, and returns the route under it.
func (s *Session) awaitDocument(deadline time.Time) (note.Route, *result.Error) {
	s.srv.reportBehind()
	ctx, cancel := context.WithDeadline(s.srv.answering, deadline)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, maxDocumentWait)
	defer cancel()
	for {
		changed := s.srv.opts.View.Changed()
		if v := s.srv.opts.View.Current(); !s.srv.isBehind(v) {
			return s.authorize(v)
		}
		if pause(ctx, changed) != nil {
			return note.Route{}, result.New(result.NoConfigLease, "the host has not received the configuration that others act on")
		}
	}
}
