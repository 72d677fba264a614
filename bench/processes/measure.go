package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/bench/processfleet"
	"rosemaryline.dev/control"
)

// settleTime is the wait before a measurement, until joins, changes of shard owners and restarts have no more effects.
const settleTime = 3 * time.Second

// traffic has a process's counters of the messages that it sent to other processes.
type traffic struct {
	Bytes    int64 `json:"rosemaryline_rpc_sent_bytes_total"`
	Messages int64 `json:"rosemaryline_rpc_sent_messages_total"`
}

// traffic reads the counters from the admin listener of a process.
func trafficOf(p *process) (traffic, error) {
	resp, err := http.Get("http://" + p.Admin + "/debug/vars")
	if err != nil {
		return traffic{}, err
	}
	defer resp.Body.Close()
	var t traffic
	return t, json.NewDecoder(resp.Body).Decode(&t)
}

// measureIdle prints the mean processor time, memory and traffic per process during the time d, separately for control VMs
// and for the other processes.
func (f *fleet) measureIdle(d time.Duration) error {
	time.Sleep(settleTime)
	before := make([]processfleet.Usage, len(f.Processes))
	sent := make([]traffic, len(f.Processes))
	for i, p := range f.Processes {
		var err error
		if before[i], err = p.Usage(); err != nil {
			return err
		}
		if sent[i], err = trafficOf(p); err != nil {
			return err
		}
	}
	time.Sleep(d)
	for _, group := range []struct {
		name     string
		from, to int
	}{{"control VM", 0, 3}, {"proxy", 3, len(f.Processes)}} {
		if group.from == group.to {
			continue
		}
		if err := f.printUsage(group.name, group.from, group.to, before, d); err != nil {
			return err
		}
		if err := f.printTraffic(group.name, group.from, group.to, sent, d); err != nil {
			return err
		}
	}
	return nil
}

// printTraffic prints the mean traffic of f.Processes[from:to]. before has the counters at the start of the time d.
func (f *fleet) printTraffic(name string, from, to int, before []traffic, d time.Duration) error {
	var bytes, messages int64
	for i := from; i < to; i++ {
		now, err := trafficOf(f.Processes[i])
		if err != nil {
			return err
		}
		bytes += now.Bytes - before[i].Bytes
		messages += now.Messages - before[i].Messages
	}
	processSeconds := d.Seconds() * float64(to-from)
	fmt.Printf("idle: %s: %.0f bytes and %.1f messages a second sent to other processes, without TCP and IP headers\n",
		name, float64(bytes)/processSeconds, float64(messages)/processSeconds)
	return nil
}

// printUsage prints the mean usage of f.Processes[from:to]. before has the usage at the start of the time d.
func (f *fleet) printUsage(name string, from, to int, before []processfleet.Usage, d time.Duration) error {
	var cpu time.Duration
	var rss uint64
	for i := from; i < to; i++ {
		now, err := f.Processes[i].Usage()
		if err != nil {
			return err
		}
		cpu += now.CPU - before[i].CPU
		rss += now.RSS
	}
	n := to - from
	fmt.Printf("idle: %s (%d): %.2f%% of a core, %.1f MB resident each\n",
		name, n, 100*cpu.Seconds()/d.Seconds()/float64(n), float64(rss)/float64(n)/1e6)
	return nil
}

// measureChanges makes changes one by one. It prints the time from the proposal of a change until it is accepted and until
// it is in force.
func (f *fleet) measureChanges(ctx context.Context, count int) error {
	var accepted, inForce []time.Duration
	for range count {
		start := time.Now()
		version, err := f.changeRate(ctx)
		if err != nil {
			return err
		}
		accepted = append(accepted, time.Since(start))
		if err := f.WaitInForce(ctx, version); err != nil {
			return err
		}
		inForce = append(inForce, time.Since(start))
	}
	fmt.Printf("change: accepted after %v (median) and %v (longest), in force after %v and %v, of %d\n",
		median(accepted), slices.Max(accepted), median(inForce), slices.Max(inForce), count)
	return nil
}

// median sorts the list and returns its median, rounded to 100 µs.
func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)/2].Round(100 * time.Microsecond)
}

// measureLeaderLoss kills the control leader and prints the time until the next change is accepted.
func (f *fleet) measureLeaderLoss(ctx context.Context) error {
	leader, err := f.leader(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	leader.Kill()
	err = f.Retry(ctx, func() error {
		_, err := f.changeRate(ctx)
		return err
	})
	if err != nil {
		return err
	}
	fmt.Printf("leader killed: next change accepted after %v\n", time.Since(start).Round(time.Millisecond))
	return f.StartProcess(leader)
}

// leader returns the process that leads the control group.
func (f *fleet) leader(ctx context.Context) (*process, error) {
	var group control.GroupStatus
	if err := f.Client.Get(ctx, "/v1/group", nil, &group); err != nil {
		return nil, err
	}
	for _, m := range group.Members {
		for _, p := range f.Processes {
			if m.ID == group.Leader && p.Name == m.VM {
				return p, nil
			}
		}
	}
	return nil, errors.Errorf("leader %s is not a process of this fleet", group.Leader)
}

// measureRestart makes many changes, as fast as one client can. Then it kills and restarts a control VM and prints the time
// until that VM has all versions again.
func (f *fleet) measureRestart(ctx context.Context, history int) error {
	time.Sleep(settleTime)
	start := time.Now()
	for range history {
		if err := f.Retry(ctx, func() error { _, err := f.changeRate(ctx); return err }); err != nil {
			return err
		}
	}
	elapsed := time.Since(start)
	fmt.Printf("changes: %d by one client in %v, %.0f a second\n", history, elapsed.Round(time.Millisecond), float64(history)/elapsed.Seconds())
	var before control.VersionReply
	if err := f.Client.Get(ctx, "/v1/version", nil, &before); err != nil {
		return err
	}
	p := f.Processes[2]
	p.Kill()
	start = time.Now()
	if err := f.StartProcess(p); err != nil {
		return err
	}
	// A stale read needs no quorum, so the restarted process responds with its own version.
	restarted := &control.Client{Addresses: []string{p.Admin}, Credential: f.Client.Credential}
	err := f.Retry(ctx, func() error {
		var status control.StatusReply
		if err := restarted.Get(ctx, "/v1/status", map[string][]string{"stale": {"true"}}, &status); err != nil {
			return err
		}
		if status.Version < before.Version {
			return errors.Errorf("restarted process has version %d, want %d", status.Version, before.Version)
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Printf("restart: all %d versions again after %v\n", before.Version, time.Since(start).Round(time.Millisecond))
	return nil
}
