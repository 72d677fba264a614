package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/pkg/errors"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
)

// maxConflictAttempts is the number of times that changeCurrentVersion sends a change before it returns the conflict.
const maxConflictAttempts = 5

func newChangeID() string {
	var id [16]byte
	// crypto/rand.Read never returns an error; it ends the process if the system cannot provide random bytes.
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// changeCurrentVersion sends a change that does not depend on the version it is based on, such as withdrawing a key. It
// uses the current version as the base and retries when another change was accepted in between. build returns the body
// of an attempt's request for its envelope.
func changeCurrentVersion(ctx context.Context, c *control.Client, path string, dryRun bool, build func(control.Envelope) any) (control.ChangeReply, error) {
	var lastErr error
	for range maxConflictAttempts {
		var current control.VersionReply
		if err := c.Get(ctx, "/v1/version", nil, &current); err != nil {
			return control.ChangeReply{}, err
		}
		e := control.Envelope{ChangeID: newChangeID(), BaseVersion: current.Version, DryRun: dryRun}
		reply, err := c.Change(ctx, path, build(e))
		if !hasProblemCode(err, state.CodeConflict) {
			return reply, err
		}
		lastErr = err
	}
	return control.ChangeReply{}, lastErr
}

// hasProblemCode reports whether err is a problem with this code from the operators' API.
func hasProblemCode(err error, code state.Code) bool {
	var problem *control.Problem
	return errors.As(err, &problem) && problem.Code == control.ProblemCode(code)
}

// printChangeReply prints the result of an accepted change or a dry run. what describes the change.
func (a *app) printChangeReply(reply control.ChangeReply, what string) error {
	for _, warning := range reply.Warnings {
		a.printMessage("Warning: %s", warning)
	}
	if a.settings.json {
		return a.print(reply)
	}
	if reply.DryRun {
		a.printMessage("Dry run: %s would be accepted; nothing was changed.", what)
		return nil
	}
	a.printMessage("Done: %s, version %d.", what, reply.Version)
	return nil
}
