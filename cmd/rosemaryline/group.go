package main

import (
	"context"
	"flag"

	"rosemaryline.dev/control"
)

func controlCommands() *commandGroup {
	return &commandGroup{name: "control", synopsis: "change the members of the control group", commands: []*command{
		groupChangeCommand(control.GroupAdd, "ID ADDRESS", 2, "add a control VM, which votes once it has caught up"),
		groupChangeCommand(control.GroupRemove, "ID", 1, "remove a control VM"),
		groupChangeCommand(control.GroupReplace, "OLD-ID ID ADDRESS", 3, "add a control VM, and remove another once the new one has caught up"),
	}}
}

func groupChangeCommand(action control.GroupAction, arguments string, count int, synopsis string) *command {
	dryRun := false
	return &command{
		name: string(action), arguments: arguments, minArgs: count, maxArgs: count, synopsis: synopsis,
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&dryRun, "dry-run", false, "check the change and show its risks")
		},
		run: withClient(func(ctx context.Context, a *app, c *control.Client, args []string) error {
			request := control.GroupRequest{GroupChange: groupChange(action, args), DryRun: dryRun}
			reply, err := c.PostOnce(ctx, "/v1/group", request)
			if err != nil {
				return err
			}
			return a.printGroupChange(reply, request.GroupChange)
		}),
	}
}

func groupChange(action control.GroupAction, args []string) control.GroupChange {
	switch action {
	case control.GroupAdd:
		return control.GroupChange{Action: action, ID: args[0], Address: args[1]}
	case control.GroupReplace:
		return control.GroupChange{Action: action, OldID: args[0], ID: args[1], Address: args[2]}
	}
	return control.GroupChange{Action: action, ID: args[0]}
}

func (a *app) printGroupChange(reply control.ChangeReply, change control.GroupChange) error {
	for _, warning := range reply.Warnings {
		a.printMessage("Warning: %s", warning)
	}
	if a.settings.json {
		return a.print(reply)
	}
	if reply.DryRun {
		a.printMessage("Dry run: %s of %s is possible; nothing was changed.", change.Action, change.ID)
		return nil
	}
	a.printMessage("Done: %s of %s.", change.Action, change.ID)
	return nil
}
