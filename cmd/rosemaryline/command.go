package main

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"

	"rosemaryline.dev/control"
)

// app holds the settings and streams that all commands share.
type app struct {
	settings       settings
	stdin          io.Reader
	stdout, stderr io.Writer
}

// command is one subcommand. Its flags may precede, follow or separate its arguments.
type command struct {
	name, synopsis string
	// arguments is the part of the usage line after the flags, for example "TEAM".
	arguments string
	flags     func(*flag.FlagSet)
	// minArgs and maxArgs bound the number of arguments of run; args has no flags.
	minArgs, maxArgs int
	run              func(ctx context.Context, a *app, args []string) error

	settings *settings
	// parent is the name of the command group followed by a space; empty outside a group.
	parent string
}

func (a *app) bindCommand(c *command) *command {
	c.settings = &a.settings
	return c
}

func (a *app) bindGroup(g *commandGroup) *commandGroup {
	for _, c := range g.commands {
		a.bindCommand(c).parent = g.name + " "
	}
	return g
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string {
	return "rosemaryline " + c.parent + c.name + " [flags] " + c.arguments + "\n\t" + c.synopsis + "\n"
}

func (c *command) SetFlags(f *flag.FlagSet) {
	c.settings.add(f)
	if c.flags != nil {
		c.flags(f)
	}
}

func (c *command) Execute(ctx context.Context, f *flag.FlagSet, shared ...any) subcommands.ExitStatus {
	a := shared[0].(*app)
	args, err := parseInterspersedFlags(f)
	if err != nil {
		return exitUsage
	}
	if len(args) < c.minArgs || len(args) > c.maxArgs {
		return subcommands.ExitStatus(a.report(usageError("usage: " + c.Usage())))
	}
	ctx, cancel := context.WithTimeout(ctx, a.settings.timeout)
	defer cancel()
	return subcommands.ExitStatus(a.report(c.run(ctx, a, args)))
}

// parseInterspersedFlags parses the flags that follow the first argument and returns the arguments without the flags.
func parseInterspersedFlags(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// commandGroup is a subcommand with subcommands of its own.
type commandGroup struct {
	name, synopsis string
	commands       []*command
}

func (g *commandGroup) Name() string     { return g.name }
func (g *commandGroup) Synopsis() string { return g.synopsis }
func (g *commandGroup) Usage() string {
	text := g.name + " SUBCOMMAND [flags]\n\t" + g.synopsis + "\n\n"
	for _, c := range g.commands {
		text += "\t" + g.name + " " + c.name + " " + c.arguments + "\n\t\t" + c.synopsis + "\n"
	}
	return text
}
func (g *commandGroup) SetFlags(*flag.FlagSet) {}

func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, shared ...any) subcommands.ExitStatus {
	a := shared[0].(*app)
	inner := subcommands.NewCommander(f, "rosemaryline "+g.name)
	inner.Output, inner.Error = a.stdout, a.stderr
	for _, c := range g.commands {
		inner.Register(c, "")
	}
	return inner.Execute(ctx, shared...)
}

// withClient returns a run function for command that creates a client of the operators' API and passes it to run.
func withClient(run func(ctx context.Context, a *app, c *control.Client, args []string) error) func(context.Context, *app, []string) error {
	return func(ctx context.Context, a *app, args []string) error {
		client, err := a.settings.client()
		if err != nil {
			return err
		}
		return run(ctx, a, client, args)
	}
}
