// Command cases plays the script cases of the review. It runs in the folder of a case, starts the fleet's programs as
// separate processes on loopback addresses, and writes record.txt. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// scenario plays a case and returns whether the rule was broken.
type scenario func(rec *record, f *fleet, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"stale-evacuation-order":         staleOrder,
	"limit-after-a-kill":             limitAfterKill,
	"late-heartbeat-after-a-restart": lateHeartbeat,
	"partial-heartbeat":              partialHeartbeat,
	"cold-targets-after-evacuation":  coldAfterEvacuation,
}

// limit bounds a whole case.
const limit = 110 * time.Second

func main() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 2 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME")
		os.Exit(2)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Getenv("TROUBLE") != "0"))
}

func play(s scenario, trouble bool) int {
	rec, err := newRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		return 2
	}
	rec.add("trouble: %v", trouble)
	f, err := newFleet(rec, root)
	if err != nil {
		rec.add("could not run: %v", err)
		return 2
	}
	defer f.stop()
	time.AfterFunc(limit, func() {
		rec.add("could not run: took too long")
		f.stop()
		os.Exit(2)
	})
	broken, err := s(rec, f, trouble)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.add("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	rec.add("result: the rule held")
	fmt.Println("the rule held")
	return 0
}

// begin starts the fleet with a target beside each sidecar process and sends the first configuration.
func begin(rec *record, f *fleet, slots int, work time.Duration, configuration []byte) ([]*target, error) {
	if err := f.startAll(); err != nil {
		return nil, err
	}
	var targets []*target
	for _, m := range f.sidecars {
		t, err := startTarget(rec, m, "i-"+m.name, slots, work)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	o := operator{rec}
	if _, err := o.order("/v1/Config.Replace", configuration, f.core, 20*time.Second); err != nil {
		return nil, err
	}
	return targets, nil
}

// warmUp sends requests from every sidecar machine until each target has run some and every machine serves.
func warmUp(rec *record, f *fleet, targets []*target, method, host, path, key string) error {
	end := time.Now().Add(25 * time.Second)
	for time.Now().Before(end) {
		served := 0
		done := make(chan answer)
		for _, m := range f.sidecars {
			go func() { done <- send(rec, m, method, host, path, key, []byte("warm"), 8*time.Second) }()
		}
		for range f.sidecars {
			if a := <-done; a.status == 200 {
				served++
			}
		}
		ran := 0
		for _, t := range targets {
			if len(t.taken()) >= 3 {
				ran++
			}
		}
		if served == len(f.sidecars) && ran == len(targets) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the fleet does not serve")
}
