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

// requestTimeout limits one request to an admin address.
const requestTimeout = 20 * time.Second

// maxResponseBytes is the maximum number of bytes read from a response.
const maxResponseBytes = 64 << 20

// adminOptions are the flags of commands that call the admin interface of a host.
type adminOptions struct {
	Admin     []string `long:"admin" env:"GALENABRIDGE_ADMIN" env-delim:"," value-name:"URL" default:"http://127.0.0.1:7080" description:"admin address of a host; may be repeated, the next one is tried when one does not answer"`
	TokenFile string   `long:"token-file" env:"GALENABRIDGE_TOKEN_FILE" value-name:"FILE" description:"file that holds the operators' token"`
}

// errorResponse is the body of an error response; see admin.ErrorResponse.
type errorResponse struct {
	Code     int            `json:"code"`
	Name     string         `json:"name"`
	Detail   string         `json:"detail"`
	Problems []note.Problem `json:"problems"`
}

// describe returns the error on one line, followed by one line per problem.
func (r errorResponse) describe() string {
	lines := []string{r.Name + ": " + r.Detail}
	for _, p := range r.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// do tries the admin addresses in order until one answers and decodes the response into
// out, unless out is nil. An error response ends the attempts with ExitRefused. If no
// address answers, the error has ExitUnreachable.
func (o *adminOptions) do(method, path string, body []byte, out any) error {
	token, err := o.token()
	if err != nil {
		return err
	}
	var lastErr error
	for _, url := range o.Admin {
		lastErr = doRequest(method, strings.TrimSuffix(url, "/")+path, token, body, out)
		var exit *exitError
		if lastErr == nil || errors.As(lastErr, &exit) {
			return lastErr
		}
	}
	return exitWith(ExitUnreachable, errors.Wrap(lastErr, "no host answered"))
}

// token returns the operators' token, or an empty string if no file is set.
func (o *adminOptions) token() (string, error) {
	if o.TokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(o.TokenFile)
	if err != nil {
		return "", exitWith(ExitUsage, errors.Wrap(err, "read token file"))
	}
	return strings.TrimSpace(string(data)), nil
}

// doRequest sends one request. Its error is an *exitError if the URL is invalid or the host
// sent an error response, and any other error if another host may be tried.
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
	return errors.Wrap(json.Unmarshal(data, out), "decode response")
}

// responseError converts an error response. A body that is not an errorResponse is shown
// as it is.
func responseError(resp *http.Response, data []byte) error {
	var r errorResponse
	if err := json.Unmarshal(data, &r); err != nil || r.Code == 0 {
		return exitWith(ExitRefused, errors.Errorf("%s: %s", resp.Status, bytes.TrimSpace(data)))
	}
	return exitWith(ExitRefused, errors.Errorf("GB%d %s", r.Code, r.describe()))
}
