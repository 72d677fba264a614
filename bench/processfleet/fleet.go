// Package processfleet runs a fleet of separate rosemarylined processes on loopback for measurements.
package processfleet

import (
	"cmp"
	"context"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

const (
	// credential is the credential of the operator that makes all changes.
	credential = "bench-credential"
	// retryInterval is the time between two attempts of Retry.
	retryInterval = 10 * time.Millisecond
	// controlVMs is the number of control VMs, the least that survives the loss of one.
	controlVMs = 3
	// domainCount is the number of failure domains, so that each control VM is in its own.
	domainCount = 3
)

// Options describes a fleet.
type Options struct {
	// Daemon is the path of the rosemarylined binary.
	Daemon string
	// Count is the number of processes, at least 3. The first three are control VMs.
	Count int
	// Document is the configuration. Start adds failure domains, if it has none, and an operator.
	Document *config.Document
	// Env has additional environment variables of the processes.
	Env []string
	// OnExit is called with an error when a process ends that the fleet did not stop; nil: the end is ignored.
	OnExit func(error)
}

// Process is one process of a fleet.
type Process struct {
	Name string
	// Admin, Caller and Local are the addresses, host and port, for operators, callers and backend servers.
	Admin, Caller, Local string

	peer  string
	args  []string
	dir   string // data folder of a control VM, or ""
	child *Child
}

// Fleet is a fleet of separate processes. The first three are control VMs.
type Fleet struct {
	Processes []*Process
	Client    *control.Client

	opts        Options
	dir         string
	changeCount int
}

// Start starts the processes, configures the fleet and waits until the version with the number Count is in force. If it
// returns a fleet, the caller must stop it, even if there is an error.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "rosemaryline-processes-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{opts: o, dir: dir, Client: &control.Client{Credential: credential}}
	for i := range o.Count {
		if err := f.startNext(i); err != nil {
			return f, err
		}
	}
	if err := f.configure(ctx); err != nil {
		return f, errors.Wrap(err, "configure")
	}
	for _, p := range f.Processes[1:controlVMs] {
		if err := f.addControl(ctx, p); err != nil {
			return f, errors.Wrapf(err, "add %s", p.Name)
		}
	}
	return f, f.WaitInForce(ctx, uint64(o.Count))
}

// startNext starts the process with index i. Indexes are used in ascending order.
func (f *Fleet) startNext(i int) error {
	p := &Process{Name: fmt.Sprintf("vm-%d", i)}
	// The host address is unique to the process, and the ports are below those that the system assigns automatically, so that
	// no other program takes them.
	host := fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()/250%64, os.Getpid()%250+1, i+1)
	p.peer, p.Admin = host+":7001", host+":7003"
	p.Caller, p.Local = host+":8080", host+":7002"
	p.args = []string{
		"-name", p.Name, "-failure-domain", fmt.Sprintf("domain-%d", i%domainCount), "-peer-listen", p.peer,
		"-admin-listen", p.Admin, "-local-listen", p.Local, "-listen", p.Caller, "-log-level", "error",
		"-bootstrap-credential-hash", config.HashKey(credential),
	}
	if i < controlVMs {
		p.dir = filepath.Join(f.dir, p.Name)
		p.args = append(p.args, "-data-dir", p.dir)
		f.Client.Addresses = append(f.Client.Addresses, p.Admin)
	}
	if i == 0 {
		p.args = append(p.args, "-bootstrap")
	} else {
		p.args = append(p.args, "-join", f.Processes[0].peer)
	}
	f.Processes = append(f.Processes, p)
	return f.StartProcess(p)
}

// StartProcess starts, or restarts, a process with its arguments.
func (f *Fleet) StartProcess(p *Process) (err error) {
	p.child, err = StartChild(ChildOptions{Name: p.Name, Command: append([]string{f.opts.Daemon}, p.args...), Env: f.opts.Env, OnExit: f.opts.OnExit})
	return err
}

// Kill kills the process without a graceful shutdown.
func (p *Process) Kill() { p.child.Kill() }

// Usage returns the resource usage of the process.
func (p *Process) Usage() (Usage, error) { return p.child.Usage() }

// Stop kills all processes and removes their data.
func (f *Fleet) Stop() {
	for _, p := range f.Processes {
		if p.child != nil {
			p.Kill()
		}
	}
	os.RemoveAll(f.dir)
}

// DefaultDomains returns the failure domains in which the processes are.
func DefaultDomains() map[string]config.Domain {
	domains := map[string]config.Domain{}
	for i := range domainCount {
		domains[fmt.Sprintf("domain-%d", i)] = config.Domain{Region: "local"}
	}
	return domains
}

// configure makes the first change: the document, failure domains and an operator.
func (f *Fleet) configure(ctx context.Context) error {
	doc := *f.opts.Document
	if len(doc.Domains) == 0 {
		doc.Domains = DefaultDomains()
	}
	doc.SetDefaults()
	doc.Operators = map[string]config.Operator{"bench": {Role: config.RoleAdmin, CredentialHash: config.HashKey(credential)}}
	empty := &config.Document{}
	empty.SetDefaults()
	var refused error
	err := f.Retry(ctx, func() error {
		_, err := f.Apply(ctx, 0, config.Diff(empty, &doc))
		var problem *control.Problem
		if errors.As(err, &problem) && problem.Code == control.ProblemBadRequest {
			refused = err // for example by a build that does not know a setting; no attempt would end otherwise
			return nil
		}
		return err
	})
	return cmp.Or(refused, err)
}

// Apply proposes a change on top of the version base and returns the new version.
func (f *Fleet) Apply(ctx context.Context, base uint64, change config.Change) (uint64, error) {
	request := control.ApplyRequest{ApplyChange: state.ApplyChange{Change: change, ContentHash: change.Hash()}}
	request.ChangeID, request.BaseVersion = f.nextChangeID(), base
	reply, err := f.Client.Change(ctx, "/v1/config", &request)
	return reply.Version, err
}

// nextChangeID returns a change ID that this fleet has not used.
func (f *Fleet) nextChangeID() string {
	f.changeCount++
	return fmt.Sprintf("change-%d", f.changeCount)
}

// BeginRollout orders a rollout and returns once it is recorded.
func (f *Fleet) BeginRollout(ctx context.Context, service, version string, d time.Duration) error {
	request := control.RolloutRequest{NewVersion: version, DurationMs: d.Milliseconds()}
	request.ChangeID = f.nextChangeID()
	_, err := f.Client.Change(ctx, "/v1/rollouts/"+url.PathEscape(service)+"/begin", &request)
	return err
}

// Rollout returns the latest rollout of a service.
func (f *Fleet) Rollout(ctx context.Context, service string) (state.Rollout, error) {
	var status control.RolloutStatus
	err := f.Client.Get(ctx, "/v1/rollouts/"+url.PathEscape(service), nil, &status)
	return status.Rollout, err
}

// Changes returns the number of changes that were proposed.
func (f *Fleet) Changes() int { return f.changeCount }

// addControl adds a process to the control group.
func (f *Fleet) addControl(ctx context.Context, p *Process) error {
	return f.Retry(ctx, func() error {
		data, err := os.ReadFile(filepath.Join(p.dir, "control", "id"))
		if err != nil {
			return err
		}
		change := control.GroupChange{Action: control.GroupAdd, ID: string(data[:16]), Address: p.peer}
		_, err = f.Client.PostOnce(ctx, "/v1/group", control.GroupRequest{GroupChange: change})
		return err
	})
}

// WaitInForce waits until a version is in force.
func (f *Fleet) WaitInForce(ctx context.Context, version uint64) error {
	return f.Retry(ctx, func() error {
		var reply control.InForceReply
		if err := f.Client.Get(ctx, fmt.Sprintf("/v1/inforce/%d", version), nil, &reply); err != nil {
			return err
		}
		if !reply.InForce {
			return errors.Errorf("version %d is not in force: %d processes missing", version, len(reply.Missing))
		}
		return nil
	})
}

// Retry calls do every 10 ms until it succeeds or ctx ends. It returns the last error of do.
func (f *Fleet) Retry(ctx context.Context, do func() error) error {
	for {
		err := do()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return err
		}
	}
}
