package admin

import (
	"context"
	"io"
	"net/http"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// NoteResponse is the response to an accepted release note.
type NoteResponse struct {
	Stamp note.Stamp `json:"stamp"`
	// Revision is the revision of the agreed state in which the note is in force.
	Revision uint64 `json:"revision"`
	// Repeated reports whether the same note had been accepted before.
	Repeated bool           `json:"repeated"`
	Warnings []note.Problem `json:"warnings,omitempty"`
}

func (s *Server) postNote(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, note.MaxNoteBytes+1))
	if err != nil {
		WriteError(w, result.New(result.MessageTooLarge, "read the note: %v", err))
		return
	}
	n, problems := s.decodeNote(data)
	if note.HasErrors(problems) {
		WriteError(w, result.New(result.NoteInvalid, "the release note has errors and was not applied"), problems...)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	out, err := s.opts.Control.Propose(ctx, agreed.Command{ApplyNote: &agreed.ApplyNote{Note: n}})
	if err == nil {
		err = out.Err()
	}
	if err != nil {
		s.opts.Logger.Info("note_refused", "number", n.Number, "code", result.CodeOf(err))
		WriteError(w, err, out.Problems...)
		return
	}
	s.opts.Logger.Info("note_accepted", "number", n.Number, "digest", out.Stamp.Digest, "repeated", out.Repeated)
	WriteJSON(w, http.StatusOK, NoteResponse{
		Stamp: *out.Stamp, Revision: out.Revision, Repeated: out.Repeated, Warnings: out.Problems,
	})
}

// decodeNote decodes a note and validates its fields. If a field is invalid, the problems
// that the note has against the catalog in force are returned as well, so that an
// operator sees all of them at once.
func (s *Server) decodeNote(data []byte) (note.Note, []note.Problem) {
	n, problems := note.Decode(data)
	if len(problems) > 0 {
		return n, problems
	}
	problems = n.Check()
	state := s.opts.View.Current().State
	if note.HasErrors(problems) && state != nil {
		_, problems = state.Catalog.Apply(n)
	}
	return n, problems
}

// currentState returns the latest agreed state that the host received and sets a header
// that reports whether its configuration lease is valid. If there is no state yet, it
// sends an error response and returns nil.
func (s *Server) currentState(w http.ResponseWriter) *agreed.State {
	v := s.opts.View.Current()
	if v.State == nil {
		WriteError(w, result.New(result.NoConfigLease, "the host has not received the agreed state from a control host yet"))
		return nil
	}
	w.Header().Set("Galenabridge-Lease-Valid", boolText(v.Valid()))
	return v.State
}

func boolText(valid bool) string {
	if valid {
		return "true"
	}
	return "false"
}

func (s *Server) getHistory(w http.ResponseWriter, _ *http.Request) {
	state := s.currentState(w)
	if state == nil {
		return
	}
	stamps := state.History
	if stamps == nil {
		stamps = []note.Stamp{}
	}
	WriteJSON(w, http.StatusOK, stamps)
}

func (s *Server) getCatalog(w http.ResponseWriter, _ *http.Request) {
	if state := s.currentState(w); state != nil {
		WriteJSON(w, http.StatusOK, state.Catalog.Redacted())
	}
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := s.opts.Control.Status(ctx)
	if err != nil {
		WriteError(w, err)
		return
	}
	WriteJSON(w, http.StatusOK, status)
}
