package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/node"
	"rosemaryline.dev/standin"
)

//go:embed dev.yaml
var devConfig []byte

const (
	// devStartTimeout bounds the start of the development fleet up to its first responses.
	devStartTimeout = 30 * time.Second
	// devServiceTime is the time that a stand-in backend server takes for a request.
	devServiceTime = 20 * time.Millisecond
	// devTeam is the team of the key that runDev prints; dev.yaml defines it.
	devTeam = "demo"
)

// devVM is one VM of the development fleet.
type devVM struct {
	name, domain string
	control      bool
	services     []string
}

var devVMs = []devVM{
	{"vm-a1", "dom-a", true, []string{"rounds", "bookings"}},
	{"vm-a2", "dom-a", false, []string{"rounds", "tariffs"}},
	{"vm-b1", "dom-b", true, []string{"rounds", "bookings"}},
	{"vm-b2", "dom-b", false, []string{"rounds", "tariffs"}},
	{"vm-c1", "dom-c", true, []string{"rounds", "bookings"}},
	{"vm-c2", "dom-c", false, []string{"rounds", "tariffs"}},
}

// devFleet is the development fleet: the VMs of devVMs and their stand-in backend servers, all in this process.
type devFleet struct {
	dir        string
	config     []byte // the configuration document
	credential string
	key        string
	log        *log.Logger
	nodes      []*node.Node
	standins   []*standin.Server
}

// runDev runs the development fleet until SIGTERM or SIGINT and returns the exit code.
func runDev(s *settings) int {
	f := &devFleet{config: devConfig, log: newLogger(s.logLevel, os.Stderr)}
	ctx, cancel := context.WithTimeout(context.Background(), devStartTimeout)
	err := f.start(ctx)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rosemarylined: -dev:", err)
		f.stop()
		return exitFailed
	}
	fmt.Printf("ready caller=http://%s admin=http://%s key=%s credential=%s\n",
		f.nodes[0].CallerAddress(), f.nodes[0].AdminAddress(), f.key, f.credential)
	for _, b := range f.standins {
		f.log.Info().Str("server", b.Name()).Str("faults", "http://"+b.Address()+standin.FaultsPath).Msg("dev: started stand-in backend server.")
	}
	<-stopSignals()
	f.stop()
	return exitOK
}

func (f *devFleet) start(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "rosemaryline-dev-")
	if err != nil {
		return err
	}
	f.dir = dir
	f.credential = newSecret()
	for i, vm := range devVMs {
		if err := f.startNode(i, vm); err != nil {
			return errors.Wrapf(err, "start %s", vm.name)
		}
	}
	if err := f.configure(ctx); err != nil {
		return errors.Wrap(err, "configure")
	}
	for _, vm := range devVMs[1:] {
		if !vm.control {
			continue
		}
		if err := f.nodes[0].AddControlMember(ctx, vm.name); err != nil {
			return err
		}
	}
	if err := f.startStandins(); err != nil {
		return errors.Wrap(err, "start stand-ins")
	}
	return errors.Wrap(f.waitReady(ctx), "first request")
}

func (f *devFleet) startNode(i int, vm devVM) error {
	o := node.Options{
		Rollouts:     node.DefaultRollouts(),
		Name:         vm.name,
		Domain:       vm.domain,
		CallerListen: "127.0.0.1:0",
		PeerListen:   "127.0.0.1:0",
		LocalListen:  "127.0.0.1:0",
		AdminListen:  "127.0.0.1:0",
		Log:          f.log,
	}
	if vm.control {
		o.DataDir = filepath.Join(f.dir, vm.name)
	}
	if i == 0 {
		o.Bootstrap = true
		o.BootstrapCredential = config.HashKey(f.credential)
	} else {
		o.Join = []string{f.nodes[0].PeerAddress()}
	}
	n, err := node.Start(o)
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	return nil
}

// configure applies the configuration and issues a key to devTeam.
func (f *devFleet) configure(ctx context.Context) error {
	doc, err := config.Load(f.config, nil, [2]string{"dev.yaml", ""})
	if err != nil {
		return err
	}
	empty := &config.Document{}
	empty.SetDefaults()
	change := config.Diff(empty, doc)
	command := state.Command{
		ChangeID: "dev-apply",
		Apply:    &state.ApplyChange{Change: change, ContentHash: change.Hash()},
	}
	if err := f.propose(ctx, command); err != nil {
		return err
	}
	f.key = newSecret()
	sum := sha256.Sum256([]byte(f.key))
	issue := &state.IssueKey{Team: devTeam, KeyHash: hex.EncodeToString(sum[:])}
	return f.propose(ctx, state.Command{ChangeID: "dev-key", IssueKey: issue})
}

// propose proposes a command based on the current version and waits until the first VM has applied it. Processes that
// join in the meantime do not conflict with it.
func (f *devFleet) propose(ctx context.Context, command state.Command) error {
	command.Operator = "dev"
	command.Time = time.Now()
	command.BaseVersion = f.nodes[0].Version()
	version, err := f.nodes[0].Propose(ctx, command)
	for err == nil && f.nodes[0].Version() < version {
		err = waitBeforeRetry(ctx)
	}
	return err
}

// waitBeforeRetry waits 50 ms. It returns the context's error if the context ends first.
func waitBeforeRetry(ctx context.Context) error {
	select {
	case <-time.After(50 * time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *devFleet) startStandins() error {
	for i, vm := range devVMs {
		for _, service := range vm.services {
			b, err := standin.Start(standin.Options{
				Name:        vm.name + "-" + service,
				Service:     service,
				Listen:      "127.0.0.1:0",
				Slots:       5,
				ServiceTime: devServiceTime,
				Announce:    "http://" + f.nodes[i].LocalAddress(),
				Seed:        uint64(i + 1),
			})
			if err != nil {
				return err
			}
			f.standins = append(f.standins, b)
		}
	}
	return nil
}

// waitReady waits until a request through each VM gets status 200.
func (f *devFleet) waitReady(ctx context.Context) error {
	for _, n := range f.nodes {
		for {
			status, err := f.request(ctx, n)
			if err == nil && status == http.StatusOK {
				break
			}
			if waitBeforeRetry(ctx) != nil {
				return errors.Errorf("last status %d, error %v", status, err)
			}
		}
	}
	return nil
}

// request sends a request through a VM and returns the status of the response.
func (f *devFleet) request(ctx context.Context, n *node.Node) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.CallerAddress()+"/rounds/ready", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// stop stops the VMs one after the other and then the stand-in backend servers, which are needed until the last accepted
// request has its response.
func (f *devFleet) stop() {
	for _, n := range f.nodes {
		if err := n.Stop(); err != nil {
			f.log.Error().Err(err).Msg("dev: VM stopped with an error.")
		}
	}
	for _, b := range f.standins {
		// The error does not matter, because the process ends next.
		_ = b.Stop()
	}
	if f.dir != "" {
		os.RemoveAll(f.dir)
	}
}

func newSecret() string {
	var secret [16]byte
	// crypto/rand.Read never returns an error; it ends the process if the system cannot provide random bytes.
	_, _ = rand.Read(secret[:])
	return hex.EncodeToString(secret[:])
}
