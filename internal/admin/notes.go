package admin

import (
	"context"
	"io"
	"net/http"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// NoteResponse is the answer to an accepted release note.
type NoteResponse struct {
	Stamp note.Stamp `json:"stamp"`
	// Revision is the revision of the agreed state with the note in force.
	Revision uint64 `json:"revision"`
	// Repeated tells that the note had been accepted before.
	Repeated bool           `json:"repeated"`
	Warnings []note.Problem `json:"warnings,omitempty"`
}

func (s *Server) postNote(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, note.MaxNoteBytes+1))
	if err != nil {
		WriteError(w, result.New(result.MessageTooLarge, "read the note: %v", err))
		return
	}
	n, problems := s.check(data)
	if note.HasErrors(problems) {
		WriteError(w, result.New(result.NoteInvalid, "the note has errors; nothing of it was applied"), problems...)
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

// check decodes a note and finds its errors. When a field is wrong, the errors
// against the catalog in force are reported with it.
func (s *Server) check(data []byte) (note.Note, []note.Problem) {
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

// state returns the agreed state, or answers that there is none yet.
func (s *Server) state(w http.ResponseWriter) *agreed.State {
	v := s.opts.View.Current()
	if v.State == nil {
		WriteError(w, result.New(result.NoConfigLease, "the host has not heard from the control hosts yet"))
		return nil
	}
	w.Header().Set("Galenabridge-Lease-Valid", leaseText(v.Valid()))
	return v.State
}

func leaseText(valid bool) string {
	if valid {
		return "true"
	}
	return "false"
}

func (s *Server) history(w http.ResponseWriter, _ *http.Request) {
	state := s.state(w)
	if state == nil {
		return
	}
	stamps := state.History
	if stamps == nil {
		stamps = []note.Stamp{}
	}
	WriteJSON(w, http.StatusOK, stamps)
}

func (s *Server) current(w http.ResponseWriter, _ *http.Request) {
	if state := s.state(w); state != nil {
		WriteJSON(w, http.StatusOK, state.Catalog.Redacted())
	}
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := s.opts.Control.Status(ctx)
	if err != nil {
		WriteError(w, err)
		return
	}
	WriteJSON(w, http.StatusOK, status)
}
