// Package announce receives the announcements of endpoints over HTTP and responds
// with the agreed primary of their group. An endpoint may announce itself to any
// host, which forwards the announcement to the control leader.
package announce

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/galenabridge/galenabridge/internal/admin"
	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Limits of an announcement.
const (
	maxBodyBytes = 16 << 10
	maxNameBytes = 63 // of the service, the ID and the failure domain each
)

// Roles that an endpoint reports for itself.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

// Request is the JSON body of an announcement.
type Request struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	// Addr is the IP address and port of the database server.
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Role   string `json:"role"`
	// Timeline is the database timeline, LSN the flushed log position in the format
	// of the database, such as "16/B374D848".
	Timeline uint32 `json:"timeline"`
	LSN      string `json:"lsn"`
	// Leaving requests that the endpoint be taken out of use.
	Leaving bool `json:"leaving,omitempty"`
}

// Response is the agreed state of the endpoint's group in the view of the host. A
// primary that gets another one as Primary is deposed and must follow it.
type Response struct {
	Term        uint64       `json:"term"`
	Phase       agreed.Phase `json:"phase,omitempty"`
	Primary     string       `json:"primary"`
	PrimaryAddr string       `json:"primary_addr"`
	// Member reports whether the endpoint belongs to the group.
	Member bool `json:"member"`
}

// Sender forwards announcements to the control leader. *control.Subscriber
// implements it.
type Sender interface {
	Announce(a control.Announcement)
}

// Handler is the HTTP handler of announcements.
type Handler struct {
	view   view.Source
	sender Sender
}

// NewHandler returns a Handler that responds from the view of source.
func NewHandler(source view.Source, sender Sender) *Handler {
	return &Handler{view: source, sender: sender}
}

// ServeHTTP forwards the announcement in the request body and writes a Response. A
// malformed announcement is rejected and not forwarded.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a, err := parse(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		admin.WriteError(w, err)
		return
	}
	h.sender.Announce(a)
	admin.WriteJSON(w, http.StatusOK, h.response(a.Endpoint))
}

func parse(body io.Reader) (control.Announcement, error) {
	var r Request
	dec := json.NewDecoder(body)
	if err := dec.Decode(&r); err != nil {
		return control.Announcement{}, result.New(result.MalformedMessage, "announcement: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return control.Announcement{}, result.New(result.MalformedMessage, "announcement: text after the JSON object")
	}
	if err := r.check(); err != nil {
		return control.Announcement{}, err
	}
	lsn, err := parseLSN(r.LSN)
	if err != nil {
		return control.Announcement{}, err
	}
	endpoint := agreed.Endpoint{ID: r.ID, Service: r.Service, Addr: r.Addr, Domain: r.Domain}
	if err := endpoint.Check(); err != nil {
		return control.Announcement{}, err
	}
	return control.Announcement{
		Endpoint: endpoint,
		Primary:  r.Role == RolePrimary,
		Timeline: r.Timeline,
		LSN:      lsn,
		Leaving:  r.Leaving,
	}, nil
}

func (r Request) check() error {
	names := []struct{ field, value string }{{"service", r.Service}, {"id", r.ID}, {"domain", r.Domain}}
	for _, name := range names {
		if name.value == "" || len(name.value) > maxNameBytes {
			return result.New(result.MalformedMessage, "announcement: %s must have 1 to %d bytes", name.field, maxNameBytes)
		}
	}
	if _, err := netip.ParseAddrPort(r.Addr); err != nil {
		return result.New(result.MalformedMessage, "announcement: addr: %v", err)
	}
	if r.Role != RolePrimary && r.Role != RoleReplica {
		return result.New(result.MalformedMessage, "announcement: role must be %s or %s", RolePrimary, RoleReplica)
	}
	return nil
}

// parseLSN parses a log position in the format of the database, two hexadecimal
// numbers of 32 bits separated by a slash. An empty text is position zero.
func parseLSN(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	high, low, ok := strings.Cut(text, "/")
	h, errHigh := strconv.ParseUint(high, 16, 32)
	l, errLow := strconv.ParseUint(low, 16, 32)
	if !ok || errHigh != nil || errLow != nil {
		return 0, result.New(result.MalformedMessage, "announcement: lsn %.40q is not a log position", text)
	}
	return h<<32 | l, nil
}

// response returns the state of an endpoint's group in the view of this host, the
// zero Response if the host has no state yet.
func (h *Handler) response(e agreed.Endpoint) Response {
	s := h.view.Current().State
	if s == nil {
		return Response{}
	}
	g := s.Groups[e.Service]
	_, member := s.Endpoints[e.ID]
	return Response{
		Term:        g.Term,
		Phase:       g.Phase,
		Primary:     g.Primary,
		PrimaryAddr: s.Endpoints[g.Primary].Addr,
		Member:      member,
	}
}
