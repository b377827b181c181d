package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// fakeControl applies commands to a local state. Its status is always unavailable.
type fakeControl struct {
	views *view.Publisher
	state *agreed.State
}

func newFakeControl() *fakeControl {
	f := &fakeControl{views: view.NewPublisher(), state: agreed.New()}
	f.views.Publish(view.View{State: f.state})
	return f
}

func (f *fakeControl) Propose(_ context.Context, c agreed.Command) (agreed.Outcome, error) {
	var out agreed.Outcome
	f.state, out = agreed.Apply(f.state, f.state.Revision+1, c)
	f.views.Publish(view.View{State: f.state})
	return out, nil
}

func (f *fakeControl) Status(context.Context) (control.Status, error) {
	return control.Status{}, result.New(result.NoQuorum, "no control host answers")
}

// serve passes a request from another host to s and returns the status code and body.
func serve(s *Server, method, path, body, token string) (int, string) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.RemoteAddr = "192.0.2.1:99"
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	s.Handler().ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

const token = "a token of operators"

const firstNote = `{"number":1,"title":"first","added":{"workspaces":[{"name":"w","rate":1,"burst":1,"class":"bulk"}]}}`

func newServer(t *testing.T) *Server {
	t.Helper()
	f := newFakeControl()
	accepting := true
	return &Server{opts: Options{Token: token, Control: f, View: f.views, Accepting: func() bool { return accepting }, Logger: discardLogger()}}
}

// TestPostNoteMarksRepeatedNote posts the same note twice, as an operator does after a
// lost response. The second response must be marked as repeated.
func TestPostNoteMarksRepeatedNote(t *testing.T) {
	s := newServer(t)
	for _, repeated := range []bool{false, true} {
		code, body := serve(s, "POST", "/v1/notes", firstNote, token)
		var resp NoteResponse
		if err := json.Unmarshal([]byte(body), &resp); code != http.StatusOK || err != nil || resp.Repeated != repeated || resp.Stamp.Number != 1 {
			t.Fatalf("status %d, want 200 and note 1, marked as repeated the second time only: %s", code, body)
		}
	}
	code, body := serve(s, "GET", "/v1/notes", "", token)
	if code != http.StatusOK || !strings.Contains(body, `"title":"first"`) {
		t.Errorf("history: status %d, want 200 and the title first: %s", code, body)
	}
	code, body = serve(s, "GET", "/v1/notes/current", "", token)
	if code != http.StatusOK || !strings.Contains(body, `"w":{`) {
		t.Errorf("current catalog: status %d, want 200 and workspace w: %s", code, body)
	}
}

// TestErrorResponsesCarryResultCodes checks the HTTP status and the result code of each
// kind of error.
func TestErrorResponsesCarryResultCodes(t *testing.T) {
	s := newServer(t)
	serve(s, "POST", "/v1/notes", firstNote, token)
	tests := []struct {
		method, path, body, token string
		status                    int
		code                      result.Code
	}{
		{"POST", "/v1/notes", strings.Replace(firstNote, "first", "other", 1), token, http.StatusConflict, result.NoteConflict},
		{"POST", "/v1/notes", strings.Replace(firstNote, `"number":1`, `"number":7`, 1), token, http.StatusConflict, result.NoteOutOfOrder},
		{"POST", "/v1/notes", `{"number":2,"unknown":1}`, token, http.StatusUnprocessableEntity, result.NoteInvalid},
		{"POST", "/v1/notes", firstNote, "", http.StatusUnauthorized, result.BadKey},
		{"POST", "/v1/notes", firstNote, "another token", http.StatusUnauthorized, result.BadKey},
		{"GET", "/v1/status", "", token, http.StatusServiceUnavailable, result.NoQuorum},
		{"GET", "/nowhere", "", token, http.StatusNotFound, result.UnsupportedFeature},
	}
	for _, test := range tests {
		status, body := serve(s, test.method, test.path, test.body, test.token)
		var r ErrorResponse
		if err := json.Unmarshal([]byte(body), &r); err != nil || status != test.status || r.Code != test.code || r.Name == "" {
			t.Errorf("%s %s: unexpected status %d or result code: %s", test.method, test.path, status, body)
		}
	}
}

func TestServerWithoutTokenServesLoopbackOnly(t *testing.T) {
	s := newServer(t)
	s.opts.Token = ""
	if status, body := serve(s, "GET", "/v1/notes", "", ""); status != http.StatusForbidden {
		t.Errorf("from another host: status %d, want 403: %s", status, body)
	}
	r := httptest.NewRequest("GET", "/v1/notes", nil)
	r.RemoteAddr = "127.0.0.1:99"
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		t.Errorf("from loopback: status %d, want 200: %s", w.Code, w.Body)
	}
}

func TestHealthReportsAccepting(t *testing.T) {
	s := newServer(t)
	if status, _ := serve(s, "GET", "/healthz", "", ""); status != http.StatusOK {
		t.Errorf("accepting: status %d, want 200", status)
	}
	s.opts.Accepting = func() bool { return false }
	if status, _ := serve(s, "GET", "/healthz", "", ""); status != http.StatusServiceUnavailable {
		t.Errorf("not accepting: status %d, want 503", status)
	}
}

func discardLogger() *log.Logger { return log.New(io.Discard) }

// TestDecodeNoteReportsFieldAndReferenceErrors decodes a note with an invalid field that
// also withdraws a key that does not exist. Both problems must be reported at once.
func TestDecodeNoteReportsFieldAndReferenceErrors(t *testing.T) {
	publisher := view.NewPublisher()
	publisher.Publish(view.View{State: agreed.New()})
	s := &Server{opts: Options{View: publisher}}
	_, problems := s.decodeNote([]byte(`{"number":1,"added":{"domains":[{"name":""}]},"withdrawn":{"keys":["x"]}}`))
	paths := make(map[string]bool)
	for _, p := range problems {
		paths[p.Path] = true
	}
	for _, want := range []string{"added.domains[0].name", "added.domains[0].region", "withdrawn.keys[0]"} {
		if !paths[want] {
			t.Errorf("no problem at %s: %v", want, problems)
		}
	}
}
