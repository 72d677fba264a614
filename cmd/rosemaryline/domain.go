package main

import (
	"context"
	"flag"
	"net/url"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
)

func domainCommands() *commandGroup {
	return &commandGroup{name: "domain", synopsis: "take failure domains out and bring them back", commands: []*command{domainOutCommand(), domainInCommand()}}
}

func domainOutCommand() *command {
	dryRun, force := false, false
	return &command{
		name: "out", arguments: "DOMAIN", minArgs: 1, maxArgs: 1,
		synopsis: "take a failure domain out: it receives no new work",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&dryRun, "dry-run", false, "show the warnings and change nothing")
			f.BoolVar(&force, "force", false, "also where the rest could not carry the load above the floor")
		},
		run: withClient(func(ctx context.Context, a *app, c *control.Client, args []string) error {
			return setDomain(ctx, a, c, args[0], "out", dryRun, force)
		}),
	}
}

func domainInCommand() *command {
	dryRun := false
	return &command{
		name: "in", arguments: "DOMAIN", minArgs: 1, maxArgs: 1,
		synopsis: "bring a failure domain back",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&dryRun, "dry-run", false, "change nothing")
		},
		run: withClient(func(ctx context.Context, a *app, c *control.Client, args []string) error {
			return setDomain(ctx, a, c, args[0], "in", dryRun, false)
		}),
	}
}

func setDomain(ctx context.Context, a *app, c *control.Client, domain, status string, dryRun, force bool) error {
	path := "/v1/domains/" + url.PathEscape(domain) + "/" + status
	reply, err := changeCurrentVersion(ctx, c, path, dryRun, func(e control.Envelope) any {
		return control.DomainRequest{Envelope: e, Force: force}
	})
	if hasProblemCode(err, state.CodeUnchanged) {
		a.printMessage("Failure domain %s is %s already.", domain, status)
		if a.settings.json {
			return a.print(reply)
		}
		return nil
	}
	if err != nil {
		return err
	}
	return a.printChangeReply(reply, "failure domain "+domain+" "+status)
}
