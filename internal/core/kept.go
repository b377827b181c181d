package core

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/budget"
	"github.com/galenabridge/galenabridge/internal/result"
)

const (
	// maxKeptItems and maxKeptBytes bound the prepared statements and values of a session. Callers
	// have a few of some KB; the bytes allow for three messages of the largest size beside them.
	maxKeptItems = 256
	maxKeptBytes = 4 << 20
	// keptOverhead is the memory of an item beside its name and text, in bytes.
	keptOverhead = 128
	// forwardCopies is the number of copies of a forwarded statement beside the caller's message:
	// at this host the encoded request, the envelope around it and the queue of the peer; at the
	// other one the message, the decoded request and the command for the endpoint.
	forwardCopies = 3
)

// keptSize returns the memory that an item with a name and a text takes, in bytes.
func keptSize(name, text string) int64 { return int64(len(name) + len(text) + keptOverhead) }

// setValue sets a value of the session. The strings are copied, since they are parts of the
// caller's message.
func (s *Session) setValue(st Statement) Reply {
	former, exists := s.values[st.Name]
	growth := keptSize(st.Name, st.Text)
	if exists {
		growth -= keptSize(st.Name, former)
	}
	if err := s.keep(growth, exists); err != nil {
		return refuse(err)
	}
	s.valueBytes += growth
	s.values[strings.Clone(st.Name)] = strings.Clone(st.Text)
	return Reply{}
}

// prepare creates a prepared statement.
func (s *Session) prepare(st Statement) Reply {
	former, exists := s.prepared[st.Name]
	growth := keptSize(st.Name, st.Text)
	if exists {
		growth -= keptSize(st.Name, former.text)
	}
	if err := s.keep(growth, exists); err != nil {
		return refuse(err)
	}
	s.prepared[strings.Clone(st.Name)] = preparedStatement{text: strings.Clone(st.Text), writes: st.Writes}
	return Reply{}
}

// forget deallocates a prepared statement.
func (s *Session) forget(name string) {
	former, exists := s.prepared[name]
	if !exists {
		return
	}
	delete(s.prepared, name)
	size := keptSize(name, former.text)
	s.keptBytes -= size
	_ = s.account.Keep(-size) // returning memory does not fail
}

// keep changes what the session keeps by growth bytes, unless it would be too much. replaces tells
// that the number of items stays the same.
func (s *Session) keep(growth int64, replaces bool) *result.Error {
	items := len(s.values) + len(s.prepared)
	if growth > 0 && s.keptBytes+growth > maxKeptBytes || !replaces && items >= maxKeptItems {
		s.srv.opts.Budget.Limited(budget.SessionKept, "workspace", s.workspace, "items", items, "bytes", s.keptBytes+growth)
		return result.New(result.SessionTooLarge, "the session keeps %d items of %d bytes in all, at most %d and %d bytes", items, s.keptBytes, maxKeptItems, int64(maxKeptBytes))
	}
	if err := s.account.Keep(growth); err != nil {
		if errors.Is(err, budget.ErrWorkspaceFull) {
			return result.New(result.SessionTooLarge, "%v", err)
		}
		return errHostFull(err)
	}
	s.keptBytes += growth
	return nil
}

// errHostFull returns the refusal of a statement that was not sent for lack of memory.
func errHostFull(cause error) *result.Error {
	return withRetryAfter(result.New(result.HostFull, "%v", cause))
}

// statementBytes returns the size of a statement with the values and the prepared text that are
// sent with it.
func (s *Session) statementBytes(st Statement) int64 {
	size := int64(len(st.ID)+len(st.Name)+len(st.Text)) + s.valueBytes
	if st.Kind == Execute {
		size += int64(len(s.prepared[st.Name].text))
	}
	return size
}

// reserveCopies reserves memory for copies of a statement until it has been answered.
func (s *Session) reserveCopies(st Statement, copies int64) *result.Error {
	if err := s.account.Reserve(copies * s.statementBytes(st)); err != nil {
		return errHostFull(err)
	}
	return nil
}

// answerDropped returns the reply to a statement outside of a transaction whose answer did not fit into
// the memory for callers. It was sent.
func answerDropped(writes bool) Reply {
	if writes {
		return refuse(result.New(result.OutcomeUnknown, "the answer was lost: %v", budget.ErrFull))
	}
	return refuse(result.New(result.AnswerTooLarge, "%v", budget.ErrFull))
}
