package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// credential is the credential of the operator that makes all changes.
const credential = "bench-credential"

// process is one running daemon, rosemarylined.
type process struct {
	name        string
	args        []string
	admin, peer string // addresses of its listeners, host and port
	// caller and local are the addresses for callers and for backend servers.
	caller, local string
	dir           string // data folder of a control VM, or ""
	cmd           *exec.Cmd
}

// fleet is a fleet of separate processes. The first three are control VMs.
type fleet struct {
	daemon      string // path of the rosemarylined binary
	dir         string
	processes   []*process
	client      *control.Client
	changeCount int
}

// startFleet starts count processes, configures the fleet and waits until the version with the number count is in force. If
// it returns a fleet, the caller must stop it, even if there is an error.
func startFleet(ctx context.Context, daemon string, count int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rosemaryline-processes-")
	if err != nil {
		return nil, err
	}
	f := &fleet{daemon: daemon, dir: dir, client: &control.Client{Credential: credential}}
	for i := range count {
		if err := f.startNext(i); err != nil {
			return f, err
		}
	}
	if err := f.configure(ctx); err != nil {
		return f, errors.Wrap(err, "configure")
	}
	for _, p := range f.processes[1:3] {
		if err := f.addControl(ctx, p); err != nil {
			return f, errors.Wrapf(err, "add %s", p.name)
		}
	}
	return f, f.waitInForce(ctx, uint64(count))
}

// startNext starts the process with index i. Indexes are used in ascending order.
func (f *fleet) startNext(i int) error {
	p := &process{name: fmt.Sprintf("vm-%d", i)}
	// The host address is unique to the process, and the ports are below those that the system assigns automatically, so that
	// no other program takes them.
	host := fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()/250%64, os.Getpid()%250+1, i+1)
	p.peer, p.admin = host+":7001", host+":7003"
	p.caller, p.local = host+":8080", host+":7002"
	p.args = []string{
		"-name", p.name, "-failure-domain", fmt.Sprintf("domain-%d", i%3), "-peer-listen", p.peer,
		"-admin-listen", p.admin, "-local-listen", p.local, "-listen", p.caller, "-log-level", "error",
		"-bootstrap-credential-hash", config.HashKey(credential),
	}
	if i < 3 {
		p.dir = filepath.Join(f.dir, p.name)
		p.args = append(p.args, "-data-dir", p.dir)
		f.client.Addresses = append(f.client.Addresses, p.admin)
	}
	if i == 0 {
		p.args = append(p.args, "-bootstrap")
	} else {
		p.args = append(p.args, "-join", f.processes[0].peer)
	}
	f.processes = append(f.processes, p)
	return f.start(p)
}

// start starts, or restarts, a process with its arguments.
func (f *fleet) start(p *process) error {
	p.cmd = exec.Command(f.daemon, p.args...)
	p.cmd.Stderr = os.Stderr
	return p.cmd.Start()
}

// kill kills a process without a graceful shutdown.
func (p *process) kill() {
	// Kill fails only if the process has already ended, and Wait returns an error for each killed process.
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func (f *fleet) stop() {
	for _, p := range f.processes {
		p.kill()
	}
	os.RemoveAll(f.dir)
}

// configure makes the first change: failure domains, teams, the route of the speed measurement and an operator.
func (f *fleet) configure(ctx context.Context) error {
	doc := &config.Document{}
	doc.SetDefaults()
	for i := range 3 {
		doc.Domains[fmt.Sprintf("domain-%d", i)] = config.Domain{Region: "local"}
	}
	doc.Teams["bench"] = config.Team{Rate: 1, Burst: 1}
	addSpeedConfig(doc)
	doc.SetDefaults()
	doc.Operators = map[string]config.Operator{"bench": {Role: config.RoleAdmin, CredentialHash: config.HashKey(credential)}}
	empty := &config.Document{}
	empty.SetDefaults()
	return f.retry(ctx, func() error {
		_, err := f.apply(ctx, 0, config.Diff(empty, doc))
		return err
	})
}

// apply proposes a change on top of the version base and returns the new version.
func (f *fleet) apply(ctx context.Context, base uint64, change config.Change) (uint64, error) {
	f.changeCount++
	request := control.ApplyRequest{ApplyChange: state.ApplyChange{Change: change, ContentHash: change.Hash()}}
	request.ChangeID, request.BaseVersion = fmt.Sprintf("change-%d", f.changeCount), base
	reply, err := f.client.Change(ctx, "/v1/config", &request)
	return reply.Version, err
}

// changeRate makes one small change, of a team's rate, on top of the current version and returns the new version.
func (f *fleet) changeRate(ctx context.Context) (uint64, error) {
	var current control.VersionReply
	if err := f.client.Get(ctx, "/v1/version", nil, &current); err != nil {
		return 0, err
	}
	change := config.Change{}
	change.Teams.Set = map[string]config.Team{"bench": {Rate: float64(f.changeCount + 2), Burst: 1}}
	return f.apply(ctx, current.Version, change)
}

// addControl adds a process to the control group.
func (f *fleet) addControl(ctx context.Context, p *process) error {
	return f.retry(ctx, func() error {
		data, err := os.ReadFile(filepath.Join(p.dir, "control", "id"))
		if err != nil {
			return err
		}
		change := control.GroupChange{Action: control.GroupAdd, ID: string(data[:16]), Address: p.peer}
		_, err = f.client.PostOnce(ctx, "/v1/group", control.GroupRequest{GroupChange: change})
		return err
	})
}

// waitInForce waits until a version is in force.
func (f *fleet) waitInForce(ctx context.Context, version uint64) error {
	return f.retry(ctx, func() error {
		var reply control.InForceReply
		if err := f.client.Get(ctx, fmt.Sprintf("/v1/inforce/%d", version), nil, &reply); err != nil {
			return err
		}
		if !reply.InForce {
			return errors.Errorf("version %d is not in force: %d processes missing", version, len(reply.Missing))
		}
		return nil
	})
}

// retry calls do every 10 ms until it succeeds or ctx ends. It returns the last error of do.
func (f *fleet) retry(ctx context.Context, do func() error) error {
	for {
		err := do()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return err
		}
	}
}
