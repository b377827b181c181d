package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestUsageShowsWindows checks that a window that was not accepted is shown with its cause, and that
// a fleet without usage reports is told apart from one without windows.
func TestUsageShowsWindows(t *testing.T) {
	body := `{"usage":{"holder":"c0","fence":7,"decided":12,"accepted":11,"pending":1,"windows":[{"window":12,"outcome":"decided",` +
		`"counts":{"crew":3,"press":40},"heard":2,"missing":["e1"],"fence":7,"attempts":2,"last_error":"status 503"}]}}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer server.Close()
	for _, c := range []struct{ command, want string }{
		{"usage", "12      decided  43        2           2      e1       7      2         status 503  press:40 crew:3"},
		{"status", "usage reports: holder c0, fence 7, decided up to window 12, accepted up to 11, 1 undelivered"},
	} {
		if code, out, stderr := invoke(c.command, "--admin", server.URL); code != ExitOK || !strings.Contains(out, c.want) {
			t.Errorf("%s: exit code %d, output %s%s", c.command, code, out, stderr)
		}
	}
	body = `{}`
	if code, _, _ := invoke("usage", "--admin", server.URL); code != ExitFailure {
		t.Errorf("exit code %d without usage reports, want %d", code, ExitFailure)
	}
}
