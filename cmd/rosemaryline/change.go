package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/pkg/errors"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
)

// conflictAttempts is how often a change that does not depend on others is sent on a newer base version.
const conflictAttempts = 5

func newChangeID() string {
	var id [16]byte
	// crypto/rand.Read never fails; it ends the process where the system has no randomness.
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// changeNow sends a change that is right on any version, such as withdrawing a key, on the current version. It tries
// again where another operator was faster. build gets the envelope of each attempt.
func changeNow(ctx context.Context, c *control.Client, path string, dryRun bool, build func(control.Envelope) any) (control.ChangeReply, error) {
	var last error
	for range conflictAttempts {
		var current control.VersionReply
		if err := c.Get(ctx, "/v1/version", nil, &current); err != nil {
			return control.ChangeReply{}, err
		}
		e := control.Envelope{ChangeID: newChangeID(), BaseVersion: current.Version, DryRun: dryRun}
		reply, err := c.Change(ctx, path, build(e))
		if !hasCode(err, state.CodeConflict) {
			return reply, err
		}
		last = err
	}
	return control.ChangeReply{}, last
}

func hasCode(err error, code state.Code) bool {
	var problem *control.Problem
	return errors.As(err, &problem) && problem.Code == control.ProblemCode(code)
}

// printChange reports an accepted change or a dry run.
func (a *app) printChange(reply control.ChangeReply, what string) error {
	for _, warning := range reply.Warnings {
		a.note("Warning: %s", warning)
	}
	if a.settings.json {
		return a.print(reply)
	}
	if reply.DryRun {
		a.note("Dry run: %s would be accepted; nothing was changed.", what)
		return nil
	}
	a.note("Done: %s, version %d.", what, reply.Version)
	return nil
}
