package entry

import (
	"slices"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// identity is whom a session serves.
type identity struct {
	workspace string
	service   string
	// key is the key that the caller proved to hold; it is empty on open
	// workspaces.
	key  note.Key
	open bool
}

// check reports why the identity may not be served under the agreed state.
func (id identity) check(v view.View) error {
	if v.State == nil {
		return nil // the lease is checked elsewhere
	}
	catalog := &v.State.Catalog
	ws, ok := catalog.Workspaces[id.workspace]
	if !ok {
		return result.New(result.KeyWithdrawn, "workspace %q was withdrawn", id.workspace)
	}
	if err := id.checkKey(catalog, ws); err != nil {
		return err
	}
	if _, ok := catalog.Services[id.service]; !ok {
		return result.New(result.UnknownService, "%q", id.service)
	}
	if len(ws.Services) > 0 && !slices.Contains(ws.Services, id.service) {
		return result.New(result.NotAllowed, "workspace %q may not use service %q", id.workspace, id.service)
	}
	return nil
}

func (id identity) checkKey(catalog *note.Catalog, ws note.Workspace) error {
	if id.open {
		if !ws.Open {
			return result.New(result.KeyWithdrawn, "workspace %q is not open any more", id.workspace)
		}
		return nil
	}
	if catalog.Keys[id.key.ID] != id.key {
		return result.New(result.KeyWithdrawn, "key %q", id.key.ID)
	}
	return nil
}

// guard reports why a statement may not be sent now.
func (s *session) authorize() error {
	v := s.srv.opts.View.Current()
	if !v.Valid() {
		return result.New(result.NoConfigLease, "the configuration lease ended")
	}
	host, registered := v.State.Hosts[s.srv.opts.Settings.Host]
	if registered && host.Registered > v.Settled {
		return result.New(result.NoConfigLease, "the host is not known to the whole fleet yet")
	}
	if err := s.identity.check(v); err != nil {
		return err
	}
	if v.State.Catalog.Services[s.identity.service].Leaving {
		return result.New(result.ServiceLeaving, "%q", s.identity.service)
	}
	return nil
}
