package entry

import (
	"testing"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
)

// TestRouteViewLeavingEndpointOutOfUse checks that an endpoint that leaves, and one in a failure
// domain that is out, get no new work.
func TestRouteViewLeavingEndpointOutOfUse(t *testing.T) {
	state := agreed.New()
	state.Catalog.Services["s"] = note.Service{Name: "s"}
	state.Catalog.Domains["out"] = note.Domain{Name: "out", Out: true}
	state.Endpoints["used"] = agreed.Endpoint{ID: "used", Domain: "d"}
	state.Endpoints["leaving"] = agreed.Endpoint{ID: "leaving", Domain: "d", Leaving: true}
	state.Endpoints["out"] = agreed.Endpoint{ID: "out", Domain: "out"}
	state.Groups["s"] = agreed.Group{Service: "s", Members: []string{"used", "leaving", "out"}}
	for _, m := range routeView(state, "s").Members {
		if want := m.Endpoint != "used"; m.OutOfUse != want {
			t.Errorf("%s: out of use %t, want %t", m.Endpoint, m.OutOfUse, want)
		}
	}
}
