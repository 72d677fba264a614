// Command rosemaryline is the operators' command-line tool.
package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// version is set at link time.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run executes the command line in args and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	if len(args) == 1 && (args[0] == "-version" || args[0] == "--version") {
		io.WriteString(stdout, "rosemaryline "+version+"\n")
		return exitOK
	}
	flags := a.settings.newFlagSet()
	commander := subcommands.NewCommander(flags, "rosemaryline")
	commander.Output, commander.Error = stdout, stderr
	explain := commander.Explain
	commander.Explain = func(w io.Writer) {
		explain(w)
		io.WriteString(w, settingsHelp)
		io.WriteString(w, exitHelp)
	}
	flags.Usage = func() {}
	a.registerCommands(commander)
	err := a.settings.parse(flags, args)
	if errors.Is(err, flag.ErrHelp) || err == nil && flags.NArg() == 0 {
		commander.Explain(stdout)
	}
	if err != nil {
		return a.report(err)
	}
	if flags.NArg() == 0 {
		return exitUsage
	}
	return int(commander.Execute(ctx, a))
}

func (a *app) registerCommands(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	const configuration = "configuration"
	c.Register(a.bindCommand(validateCommand()), configuration)
	c.Register(a.bindCommand(diffCommand()), configuration)
	c.Register(a.bindCommand(applyCommand()), configuration)
	c.Register(a.bindCommand(getCommand()), configuration)
	const operation = "operation"
	c.Register(a.bindCommand(statusCommand()), operation)
	c.Register(a.bindGroup(keyCommands()), operation)
	c.Register(a.bindGroup(domainCommands()), operation)
	c.Register(a.bindGroup(rolloutCommands()), operation)
	c.Register(a.bindCommand(membersCommand()), operation)
	c.Register(a.bindCommand(explainCommand()), operation)
	c.Register(a.bindCommand(historyCommand()), operation)
	const administration = "administration"
	c.Register(a.bindGroup(controlCommands()), administration)
	c.Register(a.bindGroup(snapshotCommands()), administration)
}
