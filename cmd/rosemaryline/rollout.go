package main

import (
	"context"
	"flag"
	"net/url"
	"strings"
	"time"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
)

func rolloutCommands() *commandGroup {
	return &commandGroup{name: "rollout", synopsis: "move a service to another version of its software", commands: []*command{
		rolloutBeginCommand(), rolloutStatusCommand(), rolloutAbortCommand(),
	}}
}

func rolloutPath(service string) string { return "/v1/rollouts/" + url.PathEscape(service) }

func rolloutBeginCommand() *command {
	var duration time.Duration
	dryRun := false
	return &command{
		name: "begin", arguments: "SERVICE VERSION", minArgs: 2, maxArgs: 2,
		synopsis: "move the traffic of a service to servers with another version, in steps",
		flags: func(f *flag.FlagSet) {
			f.DurationVar(&duration, "duration", 0, "time from the order to its deadline, for example 10m; required")
			f.BoolVar(&dryRun, "dry-run", false, "check the order and change nothing")
		},
		run: withClient(func(ctx context.Context, a *app, c *control.Client, args []string) error {
			if duration < time.Millisecond {
				return usageError("-duration is required and at least 1ms")
			}
			reply, err := c.Change(ctx, rolloutPath(args[0])+"/begin", control.RolloutRequest{
				Envelope: control.Envelope{ChangeID: newChangeID(), DryRun: dryRun}, NewVersion: args[1], DurationMs: duration.Milliseconds(),
			})
			if hasProblemCode(err, state.CodeUnchanged) {
				a.printMessage("%s is the only admitted version of %s already.", args[1], args[0])
				if a.settings.json {
					return a.print(reply)
				}
				return nil
			}
			if err != nil {
				return err
			}
			return a.printChangeReply(reply, "rollout of "+args[0]+" to "+args[1]+" begins")
		}),
	}
}

func rolloutStatusCommand() *command {
	stale := false
	return &command{
		name: "status", arguments: "[SERVICE]", maxArgs: 1,
		synopsis: "show the latest rollout of a service, or of all services, and why it is where it is",
		flags:    func(f *flag.FlagSet) { addStale(f, &stale) },
		run: withClient(func(ctx context.Context, a *app, c *control.Client, args []string) error {
			if len(args) == 0 {
				list := []control.RolloutStatus{}
				if err := c.Get(ctx, "/v1/rollouts", staleQuery(stale), &list); err != nil {
					return err
				}
				return a.printRollouts(list, list...)
			}
			var status control.RolloutStatus
			if err := c.Get(ctx, rolloutPath(args[0]), staleQuery(stale), &status); err != nil {
				return err
			}
			return a.printRollouts(status, status)
		}),
	}
}

// printRollouts prints v with -json, else a table of the rollouts.
func (a *app) printRollouts(v any, list ...control.RolloutStatus) error {
	rows := [][]string{row("SERVICE", "VERSION", "PHASE", "PERCENT", "SERVERS", "DECISION", "ELAPSED", "OF", "ADMITTED", "OPERATOR", "REASON")}
	for _, r := range list {
		servers := any("all")
		if r.Servers > 0 {
			servers = r.Servers
		}
		rows = append(rows, row(r.Service, r.NewVersion, r.Phase, r.Percent, servers, r.Decision, formatAge(r.ElapsedMs),
			formatAge(r.DurationMs), orDash(strings.Join(r.Admitted, " ")), r.Operator, orDash(r.Reason)))
	}
	return a.print(v, rows...)
}

func rolloutAbortCommand() *command {
	dryRun := false
	return &command{
		name: "abort", arguments: "SERVICE", minArgs: 1, maxArgs: 1,
		synopsis: "roll the running rollout of a service back: the new version gets no more requests",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&dryRun, "dry-run", false, "check that a rollout runs and change nothing")
		},
		run: withClient(func(ctx context.Context, a *app, c *control.Client, args []string) error {
			path := rolloutPath(args[0])
			var status control.RolloutStatus
			if err := c.Get(ctx, path, nil, &status); err != nil {
				return err
			}
			reply, err := c.Change(ctx, path+"/abort", control.RolloutAbortRequest{
				Envelope: control.Envelope{ChangeID: newChangeID(), DryRun: dryRun}, ID: status.ID,
			})
			if err != nil {
				return err
			}
			return a.printChangeReply(reply, "rollout of "+args[0]+" to "+status.NewVersion+" aborted")
		}),
	}
}
