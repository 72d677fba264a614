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

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	if len(args) == 1 && (args[0] == "-version" || args[0] == "--version") {
		io.WriteString(stdout, "rosemaryline "+version+"\n")
		return exitDone
	}
	flags := a.settings.topLevel()
	commander := subcommands.NewCommander(flags, "rosemaryline")
	commander.Output, commander.Error = stdout, stderr
	explain := commander.Explain
	commander.Explain = func(w io.Writer) {
		explain(w)
		io.WriteString(w, settingsHelp)
		io.WriteString(w, exitHelp)
	}
	flags.Usage = func() {}
	a.registerAll(commander)
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

func (a *app) registerAll(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	const configuration = "configuration"
	c.Register(a.bind(validateCommand()), configuration)
	c.Register(a.bind(diffCommand()), configuration)
	c.Register(a.bind(applyCommand()), configuration)
	c.Register(a.bind(getCommand()), configuration)
	const operation = "operation"
	c.Register(a.bind(statusCommand()), operation)
	c.Register(a.bindGroup(keyGroup()), operation)
	c.Register(a.bindGroup(domainGroup()), operation)
	c.Register(a.bind(membersCommand()), operation)
	c.Register(a.bind(explainCommand()), operation)
	c.Register(a.bind(historyCommand()), operation)
	const administration = "administration"
	c.Register(a.bindGroup(controlGroup()), administration)
	c.Register(a.bindGroup(snapshotGroup()), administration)
}
