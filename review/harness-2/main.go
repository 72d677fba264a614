package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// limit ends a case that does not finish by itself.
const limit = 110 * time.Second

// errBroken reports that a case has seen its rule broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(*run) error{
	"late-heartbeat": lateHeartbeat,
	"extra-answer":   extraAnswer,
	"stop-queue":     stopQueue,
}

// run is one run of a case.
type run struct {
	trouble bool
	began   time.Time

	mu     sync.Mutex // guards record
	record *os.File
	fleet  *fleet
}

// log adds a line to the record, with the time since the start of the run.
func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say adds a line to the record and prints it.
func (r *run) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

func main() { os.Exit(start()) }

func start() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	r.say("case %s, trouble %t", os.Args[1], r.trouble)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](r) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-done:
	case <-time.After(limit):
		err = errors.New("the case took too long")
	case <-stop:
		err = errors.New("interrupted")
	}
	if r.fleet != nil {
		r.fleet.end()
	}
	switch {
	case err == nil:
		r.say("the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.say("%v", err)
		return 1
	default:
		r.say("the case could not run: %v", err)
		return 2
	}
}
