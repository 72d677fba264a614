package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/node"
)

const (
	// controlVMs is the number of VMs that run only control.
	controlVMs = 3
	// controlHost is the host number of the first control VM's address. It is above the numbers of the VMs with backend
	// servers.
	controlHost = 200
	// stopTimeout bounds the graceful stop of a process.
	stopTimeout = time.Second
)

// fleet is the system to measure: control VMs, and a process on the VM of each backend server. All processes run inside the
// benchmark's process.
type fleet struct {
	user        *user
	dir         string
	log         *log.Logger
	ejectionLog *ejectionLog
	control     []*node.Node
	nodes       []*node.Node
	backends    *servers
	changeCount int
}

func startFleet(ctx context.Context, u *user, seed uint64, logOutput *os.File) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rosemaryline-bench-")
	if err != nil {
		return nil, err
	}
	f := &fleet{user: u, dir: dir, ejectionLog: &ejectionLog{file: logOutput}}
	f.log = &log.Logger{Level: log.InfoLevel, Writer: f.ejectionLog}
	if err := f.start(ctx, seed); err != nil {
		f.stop()
		return nil, errors.Wrap(err, "start fleet")
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, seed uint64) error {
	if err := f.startControl(ctx); err != nil {
		return err
	}
	if err := f.configure(ctx); err != nil {
		return errors.Wrap(err, "configure")
	}
	var announceURLs []string
	for i, v := range f.user.vms() {
		n, err := f.startNode(v.name, v.domain, i, "")
		if err != nil {
			return errors.Wrapf(err, "start %s", v.name)
		}
		f.nodes = append(f.nodes, n)
		announceURLs = append(announceURLs, "http://"+n.LocalAddress())
	}
	var err error
	f.backends, err = startServers(f.user, announceURLs, seed)
	return err
}

func (f *fleet) startControl(ctx context.Context) error {
	for i := range controlVMs {
		name := fmt.Sprintf("control-%d", i+1)
		n, err := f.startNode(name, i, controlHost+i, filepath.Join(f.dir, name))
		if err != nil {
			return errors.Wrapf(err, "start %s", name)
		}
		f.control = append(f.control, n)
	}
	for i := range f.control[1:] {
		name := fmt.Sprintf("control-%d", i+2)
		if err := f.addMember(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// addMember adds a control VM to the control group. It retries until the first control VM knows the new one.
func (f *fleet) addMember(ctx context.Context, name string) error {
	for {
		err := f.control[0].AddControlMember(ctx, name)
		if err == nil || pause(ctx) != nil {
			return errors.Wrapf(err, "add %s to the control group", name)
		}
	}
}

// startNode starts a process in a failure domain; host is the number in its address. With a data folder, the process has
// only the control role.
func (f *fleet) startNode(name string, domain, host int, dataDir string) (*node.Node, error) {
	o := node.Options{
		Name:        name,
		Domain:      f.user.domains[domain],
		PeerListen:  listenAddress(domain, host),
		AdminListen: listenAddress(domain, host),
		DataDir:     dataDir,
		StopTimeout: stopTimeout,
		Dial:        f.user.peerDialer(domain).DialContext,
		Log:         f.log,
	}
	if dataDir == "" {
		o.CallerListen = listenAddress(domain, host)
		o.LocalListen = listenAddress(domain, host)
	}
	if len(f.control) == 0 {
		o.Bootstrap = true
		o.BootstrapCredential = config.HashKey("bench")
	} else {
		for _, c := range f.control {
			o.Join = append(o.Join, c.PeerAddress())
		}
	}
	return node.Start(o)
}

// configure applies the user's configuration and issues a key to each team.
func (f *fleet) configure(ctx context.Context) error {
	empty := &config.Document{}
	empty.SetDefaults()
	change := config.Diff(empty, f.user.doc)
	apply := state.Command{Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}}
	if err := f.propose(ctx, apply); err != nil {
		return err
	}
	for _, team := range f.user.teams {
		issue := &state.IssueKey{Team: team, KeyHash: config.HashKey(f.keyOf(team))}
		if err := f.propose(ctx, state.Command{IssueKey: issue}); err != nil {
			return err
		}
	}
	return nil
}

// propose proposes an operator's command on top of the current version and waits until it is applied.
func (f *fleet) propose(ctx context.Context, command state.Command) error {
	f.changeCount++
	command.ChangeID = fmt.Sprintf("bench-%d", f.changeCount)
	command.Operator = "bench"
	command.Time = time.Now()
	command.BaseVersion = f.control[0].Version()
	version, err := f.control[0].Propose(ctx, command)
	for err == nil && f.control[0].Version() < version {
		err = pause(ctx)
	}
	return err
}

func (f *fleet) name() string { return "fleet" }

func (f *fleet) callerAddress(vm int) string { return f.nodes[vm].CallerAddress() }

func (f *fleet) keyOf(team string) string { return "key-of-" + team }

func (f *fleet) servers() *servers { return f.backends }

func (f *fleet) setDomain(ctx context.Context, domain string, out bool) error {
	return f.propose(ctx, state.Command{SetDomain: &state.SetDomain{Domain: domain, Out: out, Force: true}})
}

func (f *fleet) stopControl() {
	for _, n := range f.control {
		n.Kill()
	}
}

func (f *fleet) ejections() []ejection { return f.ejectionLog.list() }

func (f *fleet) stop() {
	if f.backends != nil {
		f.backends.stop()
	}
	var killed sync.WaitGroup
	for _, n := range append(f.nodes, f.control...) {
		killed.Go(n.Kill)
	}
	killed.Wait()
	os.RemoveAll(f.dir)
}

// pause waits 50 ms before the next check of a condition. It returns ctx's error if ctx ends first.
func pause(ctx context.Context) error {
	select {
	case <-time.After(50 * time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
