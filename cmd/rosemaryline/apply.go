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

// inForcePollTimeout is the longest time that one request waits for a version to be in force. waitInForce repeats the
// request for a longer wait.
const inForcePollTimeout = 10 * time.Second

type applyFlags struct {
	dryRun      bool
	wait        bool
	waitTimeout time.Duration
	baseVersion uint64
	changeID    string
}

// applyOutput is what apply prints with -json.
type applyOutput struct {
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
	output := applyOutput{Differences: differences(current.Document, change)}
	if change.IsZero() {
		output.Version, output.Unchanged = current.Version, true
	} else if err := sendChange(ctx, c, f, current.Version, change, &output); err != nil {
		return err
	}
	var waitErr error
	if f.wait && !f.dryRun {
		waitErr = waitInForce(ctx, c, output.Version, f.waitTimeout)
		output.InForce = waitErr == nil
	}
	if err := printApply(a, f, output); err != nil {
		return err
	}
	return waitErr
}

func sendChange(ctx context.Context, c *control.Client, f *applyFlags, version uint64, change config.Change, output *applyOutput) error {
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
	output.ChangeID = request.ChangeID
	reply, err := c.Change(ctx, "/v1/config", request)
	output.ChangeReply = reply
	return err
}

func printApply(a *app, f *applyFlags, output applyOutput) error {
	if a.settings.json {
		return a.print(output)
	}
	if output.Unchanged {
		a.printMessage("The fleet has this configuration already, at version %d.", output.Version)
		return nil
	}
	if err := a.print(output, differenceRows(output.Differences)...); err != nil {
		return err
	}
	switch {
	case f.dryRun:
		a.printMessage("Dry run: nothing was changed; the fleet has version %d.", output.Version)
	case output.InForce:
		a.printMessage("Version %d is in force everywhere.", output.Version)
	default:
		a.printMessage("Accepted as version %d.", output.Version)
	}
	return nil
}

// waitInForce waits until the version is in force. It returns a *notInForceError if the timeout passes first.
func waitInForce(ctx context.Context, c *control.Client, version uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		wait := max(0, min(inForcePollTimeout, time.Until(deadline)))
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
