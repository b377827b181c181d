package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// invoke runs the command line in this process and returns its exit code and output.
func invoke(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	app := &App{Stdout: &out, Stderr: &errs, Version: "test"}
	code = app.Main(args)
	return code, out.String(), errs.String()
}

// writeFile writes text to a file in a new folder and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const validNote = `{"number":1,"added":{"domains":[{"name":"osan","region":"kr-central"}]}}`

func TestExitCodes(t *testing.T) {
	valid, invalid := writeFile(t, validNote), writeFile(t, `{"number":0}`)
	for _, c := range []struct {
		name string
		args []string
		want int
	}{
		{"help", []string{"--help"}, ExitOK},
		{"help of a subcommand", []string{"note", "apply", "--help"}, ExitOK},
		{"no command", nil, ExitUsage},
		{"unknown command", []string{"frobnicate"}, ExitUsage},
		{"unknown flag", []string{"version", "--loud"}, ExitUsage},
		{"unexpected argument", []string{"version", "now"}, ExitUsage},
		{"version", []string{"version"}, ExitOK},
		{"missing settings", []string{"serve", "--config", "/nonexistent"}, ExitUsage},
		{"valid note", []string{"note", "check", valid}, ExitOK},
		{"invalid note", []string{"note", "check", invalid}, ExitRefused},
		{"missing note", []string{"note", "check", "/nonexistent"}, ExitUsage},
		{"no host answers", []string{"note", "apply", "--admin", "http://127.0.0.1:1", valid}, ExitUnreachable},
		{"not a data folder", []string{"store", "verify", "/nonexistent"}, ExitFailure},
	} {
		if code, _, stderr := invoke(c.args...); code != c.want {
			t.Errorf("%s: exit code %d, want %d: %s", c.name, code, c.want, stderr)
		}
	}
}

func TestConfigCheckAcceptsExample(t *testing.T) {
	_, example, _ := invoke("config", "example")
	if code, _, stderr := invoke("config", "check", writeFile(t, example)); code != ExitOK {
		t.Error(stderr)
	}
}

func TestKeyNewPrintsKeyAndVerifier(t *testing.T) {
	_, out, _ := invoke("key", "new", "--workspace", "crew")
	key, rest, ok := strings.Cut(strings.TrimPrefix(out, "key="), "\nverifier=")
	if !ok || len(key) < 32 {
		t.Fatalf("unexpected output %q", out)
	}
	if _, err := note.ParseVerifier(strings.TrimSpace(rest)); err != nil {
		t.Error(err)
	}
}

// TestNoteApplyPrintsResultCode applies a note to a host that refuses it. The exit code
// and stderr must show the refusal and its result code.
func TestNoteApplyPrintsResultCode(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"code":4001,"name":"note_conflict","detail":"number 1 is in force"}`))
	}))
	defer host.Close()
	code, _, stderr := invoke("note", "apply", "--admin", host.URL, writeFile(t, validNote))
	if code != ExitRefused || !strings.Contains(stderr, "GB4001") || !strings.Contains(stderr, result.Lookup(result.NoteConflict).Name) {
		t.Errorf("exit code %d, want 3 and GB4001 with its name: %s", code, stderr)
	}
}

// TestNoteApplyTriesNextHost passes an address that refuses connections before the
// address of a host. One unreachable host must not make the command fail.
func TestNoteApplyTriesNextHost(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"stamp":{"number":1,"digest":"d"},"revision":9}`))
	}))
	defer host.Close()
	code, stdout, stderr := invoke("note", "apply", "--admin", "http://127.0.0.1:1", "--admin", host.URL, writeFile(t, validNote))
	if code != ExitOK || !strings.Contains(stdout, "revision=9") {
		t.Errorf("exit code %d, want 0 and revision=9: %s%s", code, stdout, stderr)
	}
}

func TestExplainReadsLogs(t *testing.T) {
	path := writeFile(t, `time=2026-12-04T12:00:07.000Z level=warn msg=statement_refused host=h request=id-1 code=2004 result=rate_exceeded detail="over its rate" took_ms=0`+"\n")
	for _, c := range []struct {
		args []string
		want int
		text string
	}{
		{[]string{"explain", "id-1", path}, ExitOK, "cause: rate_exceeded (GB2004) at h: over its rate"},
		{[]string{"explain", "--json", "id-1", path}, ExitOK, `"age_ms": 0`},
		{[]string{"explain", "id-2", path}, ExitFailure, "missing: no line names the request"},
		{[]string{"explain", "id-1", "/nonexistent"}, ExitUsage, ""},
		{[]string{"explain"}, ExitUsage, ""},
		{[]string{"account", path}, ExitOK, "refused: rate_exceeded=1"},
		{[]string{"account", "--json", "--interval", "1m", path}, ExitOK, `"rate_exceeded": 1`},
		{[]string{"account", "--interval", "0s", path}, ExitUsage, ""},
	} {
		code, stdout, stderr := invoke(c.args...)
		if code != c.want || !strings.Contains(stdout, c.text) {
			t.Errorf("%v: unexpected exit code %d or output %q, %s", c.args, code, stdout, stderr)
		}
	}
}
