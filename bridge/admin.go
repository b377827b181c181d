package bridge

import (
	"github.com/galenabridge/galenabridge/internal/admin"
	"github.com/galenabridge/galenabridge/internal/announce"
)

// buildAdmin builds the admin server.
func (h *Host) buildAdmin() error {
	server, err := admin.New(admin.Options{
		Listen:    h.settings.Admin.Listen,
		Token:     h.settings.Admin.Token,
		Control:   h.subscriber,
		View:      h.view,
		Announce:  announce.NewHandler(h.view, h.subscriber),
		Accepting: h.healthy,
		Gatherer:  h.registry,
		Logger:    h.log,
	})
	if err != nil {
		return err
	}
	h.admin = server
	return nil
}

// healthy is the result of the load balancer's health check. It reports whether the host
// accepts callers and holds a valid configuration lease.
func (h *Host) healthy() bool {
	return h.accepting.Load() && h.view.Current().Valid()
}
