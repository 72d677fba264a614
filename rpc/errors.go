package rpc

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// PeerError is an error of a call, with the step that failed and the address of the peer.
type PeerError struct {
	// Step is "connect" or the name of the called method.
	Step string
	// Peer is the address of the called process, host and port.
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

// Codes of RemoteError.
const (
	CodeInternal       Code = jsonrpc2.CodeInternalError
	CodeInvalid        Code = jsonrpc2.CodeInvalidParams
	CodeNoMethod       Code = jsonrpc2.CodeMethodNotFound
	CodeNotLeader      Code = 1001
	CodeUnavailable    Code = 1002
	CodeOutcomeUnknown Code = 1003 // the call may or may not have taken effect
	CodeForbidden      Code = 1004
)

// RemoteError is an error that a handler returned, as the calling process gets it.
type RemoteError struct {
	Code    Code
	Message string
	// Data has details that depend on Code, for example the leader's address for CodeNotLeader.
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
		// Data that is not a string comes from a newer peer and is ignored.
		_ = json.Unmarshal(*wire.Data, &remote.Data)
	}
	return remote
}
