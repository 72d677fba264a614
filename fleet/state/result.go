package state

import (
	"encoding/json"
	"fmt"

	"rosemaryline.dev/fleet/config"
)

// Code classifies a refusal.
type Code string

// Codes of refusals.
const (
	// CodeConflict: the configuration changed after the base version.
	CodeConflict Code = "conflict"
	// CodeInvalid: the command or the resulting document is not valid.
	CodeInvalid Code = "invalid"
	// CodeNotFound: the command names something that does not exist.
	CodeNotFound Code = "notFound"
	// CodeUnchanged: the command would change nothing.
	CodeUnchanged Code = "unchanged"
	// CodeNeedsForce: the rest of a service would fall below its floor.
	CodeNeedsForce Code = "needsForce"
	// CodeChangeIDReused: another change had the same id.
	CodeChangeIDReused Code = "changeIdReused"
)

const (
	// maxMessageBytes bounds the message of a refusal, because refusals are kept for resends.
	maxMessageBytes = 1024
	// maxFields bounds the field list of a refusal and of an audit record.
	maxFields = 50
)

// Refusal tells why a command was not accepted. It is an error.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Fields are the fields at fault, or with CodeConflict the fields changed since the base version. At most 50.
	Fields []string `json:"fields,omitempty"`
}

func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

func refuse(code Code, fields []string, format string, args ...any) *Refusal {
	message := fmt.Sprintf(format, args...)
	if len(message) > maxMessageBytes {
		message = message[:maxMessageBytes]
	}
	return &Refusal{Code: code, Message: message, Fields: firstFields(fields)}
}

func refuseFields(errs []config.FieldError) *Refusal {
	fields := make([]string, len(errs))
	for i, e := range errs {
		fields[i] = e.Field
	}
	return refuse(CodeInvalid, fields, "%s", config.FieldErrors(errs).Error())
}

func firstFields(fields []string) []string {
	return fields[:min(len(fields), maxFields):min(len(fields), maxFields)]
}

// Result answers a command.
type Result struct {
	// Version is the version that the command made. With a refusal it is the version at that time.
	Version uint64   `json:"version"`
	Err     *Refusal `json:"err,omitempty"`
}

// DecodeResult reads what State.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	err := json.Unmarshal(data, &r)
	return r, err
}

func (r Result) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Result holds only numbers and strings, which always encode.
		panic(err)
	}
	return data
}
