package config

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// jsonName returns the JSON name of a field, by which the validator reports it.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

// describe formats a field error as path, value and violated rule. The value of a secret
// or token is left out.
func describe(f validator.FieldError) string {
	_, path, _ := strings.Cut(f.Namespace(), ".")
	reason := f.Tag()
	if f.Param() != "" {
		reason += "=" + f.Param()
	}
	if strings.Contains(path, "secret") || strings.Contains(path, "token") {
		return fmt.Sprintf("%s: must satisfy %s", path, reason)
	}
	return fmt.Sprintf("%s: %v: must satisfy %s", path, f.Value(), reason)
}
