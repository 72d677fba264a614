// Command processes measures a fleet of separate processes on loopback without load: processor time, memory and traffic per
// process, the time until a change is in force, the time until a change is accepted after the control leader was killed, and
// the time of a restart. With -speed it measures latency and throughput of requests instead; with -baseline also those of a
// second build, in alternating runs, and prints their ratios.
//
//	go build -o /tmp/rosemarylined ./cmd/rosemarylined
//	go run ./bench/processes -daemon /tmp/rosemarylined -count 30
//	go run ./bench/processes -daemon /tmp/rosemarylined -baseline /tmp/rosemarylined-before -speed 2s -runs 5 -json
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
)

func main() {
	daemon := flag.String("daemon", "", "path of the rosemarylined binary")
	count := flag.Int("count", 3, "number of processes; the first three are control VMs")
	idle := flag.Duration("idle", 10*time.Second, "time of the idle measurement")
	changes := flag.Int("changes", 20, "number of changes that are timed one by one")
	history := flag.Int("history", 1000, "number of changes before the restart")
	speed := flag.Duration("speed", 0, "time of each step of the speed measurement, which replaces the others; 0: none")
	baseline := flag.String("baseline", "", "path of a second rosemarylined binary, with which -speed compares -daemon")
	runs := flag.Int("runs", 3, "number of runs of each binary with -baseline")
	asJSON := flag.Bool("json", false, "print the result of -speed as JSON")
	flag.Parse()
	if (*baseline != "" || *asJSON) && *speed <= 0 || *runs < 1 || *speed < 0 {
		fmt.Fprintln(os.Stderr, "processes: -baseline and -json need -speed, and -runs is at least 1")
		os.Exit(2)
	}
	if *daemon == "" || *count < 3 || *count > 200 {
		fmt.Fprintln(os.Stderr, "processes: -daemon is needed, and -count between 3 and 200")
		os.Exit(2)
	}
	if err := measure(*daemon, *baseline, *count, *runs, *asJSON, *idle, *speed, *changes, *history); err != nil {
		fmt.Fprintln(os.Stderr, "processes:", err)
		os.Exit(1)
	}
}

// measure makes the speed measurement or, if speed is 0, the others.
func measure(daemon, baseline string, count, runs int, asJSON bool, idle, speed time.Duration, changes, history int) error {
	if speed > 0 {
		return compareSpeed(daemon, baseline, count, runs, asJSON, speed)
	}
	return run(daemon, count, idle, changes, history)
}

// runTimeout limits the measurements in one fleet.
const runTimeout = 2 * time.Minute

// run starts a fleet and makes the measurements without load in it.
func run(daemon string, count int, idle time.Duration, changes, history int) error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	f, err := startFleet(ctx, daemon, count)
	if f != nil {
		defer f.Stop()
	}
	if err != nil {
		return errors.Wrap(err, "start fleet")
	}
	if err := f.measureIdle(idle); err != nil {
		return errors.Wrap(err, "idle")
	}
	if err := f.measureChanges(ctx, changes); err != nil {
		return errors.Wrap(err, "changes")
	}
	if err := f.measureLeaderLoss(ctx); err != nil {
		return errors.Wrap(err, "leader loss")
	}
	return errors.Wrap(f.measureRestart(ctx, history), "restart")
}
