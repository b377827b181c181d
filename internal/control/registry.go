package control

import (
	"context"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/bounds"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Registry accepts documents, failure domain changes and endpoint announcements on a
// control host, and acknowledges each once it is part of the agreed state.
type Registry struct {
	host *Host
	view view.Source
}

// NewRegistry returns the registry of a control host. src is the view of the agreed
// state on the same host.
func NewRegistry(host *Host, src view.Source) *Registry {
	return &Registry{host: host, view: src}
}

// PutDocument puts a document in force. It changes nothing if a document with the same or
// a higher number is in force. An invalid document returns result code NoteInvalid with
// all its errors. On NoQuorum or NotLeader the outcome is unknown and the same document
// may be sent again.
func (r *Registry) PutDocument(ctx context.Context, d note.Document, source []byte) error {
	catalog, problems := d.Catalog()
	if note.HasErrors(problems) {
		return result.New(result.NoteInvalid, "document %d: %v", d.Number, problems)
	}
	out, err := r.host.Propose(ctx, agreed.Command{PutCatalog: &agreed.PutCatalog{
		Document: agreed.Document{Number: d.Number, Source: source}, Catalog: catalog,
	}})
	if err != nil {
		return err
	}
	return out.Err()
}

// Position returns the position in the log up to which this host has applied it. An order that was
// sent after the sender learned this position is newer than all orders up to it.
func (r *Registry) Position() uint64 { return r.host.position.Load() }

// SetDomain takes a failure domain out of use or puts it back into use. after is a position that
// the sender learned before it sent the order; see Position. If another order about the domain has
// been accepted since, the order may be read long after its sender has gone: it changes nothing and
// fails with OrderOvertaken, and overtakenAt is the position of the other one.
func (r *Registry) SetDomain(ctx context.Context, d note.Domain, after uint64) (overtakenAt uint64, err error) {
	out, err := r.host.ProposeOrder(ctx, agreed.Command{SetDomain: &agreed.SetDomain{Domain: d}}, after)
	if err != nil {
		return 0, err
	}
	return out.Position, out.Err()
}

// CurrentProcess returns the start time of the present process of an endpoint, and false if this
// host knows no such endpoint. It fails if the host has no state, or with MalformedMessage if there
// can be no such endpoint.
func (r *Registry) CurrentProcess(id string) (startedMS uint64, known bool, err error) {
	if err := bounds.Name("endpoint", id); err != nil {
		return 0, false, err
	}
	state := r.view.Current().State
	if state == nil {
		return 0, false, result.New(result.NoQuorum, "the host has no state yet")
	}
	e, known := state.Endpoints[id]
	return e.StartedMS, known, nil
}

// Announce proposes an endpoint's announcement. One that changes nothing, or that is
// outdated (see agreed.State.CheckStale), is acknowledged at once. A refusal is
// logged and not returned, unless the announcement cannot be that of an endpoint.
func (r *Registry) Announce(ctx context.Context, e agreed.Endpoint) error {
	if err := e.Check(); err != nil {
		return err
	}
	state := r.view.Current().State
	if state == nil {
		return result.New(result.NoQuorum, "the host has no state yet")
	}
	if state.HasEndpoint(e) || state.CheckStale(e).Code != 0 {
		return nil
	}
	if _, exists := state.Catalog.Services[e.Service]; !exists && state.Catalog.Stamp.Number == 0 {
		return nil // a later announcement is accepted once there is a catalog
	}
	out, err := r.host.Propose(ctx, agreed.Command{PutEndpoint: &agreed.PutEndpoint{Endpoint: e}})
	if err != nil {
		return err
	}
	if out.Code != 0 {
		r.host.log.Info("endpoint_refused", "endpoint", e.ID, "service", e.Service, "code", int(out.Code), "detail", out.Detail)
		return nil
	}
	r.host.log.Info("endpoint_agreed", "endpoint", e.ID, "service", e.Service, "addr", e.Addr, "domain", e.Domain,
		"born", e.StartedMS, "seq", e.Seq, "leaving", e.Leaving, "revision", out.Revision)
	return nil
}

// Retire removes an endpoint that has left. startedMS identifies its process by
// start time; zero means the current one.
func (r *Registry) Retire(ctx context.Context, id string, startedMS uint64) error {
	out, err := r.host.Propose(ctx, agreed.Command{RetireEndpoint: &agreed.RetireEndpoint{ID: id, StartedMS: startedMS}})
	if err != nil {
		return err
	}
	r.host.log.Info("endpoint_retired", "endpoint", id, "born", startedMS, "revision", out.Revision)
	return out.Err()
}
