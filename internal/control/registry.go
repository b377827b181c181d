package control

import (
	"context"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Registry takes what operators and endpoints tell a control host, and
// acknowledges it once it is agreed.
type Registry struct {
	host *Host
	view view.Source
}

// NewRegistry returns the registry of a control host that follows the agreed
// state.
func NewRegistry(host *Host, src view.Source) *Registry {
	return &Registry{host: host, view: src}
}

// PutDocument puts a document in force unless an equal or higher number is. It
// returns result code NoteInvalid with every fault when it has any, and NoQuorum
// or NotLeader when the outcome is open; the same document may be sent again.
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

// SetDomain takes a failure domain out of use or back.
func (r *Registry) SetDomain(ctx context.Context, d note.Domain) error {
	out, err := r.host.Propose(ctx, agreed.Command{SetDomain: &agreed.SetDomain{Domain: d}})
	if err != nil {
		return err
	}
	return out.Err()
}

// Announce takes an endpoint's announcement. One that says nothing new, or
// comes from a process that another has followed, is acknowledged at once.
func (r *Registry) Announce(ctx context.Context, e agreed.Endpoint) error {
	state := r.view.Current().State
	if state == nil {
		return result.New(result.NoQuorum, "the host has no state yet")
	}
	if state.HasEndpoint(e) || state.CheckStale(e).Code != 0 {
		return nil
	}
	if _, known := state.Catalog.Services[e.Service]; !known && state.Catalog.Stamp.Number == 0 {
		return nil // taken in by a later announcement, once there is a catalog
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

// Retire takes an endpoint out that has left.
func (r *Registry) Retire(ctx context.Context, id string, born uint64) error {
	out, err := r.host.Propose(ctx, agreed.Command{RetireEndpoint: &agreed.RetireEndpoint{ID: id, StartedMS: born}})
	if err != nil {
		return err
	}
	r.host.log.Info("endpoint_retired", "endpoint", id, "born", born, "revision", out.Revision)
	return out.Err()
}
