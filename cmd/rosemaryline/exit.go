package main

import (
	"encoding/json"
	"flag"
	"fmt"

	"github.com/pkg/errors"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// Exit codes. They are part of the tool's interface.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitInvalid    = 3
	exitConflict   = 4
	exitDiffers    = 5
	exitUnknown    = 6
	exitNotInForce = 7
	exitNeedsForce = 8
	exitDenied     = 9
	exitNotFound   = 10
)

const exitHelp = `
Exit codes:
	0   done; also where there was nothing to change
	1   failed, and nothing was changed
	2   wrong usage: a flag, an argument or a setting
	3   a file or a change is not valid
	4   conflict: another operator changed something since the base version
	5   diff found differences
	6   it is not known whether the change was accepted
	7   the change was accepted but is not in force everywhere yet (apply -wait)
	8   the change needs -force
	9   the credential is unknown or its role does not allow this
	10  not found
`

// notFoundError is the error for something that local files do not hold.
type notFoundError string

func (e notFoundError) Error() string { return string(e) }

// usageError is the error for an invalid flag, argument or setting.
type usageError string

func (e usageError) Error() string { return string(e) }

// differsError is the error of diff when the files differ from the fleet. diff has printed the differences.
type differsError struct{}

func (differsError) Error() string { return "the files differ from the fleet" }

// notInForceError is the error of a wait that ended before the version was in force. missing are the processes that had
// not confirmed it.
type notInForceError struct {
	version uint64
	missing []string
}

func (e *notInForceError) Error() string {
	return fmt.Sprintf("version %d is accepted but not in force; not confirmed by %v", e.version, e.missing)
}

var problemExitCodes = map[control.ProblemCode]int{
	control.ProblemCode(state.CodeConflict):       exitConflict,
	control.ProblemCode(state.CodeInvalid):        exitInvalid,
	control.ProblemCode(state.CodeNotFound):       exitNotFound,
	control.ProblemCode(state.CodeUnchanged):      exitOK,
	control.ProblemCode(state.CodeNeedsForce):     exitNeedsForce,
	control.ProblemCode(state.CodeChangeIDReused): exitInvalid,
	control.ProblemUnauthorized:                   exitDenied,
	control.ProblemForbidden:                      exitDenied,
	control.ProblemBadRequest:                     exitInvalid,
	control.ProblemTooLarge:                       exitInvalid,
}

func exitCode(err error) int {
	var usage usageError
	var notFound notFoundError
	var problem *control.Problem
	var unknown *control.UnknownError
	var field *config.FieldError
	var differs differsError
	var notInForce *notInForceError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &notFound):
		return exitNotFound
	case errors.As(err, &field):
		return exitInvalid
	case errors.As(err, &differs):
		return exitDiffers
	case errors.As(err, &notInForce):
		return exitNotInForce
	}
	if errors.As(err, &problem) {
		if code, ok := problemExitCodes[problem.Code]; ok {
			return code
		}
	}
	return exitFailed
}

// errorReport is an error as report prints it with -json.
type errorReport struct {
	Error  string              `json:"error"`
	Exit   int                 `json:"exit"`
	Fields []string            `json:"fields,omitempty"`
	Files  []config.FieldError `json:"files,omitempty"`
}

// report prints an error to standard error and returns its exit code. Without -json it does not print a differsError,
// because diff has already printed the differences.
func (a *app) report(err error) int {
	code := exitCode(err)
	if err == nil || errors.Is(err, flag.ErrHelp) || code == exitDiffers && !a.settings.json {
		return code
	}
	if !a.settings.json {
		fmt.Fprintln(a.stderr, "rosemaryline:", err)
		return code
	}
	r := errorReport{Error: err.Error(), Exit: code}
	var problem *control.Problem
	if errors.As(err, &problem) {
		r.Fields = problem.Fields
	}
	var fields config.FieldErrors
	var field *config.FieldError
	if errors.As(err, &fields) {
		r.Files = fields
	} else if errors.As(err, &field) {
		r.Files = []config.FieldError{*field}
	}
	// If standard error cannot be written to, the exit code is all that can be reported.
	_ = json.NewEncoder(a.stderr).Encode(r)
	return code
}
