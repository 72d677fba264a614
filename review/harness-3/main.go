package main

import (
	"fmt"
	"os"
)

// cases are the scripts: each returns whether the rule held, or an error if the case could not run.
var cases = map[string]func(rec *recorder, trouble bool) (held bool, err error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	held, err := run(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.event("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case !held:
		rec.event("result: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.event("result: the rule held")
	fmt.Println("the rule held")
}
