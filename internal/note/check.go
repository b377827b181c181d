package note

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// Problem is one error or warning about a release note or a document.
type Problem struct {
	// Path is the JSON path of the field, such as added.workspaces[0].rate.
	Path string `json:"path"`
	// Value is the invalid value; it is empty for secrets.
	Value  string `json:"value,omitempty"`
	Reason string `json:"reason"`
	// Warning marks a problem that does not prevent the note from being applied.
	Warning bool `json:"warning,omitempty"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	level := "error"
	if p.Warning {
		level = "warning"
	}
	if p.Value == "" {
		return fmt.Sprintf("%s: %s: %s", level, p.Path, p.Reason)
	}
	return fmt.Sprintf("%s: %s: %q: %s", level, p.Path, p.Value, p.Reason)
}

// HasErrors reports whether any problem is not a warning.
func HasErrors(problems []Problem) bool {
	for _, p := range problems {
		if !p.Warning {
			return true
		}
	}
	return false
}

var validate = newValidator()

// newValidator returns a validator that reports fields by their JSON names.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return v
}

// Check validates each field of the note without reference to the catalog. The
// problems are sorted by path.
func (n Note) Check() []Problem {
	var problems []Problem
	var fields validator.ValidationErrors
	if err := validate.Struct(n); errors.As(err, &fields) {
		for _, f := range fields {
			problems = append(problems, fieldProblem(f))
		}
	}
	problems = append(problems, checkKeys("added.keys", n.Added.Keys)...)
	problems = append(problems, checkKeys("changed.keys", n.Changed.Keys)...)
	if n.isEmpty() {
		problems = append(problems, Problem{Path: "added", Reason: "the note contains no changes"})
	}
	sortProblems(problems)
	return problems
}

func (n Note) isEmpty() bool {
	return n.Added.count()+n.Changed.count()+n.Withdrawn.count() == 0
}

func (i Items) count() int {
	return len(i.Workspaces) + len(i.Keys) + len(i.Services) + len(i.Domains)
}

func (w Withdrawals) count() int {
	return len(w.Workspaces) + len(w.Keys) + len(w.Services) + len(w.Domains)
}

func checkKeys(path string, keys []Key) []Problem {
	var problems []Problem
	for i, k := range keys {
		if k.Verifier == "" {
			continue
		}
		if _, err := ParseVerifier(k.Verifier); err != nil {
			problems = append(problems, Problem{
				Path:   fmt.Sprintf("%s[%d].verifier", path, i),
				Reason: err.Error(),
			})
		}
	}
	return problems
}

// Verifier is a decoded SCRAM-SHA-256 verifier.
type Verifier struct {
	Iterations int
	Salt       []byte
	StoredKey  []byte
	ServerKey  []byte
}

// Limits of a verifier.
const (
	minIterations = 4096 // lower bound of RFC 7677
	maxIterations = 1_000_000
	keyBytes      = 32 // length of a SHA-256 digest
)

// ParseVerifier decodes a verifier in PostgreSQL's format
// SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY, where salt and keys are base64.
// Its errors never contain the verifier.
func ParseVerifier(text string) (Verifier, error) {
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != "SCRAM-SHA-256" {
		return Verifier{}, errors.New("must have the format SCRAM-SHA-256$iterations:salt$stored:server")
	}
	iterations, salt, ok := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok || !ok2 {
		return Verifier{}, errors.New("must have the format SCRAM-SHA-256$iterations:salt$stored:server")
	}
	var v Verifier
	var err error
	if v.Iterations, err = strconv.Atoi(iterations); err != nil || v.Iterations < minIterations || v.Iterations > maxIterations {
		return Verifier{}, errors.Errorf("iteration count must be from %d to %d", minIterations, maxIterations)
	}
	if v.Salt, err = base64.StdEncoding.DecodeString(salt); err != nil || len(v.Salt) == 0 {
		return Verifier{}, errors.New("salt must be base64")
	}
	if v.StoredKey, err = base64.StdEncoding.DecodeString(stored); err != nil || len(v.StoredKey) != keyBytes {
		return Verifier{}, errors.New("stored key must be 32 bytes in base64")
	}
	if v.ServerKey, err = base64.StdEncoding.DecodeString(server); err != nil || len(v.ServerKey) != keyBytes {
		return Verifier{}, errors.New("server key must be 32 bytes in base64")
	}
	return v, nil
}

// fieldProblem converts a validation error to a Problem without the value of a secret.
func fieldProblem(f validator.FieldError) Problem {
	_, path, _ := strings.Cut(f.Namespace(), ".")
	p := Problem{Path: path, Value: fmt.Sprint(f.Value()), Reason: fieldReason(f)}
	if strings.HasSuffix(path, "password") || strings.HasSuffix(path, "verifier") {
		p.Value = ""
	}
	return p
}

func fieldReason(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "must be set"
	case "max":
		return "must have at most " + f.Param() + " characters"
	case "gt":
		return "must be greater than " + f.Param()
	case "gte":
		return "must be at least " + f.Param()
	case "lte":
		return "must be at most " + f.Param()
	case "oneof":
		return "must be one of " + f.Param()
	}
	return "must satisfy " + f.Tag()
}

// decodeProblem converts an error of the JSON decoder to a Problem.
func decodeProblem(err error) Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Problem{Path: typeErr.Field, Value: typeErr.Value, Reason: "must be of type " + typeErr.Type.String()}
	}
	return Problem{Reason: strings.TrimPrefix(err.Error(), "json: ")}
}

func sortProblems(problems []Problem) {
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
}
