package main

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"time"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// inForcePoll is how long one request waits for a version to be in force.
const inForcePoll = 10 * time.Second

type applyFlags struct {
	dryRun      bool
	wait        bool
	waitTimeout time.Duration
	baseVersion uint64
	changeID    string
}

type applyReply struct {
	control.ChangeReply
	ChangeID    string       `json:"changeId,omitempty"`
	Unchanged   bool         `json:"unchanged,omitempty"`
	InForce     bool         `json:"inForce,omitempty"`
	Differences []difference `json:"differences"`
}

func applyCommand() *command {
	f := &applyFlags{}
	return &command{
		name: "apply", arguments: "BASE [OVERLAY]", minArgs: 1, maxArgs: 2,
		synopsis: "make the fleet's configuration equal to the files; keys issued by command stay",
		flags: func(flags *flag.FlagSet) {
			flags.BoolVar(&f.dryRun, "dry-run", false, "check the change and show it")
			flags.BoolVar(&f.wait, "wait", false, "wait until the version is in force everywhere, and list who has not confirmed it")
			flags.DurationVar(&f.waitTimeout, "wait-timeout", 30*time.Second, "bounds -wait, with unit")
			flags.Uint64Var(&f.baseVersion, "base-version", 0, "version that the change was decided on; refused where an operator changed something since (default: the current version)")
			flags.StringVar(&f.changeID, "change-id", "", "id of the change in the audit trail (default: random)")
		},
		run: withClient(func(ctx context.Context, a *app, c *control.Client, args []string) error {
			return runApply(ctx, a, c, f, args)
		}),
	}
}

func runApply(ctx context.Context, a *app, c *control.Client, f *applyFlags, args []string) error {
	doc, err := loadFiles(args)
	if err != nil {
		return err
	}
	return applyDocument(ctx, a, c, f, doc)
}

func applyDocument(ctx context.Context, a *app, c *control.Client, f *applyFlags, doc *config.Document) error {
	current, err := fetchConfig(ctx, c)
	if err != nil {
		return err
	}
	change := config.Diff(current.Document, doc)
	reply := applyReply{Differences: differences(current.Document, change)}
	if change.IsZero() {
		reply.Version, reply.Unchanged = current.Version, true
	} else if err := sendChange(ctx, c, f, current.Version, change, &reply); err != nil {
		return err
	}
	var pending error
	if f.wait && !f.dryRun {
		pending = waitInForce(ctx, c, reply.Version, f.waitTimeout)
		reply.InForce = pending == nil
	}
	if err := printApply(a, f, reply); err != nil {
		return err
	}
	return pending
}

func sendChange(ctx context.Context, c *control.Client, f *applyFlags, version uint64, change config.Change, reply *applyReply) error {
	request := control.ApplyRequest{
		Envelope:    control.Envelope{ChangeID: f.changeID, BaseVersion: version, DryRun: f.dryRun},
		ApplyChange: state.ApplyChange{Change: change, ContentHash: change.Hash()},
	}
	if f.baseVersion > 0 {
		request.BaseVersion = f.baseVersion
	}
	if request.ChangeID == "" {
		request.ChangeID = newChangeID()
	}
	reply.ChangeID = request.ChangeID
	answer, err := c.Change(ctx, "/v1/config", request)
	reply.ChangeReply = answer
	return err
}

func printApply(a *app, f *applyFlags, reply applyReply) error {
	if a.settings.json {
		return a.print(reply)
	}
	if reply.Unchanged {
		a.note("The fleet has this configuration already, at version %d.", reply.Version)
		return nil
	}
	if err := a.print(reply, differenceRows(reply.Differences)...); err != nil {
		return err
	}
	switch {
	case f.dryRun:
		a.note("Dry run: nothing was changed; the fleet has version %d.", reply.Version)
	case reply.InForce:
		a.note("Version %d is in force everywhere.", reply.Version)
	default:
		a.note("Accepted as version %d.", reply.Version)
	}
	return nil
}

// waitInForce returns *notInForceError where the version is not in force in time.
func waitInForce(ctx context.Context, c *control.Client, version uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		wait := max(0, min(inForcePoll, time.Until(deadline)))
		var reply control.InForceReply
		query := url.Values{"waitMillis": {fmt.Sprint(wait.Milliseconds())}}
		if err := c.Get(ctx, fmt.Sprint("/v1/inforce/", version), query, &reply); err != nil {
			return err
		}
		if reply.InForce {
			return nil
		}
		if !time.Now().Before(deadline) {
			return &notInForceError{version: version, missing: reply.Missing}
		}
	}
}
