package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FieldError describes a problem with one field of a configuration document.
type FieldError struct {
	// File is the name of the file with the field. It is empty if the document was not read from files.
	File string `json:"file,omitempty"`
	// Line counts from 1; 0 means unknown.
	Line int `json:"line,omitempty"`
	// Field is a path such as "services.rondes.slots" or "routes.rounds.teams[1]".
	Field string `json:"field,omitempty"`
	// Problem describes what is wrong and which form is accepted.
	Problem string `json:"problem"`
}

func (e *FieldError) Error() string {
	var b strings.Builder
	if e.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	}
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	return b.String() + e.Problem
}

// FieldErrors is a non-empty list of problems. errors.As finds its first *FieldError.
type FieldErrors []FieldError

func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems as errors of type *FieldError.
func (e FieldErrors) Unwrap() []error {
	errs := make([]error, len(e))
	for i := range e {
		errs[i] = &e[i]
	}
	return errs
}

// asError returns e as an error, or nil if the list is empty.
func (e FieldErrors) asError() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

func sortErrors(errs []FieldError) {
	slices.SortStableFunc(errs, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
}
