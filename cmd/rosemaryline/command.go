package main

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"

	"rosemaryline.dev/control"
)

// app is what commands share.
type app struct {
	settings       settings
	stdin          io.Reader
	stdout, stderr io.Writer
}

// command is one subcommand. args are the arguments that are no flags; flags may stand before, between and after them.
type command struct {
	name, synopsis string
	// arguments are shown in the usage line, for example "TEAM".
	arguments string
	flags     func(*flag.FlagSet)
	// run needs between minArgs and maxArgs arguments.
	minArgs, maxArgs int
	run              func(ctx context.Context, a *app, args []string) error

	settings *settings
	// parent is the name of the group with a space after it.
	parent string
}

func (a *app) bind(c *command) *command {
	c.settings = &a.settings
	return c
}

func (a *app) bindGroup(g *group) *group {
	for _, c := range g.commands {
		a.bind(c).parent = g.name + " "
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
	args, err := permute(f)
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

// permute parses the flags that follow the first argument.
func permute(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// group is a subcommand with subcommands of its own.
type group struct {
	name, synopsis string
	commands       []*command
}

func (g *group) Name() string     { return g.name }
func (g *group) Synopsis() string { return g.synopsis }
func (g *group) Usage() string {
	text := g.name + " SUBCOMMAND [flags]\n\t" + g.synopsis + "\n\n"
	for _, c := range g.commands {
		text += "\t" + g.name + " " + c.name + " " + c.arguments + "\n\t\t" + c.synopsis + "\n"
	}
	return text
}
func (g *group) SetFlags(*flag.FlagSet) {}

func (g *group) Execute(ctx context.Context, f *flag.FlagSet, shared ...any) subcommands.ExitStatus {
	a := shared[0].(*app)
	inner := subcommands.NewCommander(f, "rosemaryline "+g.name)
	inner.Output, inner.Error = a.stdout, a.stderr
	for _, c := range g.commands {
		inner.Register(c, "")
	}
	return inner.Execute(ctx, shared...)
}

// withClient wraps a run function that needs the operators' API.
func withClient(run func(ctx context.Context, a *app, c *control.Client, args []string) error) func(context.Context, *app, []string) error {
	return func(ctx context.Context, a *app, args []string) error {
		client, err := a.settings.client()
		if err != nil {
			return err
		}
		return run(ctx, a, client, args)
	}
}
