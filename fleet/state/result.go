package state

import (
	"encoding/json"
	"fmt"

	"rosemaryline.dev/fleet/config"
)

// Code classifies a refusal.
type Code string

// The codes of refusals.
const (
	// CodeConflict: an operator's change was accepted after the base version, or BaseLabel is not the current label.
	CodeConflict Code = "conflict"
	// CodeInvalid: the command or the resulting document is not valid.
	CodeInvalid Code = "invalid"
	// CodeNotFound: the command names something that does not exist.
	CodeNotFound Code = "notFound"
	// CodeUnchanged: the command would change nothing.
	CodeUnchanged Code = "unchanged"
	// CodeNeedsForce: the remaining failure domains of a service would fall below its floor.
	CodeNeedsForce Code = "needsForce"
	// CodeChangeIDReused: another change had the same change ID.
	CodeChangeIDReused Code = "changeIdReused"
)

const (
	// maxMessageBytes limits the message of a refusal, because refusals are kept for resends.
	maxMessageBytes = 1024
	// maxFields limits the field list of a refusal and of an audit record.
	maxFields = 50
)

// Refusal is the reason why a command was not accepted. It implements error.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Fields are the paths of the fields that are not valid or, with CodeConflict, of the fields that changed after the
	// base version. At most 50.
	Fields []string `json:"fields,omitempty"`
}

func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

func refuse(code Code, fields []string, format string, args ...any) *Refusal {
	message := fmt.Sprintf(format, args...)
	if len(message) > maxMessageBytes {
		message = message[:maxMessageBytes]
	}
	return &Refusal{Code: code, Message: message, Fields: limitFields(fields)}
}

func refuseFields(errs []config.FieldError) *Refusal {
	fields := make([]string, len(errs))
	for i, e := range errs {
		fields[i] = e.Field
	}
	return refuse(CodeInvalid, fields, "%s", config.FieldErrors(errs).Error())
}

func limitFields(fields []string) []string {
	return fields[:min(len(fields), maxFields):min(len(fields), maxFields)]
}

// Result is the result of a command.
type Result struct {
	// Version is the version that the command produced. For a refused command it is the version at that time.
	Version uint64   `json:"version"`
	Err     *Refusal `json:"err,omitempty"`
}

// DecodeResult decodes a result that State.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := json.Unmarshal(data, &r)
	return r, err
}

func (r Result) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Result holds only numbers and strings, which can always be encoded.
		panic(err)
	}
	return data
}
