// Command rosemarylined is the daemon of the proxy fleet. It has the proxy role, and with -data-dir the control role as
// well.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"rosemaryline.dev/node"
	"rosemaryline.dev/platform"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	s, err := parseSettings(args, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rosemarylined:", err)
		return exitSettings
	}
	switch {
	case bool(s.version):
		fmt.Println("rosemarylined", version())
		return exitOK
	case bool(s.dev):
		return runDev(s)
	case bool(s.platform):
		return runPlatform(s)
	default:
		return runNode(s)
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// runNode runs the daemon until a signal or an error stops it and returns the exit code.
func runNode(s *settings) int {
	options, err := s.options()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rosemarylined:", err)
		return exitSettings
	}
	defer closeLogger(options.Log)
	n, err := node.Start(options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rosemarylined:", err)
		return exitFailed
	}
	options.Log.Info().Str("name", s.name).Str("caller", n.CallerAddress()).Str("peer", n.PeerAddress()).
		Str("local", n.LocalAddress()).Str("admin", n.AdminAddress()).Msg("daemon: started.")
	select {
	case <-stopSignals():
	case <-n.Dead():
	}
	if err := n.Stop(); err != nil {
		options.Log.Error().Err(err).Msg("daemon: stopped with an error.")
		return exitFailed
	}
	fmt.Fprintf(os.Stderr, "rosemarylined: %s stopped, %s\n", s.name, n.Summary())
	return exitOK
}

// runPlatform runs the daemon on the users' platform until a signal or an error stops it and returns the exit code.
// SIGHUP reloads the settings file.
func runPlatform(s *settings) int {
	logger := newLogger(s.logLevel, os.Stdout)
	defer closeLogger(logger)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := platform.Run(logger, s.platformPeerListen(), stopSignals(), reload); err != nil {
		logger.Error().Err(err).Msg("daemon: stopped with an error.")
		return exitFailed
	}
	return exitOK
}

// stopSignals returns a channel that receives SIGTERM and SIGINT. It stays registered after the first signal, so that a
// second one does not end the process during a graceful stop.
func stopSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}
