package localfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/standin"
)

// pollInterval is the pause between two attempts of Poll.
const pollInterval = 20 * time.Millisecond

// Start starts all processes, applies the initial note and waits until every host
// serves every service to the first workspace. change, if not nil, modifies the note
// before it is sent.
func (f *Fleet) Start(ctx context.Context, change func(*note.Note)) error {
	for _, h := range f.Hosts {
		if err := f.StartHost(h); err != nil {
			return err
		}
	}
	if err := f.startEndpoints(); err != nil {
		return err
	}
	n := f.initialNote()
	if change != nil {
		change(&n)
	}
	if err := f.applyUntilAccepted(ctx, n); err != nil {
		return err
	}
	return f.AwaitServing(ctx)
}

// StartHost starts the process of a host.
func (f *Fleet) StartHost(h *Host) error {
	args := []string{"serve", "--config", h.SettingsFile}
	if f.opts.Policy != "" {
		args = append(args, "--policy", f.opts.Policy)
	}
	p, err := startProcess(f.opts.Program, h.Name, args)
	if err != nil {
		return err
	}
	h.Proc = p
	f.opts.OnStart(h.Name, p)
	return nil
}

// startEndpoints starts all endpoints. The first one of each service is the primary.
func (f *Fleet) startEndpoints() error {
	primaries := make(map[string]string)
	for _, e := range f.Endpoints {
		role := standin.RoleReplica
		if primaries[e.Service] == "" {
			role = standin.RolePrimary
		}
		if err := f.StartEndpoint(e, role, primaries[e.Service]); err != nil {
			return err
		}
		if role == standin.RolePrimary {
			primaries[e.Service] = e.Addr
		}
	}
	return nil
}

// StartEndpoint starts the process of an endpoint. With a data folder from an
// earlier start the endpoint resumes the stored role instead of the given one.
func (f *Fleet) StartEndpoint(e *Endpoint, role standin.Role, upstream string) error {
	p, err := startProcess(f.opts.Program, e.ID, f.endpointArgs(e, role, upstream))
	if err != nil {
		return err
	}
	e.Proc = p
	f.opts.OnStart(e.ID, p)
	return nil
}

// Stop kills all processes and waits for their end.
func (f *Fleet) Stop() {
	for _, h := range f.Hosts {
		if h.Proc != nil {
			h.Proc.Kill()
		}
	}
	for _, e := range f.Endpoints {
		if e.Proc != nil {
			e.Proc.Kill()
		}
	}
}

// applyUntilAccepted sends a note to the first host until it is accepted.
func (f *Fleet) applyUntilAccepted(ctx context.Context, n note.Note) error {
	err := Poll(ctx, func() error {
		_, err := f.PostNote(ctx, f.Hosts[0], n)
		return err
	})
	if err != nil {
		return errors.Wrapf(err, "apply note %d", n.Number)
	}
	f.LastNote = n.Number
	return nil
}

// Poll calls try until it succeeds. If ctx ends first it returns the last error of
// try.
func Poll(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "gave up retrying")
		case <-time.After(pollInterval):
		}
	}
}

// AwaitServing waits until every host answers reads of every service for the first
// workspace.
func (f *Fleet) AwaitServing(ctx context.Context) error {
	workspace := f.opts.Workspaces[0].Name
	for _, h := range f.Hosts {
		for _, s := range f.opts.Services {
			err := Poll(ctx, func() error { return countRecords(ctx, f.URL(h, workspace, s.Name)) })
			if err != nil {
				return errors.Wrapf(err, "%s does not serve %s", h.Name, s.Name)
			}
		}
	}
	return nil
}

// countRecords connects to url and reads the number of records, which shows that
// reads are served.
func countRecords(ctx context.Context, url string) error {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	var n int64
	return conn.QueryRow(ctx, "select count(*) from records").Scan(&n)
}

// URL returns the URL by which a caller connects with the workspace's first key.
func (f *Fleet) URL(h *Host, workspace, service string) string {
	return CallerURL(h, workspace, f.Keys[workspace+"-1"], service)
}

// CallerURL returns the URL by which a caller connects to a service through a host
// with the given key.
func CallerURL(h *Host, workspace, key, service string) string {
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(workspace, key), Host: h.Settings.Entry.Listen,
		Path: "/" + service, RawQuery: "sslmode=disable&connect_timeout=30",
	}
	return u.String()
}

// DirectURL returns the URL of a direct connection to the endpoint, which bypasses
// the hosts.
func (e *Endpoint) DirectURL() string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", ServiceUser, ServicePassword, e.Listen, Database)
}

// NoteResponse is the admin API's response to an accepted note.
type NoteResponse struct {
	Stamp note.Stamp `json:"stamp"`
	// Repeated reports that the same note had been accepted before.
	Repeated bool `json:"repeated"`
}

// StatusError is an HTTP response with a status of 400 or above.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("HTTP %d: %s", e.Status, e.Body) }

// PostNote sends a note to a host once. It returns a StatusError if the host does
// not accept the note.
func (f *Fleet) PostNote(ctx context.Context, h *Host, n note.Note) (NoteResponse, error) {
	body, err := json.Marshal(n)
	if err != nil {
		return NoteResponse{}, err
	}
	var response NoteResponse
	err = doJSON(ctx, http.MethodPost, "http://"+h.Settings.Admin.Listen+"/v1/notes", body, &response)
	return response, err
}

// Apply sends a note with the number LastNote+1 and the content that change fills in
// to a host, until the note is accepted or ctx ends.
func (f *Fleet) Apply(ctx context.Context, h *Host, change func(*note.Note)) error {
	n := note.Note{Number: f.LastNote + 1}
	change(&n)
	err := Poll(ctx, func() error {
		_, err := f.PostNote(ctx, h, n)
		return err
	})
	if err == nil {
		f.LastNote = n.Number
	}
	return errors.Wrapf(err, "apply note %d", n.Number)
}

// CurrentCatalog returns the current catalog as reported by a host.
func (f *Fleet) CurrentCatalog(ctx context.Context, h *Host) (note.Catalog, error) {
	var c note.Catalog
	err := doJSON(ctx, http.MethodGet, "http://"+h.Settings.Admin.Listen+"/v1/notes/current", nil, &c)
	return c, err
}

// ControlStatus returns the status of the control hosts as reported by a host.
func (f *Fleet) ControlStatus(ctx context.Context, h *Host) (control.Status, error) {
	var s control.Status
	err := doJSON(ctx, http.MethodGet, "http://"+h.Settings.Admin.Listen+"/v1/status", nil, &s)
	return s, err
}

// SetFaults changes the faults that an endpoint simulates.
func (e *Endpoint) SetFaults(ctx context.Context, r standin.FaultRequest) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return doJSON(ctx, http.MethodPost, "http://"+e.Control+"/v1/faults", body, nil)
}

// Status returns the status that an endpoint reports.
func (e *Endpoint) Status(ctx context.Context) (standin.Status, error) {
	var s standin.Status
	err := doJSON(ctx, http.MethodGet, "http://"+e.Control+"/v1/status", nil, &s)
	return s, err
}

// Primary returns the endpoint of a service that reports the primary role on the
// newest timeline, or nil if none does. Endpoints that do not respond are skipped.
func (f *Fleet) Primary(ctx context.Context, service string) *Endpoint {
	var found *Endpoint
	var newest uint32
	for _, e := range f.Endpoints {
		if e.Service != service {
			continue
		}
		s, err := e.Status(ctx)
		if err == nil && s.Role == standin.RolePrimary && s.Timeline > newest {
			found, newest = e, s.Timeline
		}
	}
	return found
}

// doJSON sends an HTTP request and decodes the JSON response into out, unless out is
// nil or the response is empty. A status of 400 or above returns a StatusError.
func doJSON(ctx context.Context, method, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusBadRequest {
		return &StatusError{Status: res.StatusCode, Body: string(data)}
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), string(data))
}
