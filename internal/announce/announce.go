// Package announce takes the announcements of endpoints over HTTP and tells
// them the primary that the fleet has agreed on. An endpoint may announce itself
// to any host; the host passes the announcement on to the control leader.
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
	maxBytes = 16 << 10
	maxName  = 63 // bytes
)

// Roles of an endpoint as it sees itself.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

// Request is an announcement.
type Request struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	// Addr is the IP address and port of the database server.
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Role   string `json:"role"`
	// Timeline is the database timeline, LSN the flushed position as the
	// database prints it, such as "16/B374D848".
	Timeline uint32 `json:"timeline"`
	LSN      string `json:"lsn"`
	// Leaving asks to be taken out of use.
	Leaving bool `json:"leaving,omitempty"`
}

// Response names the primary that the fleet has agreed on. A primary that finds
// another one named is deposed and must follow it.
type Response struct {
	Term        uint64       `json:"term"`
	Phase       agreed.Phase `json:"phase,omitempty"`
	Primary     string       `json:"primary"`
	PrimaryAddr string       `json:"primary_addr"`
	// Member tells whether the endpoint belongs to the group.
	Member bool `json:"member"`
}

// Sender passes announcements on. *control.Subscriber implements it.
type Sender interface {
	Announce(a control.Announcement)
}

// Handler answers announcements.
type Handler struct {
	view   view.Source
	sender Sender
}

// NewHandler returns a Handler.
func NewHandler(source view.Source, sender Sender) *Handler {
	return &Handler{view: source, sender: sender}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a, err := parse(http.MaxBytesReader(w, r.Body, maxBytes))
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
	return control.Announcement{
		Endpoint: agreed.Endpoint{ID: r.ID, Service: r.Service, Addr: r.Addr, Domain: r.Domain},
		Primary:  r.Role == RolePrimary,
		Timeline: r.Timeline,
		LSN:      lsn,
		Leaving:  r.Leaving,
	}, nil
}

func (r Request) check() error {
	names := []struct{ field, value string }{{"service", r.Service}, {"id", r.ID}, {"domain", r.Domain}}
	for _, name := range names {
		if name.value == "" || len(name.value) > maxName {
			return result.New(result.MalformedMessage, "announcement: %s must have 1 to %d bytes", name.field, maxName)
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

// parseLSN parses a log position as the database prints it: two hexadecimal
// numbers of 32 bits. An empty text is position zero.
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

// answer tells the endpoint about its group as this host knows it.
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
