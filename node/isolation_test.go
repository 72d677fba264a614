package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/standin"
)

// waitTimeout limits each wait. A wait that reaches it has found a fault.
const waitTimeout = 60 * time.Second

// network cuts connections between the processes of a test.
type network struct {
	mu  sync.Mutex
	cut map[[2]string]bool // from, to
}

var errCut = errors.New("the network is cut")

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

// setCut cuts or restores the direction from one process to another. A cut also loses messages on open connections.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// dialer returns the dial function of a process.
func (n *network) dialer(from string) func(ctx context.Context, kind, address string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		if n.isCut(from, address) {
			return nil, errCut
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		return &cutConn{Conn: conn, network: n, from: from, to: address}, err
	}
}

type cutConn struct {
	net.Conn
	network  *network
	from, to string
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.network.isCut(c.from, c.to) {
		c.Close()
		return 0, errCut
	}
	return c.Conn.Write(p)
}

func eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
	}
}

// isolationFleet is one control VM and four proxies in one test process.
type isolationFleet struct {
	t       *testing.T
	network *network
	control *Node
	proxies []*Node
}

func startIsolationFleet(t *testing.T) *isolationFleet {
	t.Helper()
	f := &isolationFleet{t: t, network: &network{cut: map[[2]string]bool{}}}
	f.control = f.startNode("control", filepath.Join(t.TempDir(), "data"))
	for i := range 4 {
		f.proxies = append(f.proxies, f.startNode(fmt.Sprintf("proxy-%d", i), ""))
	}
	change := config.Change{}
	change.Domains.Set = map[string]config.Domain{"dom": {Region: "region"}}
	change.Services.Set = map[string]config.Service{"svc": {Slots: 10, Connections: 100, FloorPercent: 50}}
	change.Routes.Set = map[string]config.Route{"root": {Path: "/", Service: "svc", Access: config.AccessOpen}}
	change.Teams.Set = map[string]config.Team{"team": {Rate: 1000, Burst: 1000, KeyHashes: []string{config.HashKey("key")}}}
	change.SetDefaults()
	f.propose(state.Command{ChangeID: "configure", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	for i, n := range f.proxies {
		s, err := standin.Start(standin.Options{
			Name: fmt.Sprintf("svc-%d", i), Service: "svc", Listen: "127.0.0.1:0", Slots: 10,
			Announce: "http://" + n.LocalAddress(), Seed: 1,
		})
		assert.NilError(t, err)
		t.Cleanup(func() { assert.NilError(t, s.Stop()) })
	}
	return f
}

func (f *isolationFleet) startNode(name, dir string) *Node {
	f.t.Helper()
	o := Options{
		Name: name, Domain: "dom", CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", LocalListen: "127.0.0.1:0",
		DataDir: dir, Bootstrap: dir != "", Dial: f.network.dialer(name),
	}
	if f.control != nil {
		o.Join = []string{f.control.PeerAddress()}
	}
	n, err := Start(o)
	assert.NilError(f.t, err)
	f.t.Cleanup(n.Kill)
	return n
}

// propose proposes a command based on the newest version of the control process.
func (f *isolationFleet) propose(command state.Command) (version uint64) {
	f.t.Helper()
	command.Operator = "test"
	eventually(f.t, command.ChangeID, func() (err error) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		f.control.control.machine.View(func(s *state.State) { command.BaseVersion = s.Version() })
		version, err = f.control.Propose(ctx, command)
		return err
	})
	return version
}

func (f *isolationFleet) waitInForce(version uint64) {
	f.t.Helper()
	eventually(f.t, fmt.Sprint("version in force: ", version), func() error {
		if inForce := f.control.control.heartbeats.confirmations.InForce(); inForce < version {
			return fmt.Errorf("in force is %d", inForce)
		}
		return nil
	})
}

// status sends a request through a process and returns the status of the response.
func (f *isolationFleet) status(n *Node) (int, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.CallerAddress()+"/x", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func (f *isolationFleet) waitServing(n *Node) {
	f.t.Helper()
	eventually(f.t, "response of "+n.opts.Name, func() error {
		status, err := f.status(n)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}

// isolate cuts the connections between one process and all others: both directions, or with oneWay only those from the
// process.
func (f *isolationFleet) isolate(n *Node, oneWay bool) {
	for _, other := range append([]*Node{f.control}, f.proxies...) {
		if other == n {
			continue
		}
		f.network.setCut(n.opts.Name, other.PeerAddress(), true)
		if !oneWay {
			f.network.setCut(other.opts.Name, n.PeerAddress(), true)
		}
	}
}

// Guards against reporting a key's withdrawal in force while a process that is cut off, in both directions or only one,
// still accepts the key.
func TestWithdrawnKeyAtIsolatedProcess(t *testing.T) {
	for _, test := range []struct {
		desc   string
		oneWay bool
	}{{"both directions cut", false}, {"one direction cut", true}} {
		t.Run(test.desc, func(t *testing.T) {
			f := startIsolationFleet(t)
			for _, n := range f.proxies {
				f.waitServing(n)
			}
			isolated := f.proxies[3]
			f.isolate(isolated, test.oneWay)
			withdraw := &state.WithdrawKey{KeyHash: config.HashKey("key")}
			f.waitInForce(f.propose(state.Command{ChangeID: "withdraw", WithdrawKey: withdraw}))
			for _, n := range f.proxies {
				for range 5 {
					status, err := f.status(n)
					assert.NilError(t, err)
					assert.Assert(t, status == http.StatusUnauthorized || status == http.StatusServiceUnavailable,
						"%s responded with status %d", n.opts.Name, status)
				}
			}
		})
	}
}
