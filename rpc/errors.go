package rpc

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// PeerError tells at which step and with which peer an error arose.
type PeerError struct {
	// Step is what was done, for example "connect" or a method name.
	Step string
	// Peer is the address of the other process.
	Peer string
	Err  error
}

func (e *PeerError) Error() string {
	return e.Step + " with peer " + e.Peer + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// Code classifies an error that a remote handler returned.
type Code int64

// Codes of errors between processes.
const (
	CodeInternal    Code = jsonrpc2.CodeInternalError
	CodeInvalid     Code = jsonrpc2.CodeInvalidParams
	CodeNoMethod    Code = jsonrpc2.CodeMethodNotFound
	CodeNotLeader   Code = 1001
	CodeUnavailable Code = 1002
	CodeUnknown     Code = 1003 // the effect of the call is not known
	CodeForbidden   Code = 1004
)

// RemoteError is an error that a handler returns to the calling process.
type RemoteError struct {
	Code    Code
	Message string
	// Data carries details that depend on Code, for example the leader's address with CodeNotLeader.
	Data string
}

func (e *RemoteError) Error() string { return e.Message }

func toWire(err error) *jsonrpc2.Error {
	var remote *RemoteError
	if !errors.As(err, &remote) {
		remote = &RemoteError{Code: CodeInternal, Message: err.Error()}
	}
	wire := &jsonrpc2.Error{Code: int64(remote.Code), Message: remote.Message}
	if remote.Data != "" {
		wire.SetError(remote.Data)
	}
	return wire
}

func fromWire(err error) error {
	var wire *jsonrpc2.Error
	if !errors.As(err, &wire) {
		return err
	}
	remote := &RemoteError{Code: Code(wire.Code), Message: wire.Message}
	if wire.Data != nil {
		// Data of another type comes from a newer peer and is left out.
		_ = json.Unmarshal(*wire.Data, &remote.Data)
	}
	return remote
}
