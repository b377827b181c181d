package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/note"
)

// requestTimeout bounds one request to an admin address.
const requestTimeout = 20 * time.Second

// maxAnswerBytes bounds the size of an answer that is read.
const maxResponseBytes = 64 << 20

// adminOptions are the flags of commands that talk to a host.
type adminOptions struct {
	Admin     []string `long:"admin" env:"GALENABRIDGE_ADMIN" env-delim:"," value-name:"URL" default:"http://127.0.0.1:7080" description:"admin address of a host; may be repeated, the next one is tried when one does not answer"`
	TokenFile string   `long:"token-file" env:"GALENABRIDGE_TOKEN_FILE" value-name:"FILE" description:"file that holds the operators' token"`
}

// refusal is the body of an answer that is not a success.
type errorResponse struct {
	Code     int            `json:"code"`
	Name     string         `json:"name"`
	Detail   string         `json:"detail"`
	Problems []note.Problem `json:"problems"`
}

func (r errorResponse) describe() string {
	lines := []string{r.Name + ": " + r.Detail}
	for _, p := range r.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// do sends a request to the first admin address that answers and decodes the
// answer into out. A refusal becomes an error with ExitRefused.
func (o *adminOptions) do(method, path string, body []byte, out any) error {
	token, err := o.token()
	if err != nil {
		return err
	}
	var last error
	for _, base := range o.Admin {
		last = doRequest(method, strings.TrimSuffix(base, "/")+path, token, body, out)
		var exit *exitError
		if last == nil || errors.As(last, &exit) {
			return last
		}
	}
	return exitWith(ExitUnreachable, errors.Wrap(last, "no host answered"))
}

func (o *adminOptions) token() (string, error) {
	if o.TokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(o.TokenFile)
	if err != nil {
		return "", exitWith(ExitUsage, errors.Wrap(err, "token file"))
	}
	return strings.TrimSpace(string(data)), nil
}

func doRequest(method, url, token string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp, data)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode the answer")
}

func responseError(resp *http.Response, data []byte) error {
	var r errorResponse
	if err := json.Unmarshal(data, &r); err != nil || r.Code == 0 {
		return exitWith(ExitRefused, errors.Errorf("%s: %s", resp.Status, bytes.TrimSpace(data)))
	}
	return exitWith(ExitRefused, errors.Errorf("GB%d %s", r.Code, r.describe()))
}
