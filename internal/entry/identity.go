package entry

import (
	"slices"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// identity is the authenticated caller of a session and the service that it uses.
type identity struct {
	workspace string
	service   string
	// key is the key that the caller authenticated with; empty for an open workspace.
	key note.Key
	// open: the workspace admits callers without a key, for reads only.
	open bool
}

// check returns the reason why the identity may not be served under the agreed state, or
// nil. A key is valid only while the catalog holds it unchanged.
func (id identity) check(v view.View) error {
	if v.State == nil {
		return nil // authorize checks the configuration lease
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
			return result.New(result.KeyWithdrawn, "workspace %q is no longer open", id.workspace)
		}
		return nil
	}
	if catalog.Keys[id.key.ID] != id.key {
		return result.New(result.KeyWithdrawn, "key %q", id.key.ID)
	}
	return nil
}

// authorize returns the reason why no statement of the session may be sent now, or nil. A
// host serves only after every host of the fleet has seen its registration.
func (s *session) authorize() error {
	v := s.srv.opts.View.Current()
	if !v.Valid() {
		return result.New(result.NoConfigLease, "the configuration lease ended")
	}
	host, registered := v.State.Hosts[s.srv.opts.Settings.Host]
	if registered && host.Registered > v.Settled {
		return result.New(result.NoConfigLease, "the registration of the host has not reached the whole fleet yet")
	}
	if err := s.identity.check(v); err != nil {
		return err
	}
	if v.State.Catalog.Services[s.identity.service].Leaving {
		return result.New(result.ServiceLeaving, "%q", s.identity.service)
	}
	return nil
}
