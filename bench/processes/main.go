// Command processes measures a fleet of separate processes on loopback without load: processor time, memory and traffic per
// process, the time until a change is in force, the time until a change is accepted after the control leader was killed, and
// the time of a restart. With -speed it measures latency and throughput of requests instead.
//
//	go build -o /tmp/rosemarylined ./cmd/rosemarylined
//	go run ./bench/processes -daemon /tmp/rosemarylined -count 30
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
	flag.Parse()
	if *daemon == "" || *count < 3 || *count > 200 {
		fmt.Fprintln(os.Stderr, "processes: -daemon is needed, and -count between 3 and 200")
		os.Exit(2)
	}
	if err := run(*daemon, *count, *idle, *speed, *changes, *history); err != nil {
		fmt.Fprintln(os.Stderr, "processes:", err)
		os.Exit(1)
	}
}

// run starts a fleet and makes the measurements in it, within 2 minutes.
func run(daemon string, count int, idle, speed time.Duration, changes, history int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f, err := startFleet(ctx, daemon, count)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return errors.Wrap(err, "start fleet")
	}
	if speed > 0 {
		return errors.Wrap(f.measureSpeed(ctx, speed), "speed")
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
