package admin

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Code     result.Code    `json:"code"`
	Name     string         `json:"name"`
	Detail   string         `json:"detail"`
	Problems []note.Problem `json:"problems,omitempty"`
}

// httpStatus maps result codes to HTTP status codes. All other codes map to 503.
var httpStatus = map[result.Code]int{
	result.NotAllowed:         http.StatusForbidden,
	result.BadKey:             http.StatusUnauthorized,
	result.MalformedMessage:   http.StatusBadRequest,
	result.MessageTooLarge:    http.StatusRequestEntityTooLarge,
	result.UnsupportedFeature: http.StatusNotFound,
	result.NoteConflict:       http.StatusConflict,
	result.NoteOutOfOrder:     http.StatusConflict,
	result.NoteInvalid:        http.StatusUnprocessableEntity,
	result.UnknownService:     http.StatusNotFound,
	result.DiskFull:           http.StatusInsufficientStorage,
}

// WriteJSON sends a response with value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// WriteError sends an ErrorResponse with the result code of err. An error without a code
// is reported as NoQuorum, since it means that no control host answered.
func WriteError(w http.ResponseWriter, err error, problems ...note.Problem) {
	var e *result.Error
	if !errors.As(err, &e) {
		e = result.New(result.NoQuorum, "%v", err)
	}
	status, ok := httpStatus[e.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	WriteJSON(w, status, ErrorResponse{
		Code:     e.Code,
		Name:     result.Lookup(e.Code).Name,
		Detail:   e.Detail,
		Problems: problems,
	})
}
