package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/standin"
)

// eventuallyTimeout bounds each wait of these tests. It is far longer than a wait takes on a busy machine, so reaching it
// means a fault.
const eventuallyTimeout = 60 * time.Second

const testCredential = "test-credential"

// testVM is one VM of a test fleet: a daemon process and its backend server.
type testVM struct {
	name, domain               string
	peer, local, admin, caller string
	// advertise is the value of -peer-address, the address by which peers reach the process; empty means peer.
	advertise string
	dataDir   string
	bootstrap bool
	cmd       *exec.Cmd
	standin   *standin.Server
}

// testFleet is a fleet of separate processes on loopback.
type testFleet struct {
	t      *testing.T
	binary string
	vms    []*testVM
	client *control.Client
	// prepare may change a VM before its first start.
	prepare func(*testVM)
}

func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "rosemarylined")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	return binary
}

// startFleet starts three control VMs with the proxy role, one in each failure domain, and configures them.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	return startFleetWith(t, func(*testVM) {})
}

// startFleetWith is startFleet, but calls change for each VM before its first start.
func startFleetWith(t *testing.T, change func(*testVM)) *testFleet {
	t.Helper()
	f := &testFleet{t: t, binary: buildDaemon(t), prepare: change}
	for i, domain := range []string{"dom-a", "dom-b", "dom-c"} {
		vm := newVM("vm-"+domain[4:], domain)
		vm.bootstrap = i == 0
		vm.dataDir = filepath.Join(t.TempDir(), domain)
		change(vm)
		f.vms = append(f.vms, vm)
		f.start(vm)
	}
	t.Cleanup(f.stop)
	var admins []string
	for _, vm := range f.vms {
		admins = append(admins, "http://"+vm.admin)
	}
	f.client = &control.Client{Addresses: admins, Credential: testCredential}
	f.configure()
	for _, vm := range f.vms[1:] {
		f.addControlMember(vm)
	}
	return f
}

// addProxies starts VMs that have only the proxy role.
func (f *testFleet) addProxies(count int) (proxies []*testVM) {
	f.t.Helper()
	domains := []string{"dom-a", "dom-b", "dom-c"}
	for i := range count {
		vm := newVM(fmt.Sprintf("proxy-%d", i), domains[i%len(domains)])
		f.prepare(vm)
		f.vms = append(f.vms, vm)
		f.start(vm)
		proxies = append(proxies, vm)
	}
	return proxies
}

// vmCounter is the number of VMs that the tests of this process have created.
var vmCounter atomic.Int32

// newVM returns a VM with its own loopback address and with ports below the ephemeral range, so that no other connection
// can take a port between two starts of the process.
func newVM(name, domain string) *testVM {
	// A long soak test uses more VMs than the last octet can number.
	n, pid := int(vmCounter.Add(1)), os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 64+pid/250%32+32*(n/250%2), pid%250+1, n%250+1)
	return &testVM{
		name: name, domain: domain,
		caller: host + ":8080", peer: host + ":7001", local: host + ":7002", admin: host + ":7003",
	}
}

func (f *testFleet) start(vm *testVM) {
	f.t.Helper()
	args := []string{
		"-name", vm.name, "-failure-domain", vm.domain, "-listen", vm.caller, "-peer-listen", vm.peer,
		"-local-listen", vm.local, "-admin-listen", vm.admin, "-log-level", "warn",
		"-bootstrap-credential-hash", config.HashKey(testCredential),
	}
	if vm.dataDir != "" {
		args = append(args, "-data-dir", vm.dataDir)
	}
	if vm.bootstrap {
		args = append(args, "-bootstrap")
	}
	if vm.advertise != "" {
		args = append(args, "-peer-address", vm.advertise)
	}
	join := ""
	for _, other := range f.vms {
		if other != vm {
			join += "," + other.advertisedAddress()
		}
	}
	if join != "" {
		args = append(args, "-join", join[1:])
	}
	vm.cmd = exec.Command(f.binary, args...)
	vm.cmd.Stderr = &prefixWriter{prefix: vm.name, t: f.t}
	assert.NilError(f.t, vm.cmd.Start())
}

// advertisedAddress returns the address by which peers reach the VM.
func (vm *testVM) advertisedAddress() string {
	if vm.advertise != "" {
		return vm.advertise
	}
	return vm.peer
}

// prefixWriter writes a process's standard error to the test's, with the name of the VM.
type prefixWriter struct {
	prefix string
	t      *testing.T
}

func (w *prefixWriter) Write(p []byte) (int, error) {
	os.Stderr.WriteString(w.prefix + ": " + string(p))
	return len(p), nil
}

// kill ends a process with SIGKILL, like a crash.
func (f *testFleet) kill(vm *testVM) {
	f.t.Helper()
	assert.NilError(f.t, vm.cmd.Process.Kill())
	// The error only reports that the process was killed.
	_ = vm.cmd.Wait()
}

func (f *testFleet) stop() {
	for _, vm := range f.vms {
		if vm.standin != nil {
			_ = vm.standin.Stop()
		}
		if vm.cmd.ProcessState == nil {
			_ = vm.cmd.Process.Kill()
			_ = vm.cmd.Wait()
		}
	}
}

// eventually repeats check until it returns nil. It fails the test after eventuallyTimeout.
func (f *testFleet) eventually(what string, check func() error) {
	f.t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *testFleet) configure() {
	f.t.Helper()
	doc, err := config.Load(devConfig, nil, [2]string{"dev.yaml", ""})
	assert.NilError(f.t, err)
	doc.Operators = map[string]config.Operator{
		"root": {Role: config.RoleAdmin, CredentialHash: config.HashKey(testCredential)},
	}
	empty := &config.Document{}
	empty.SetDefaults()
	f.apply("configure", 0, config.Diff(empty, doc))
}

// apply sends a configuration change until it is accepted and returns its version.
func (f *testFleet) apply(id string, base uint64, change config.Change) uint64 {
	f.t.Helper()
	request := control.ApplyRequest{ApplyChange: state.ApplyChange{Change: change, ContentHash: change.Hash()}}
	request.ChangeID, request.BaseVersion = id, base
	return f.change("/v1/config", &request)
}

// change sends a change to the operators' API until it is accepted and returns its version.
func (f *testFleet) change(path string, request any) (version uint64) {
	f.t.Helper()
	f.eventually("change "+path, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		reply, err := f.client.Change(ctx, path, request)
		version = reply.Version
		return err
	})
	return version
}

func (f *testFleet) version() uint64 {
	f.t.Helper()
	var reply control.VersionReply
	f.eventually("read version", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return f.client.Get(ctx, "/v1/version", nil, &reply)
	})
	return reply.Version
}

func (f *testFleet) addControlMember(vm *testVM) {
	f.t.Helper()
	f.eventually("add control VM "+vm.name, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		id, err := controlMemberID(vm)
		if err != nil {
			return err
		}
		request := control.GroupRequest{GroupChange: control.GroupChange{Action: control.GroupAdd, ID: id, Address: vm.advertisedAddress()}}
		_, err = f.client.PostOnce(ctx, "/v1/group", request)
		return err
	})
}

// controlMemberID reads the ID of a VM in the control group from its data folder, as the operators' documentation
// describes.
func controlMemberID(vm *testVM) (string, error) {
	data, err := os.ReadFile(filepath.Join(vm.dataDir, "control", "id"))
	if err != nil {
		return "", err
	}
	return string(bytes.Fields(data)[0]), nil
}

func (f *testFleet) startStandins(vms []*testVM) {
	f.t.Helper()
	for i, vm := range vms {
		s, err := standin.Start(standin.Options{
			Name: vm.name + "-rounds", Service: "rounds", Listen: "127.0.0.1:0", Slots: 5,
			ServiceTime: 5 * time.Millisecond, Announce: "http://" + vm.local, Seed: uint64(i + 1),
		})
		assert.NilError(f.t, err)
		vm.standin = s
	}
}

type response struct {
	status  int
	outcome string
	body    []byte
}

func request(vm *testVM, method, path, key, idempotencyKey string) (response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.caller+path, nil)
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get("Rosemaryline-Outcome"), body}, err
}

func (f *testFleet) issueKey(team, key string) {
	f.t.Helper()
	r := control.KeyRequest{Team: team, KeyHash: config.HashKey(key)}
	r.ChangeID, r.BaseVersion = "issue-"+key, f.version()
	f.change("/v1/keys/issue", &r)
}

// waitServing waits until a request through the VM gets status 200.
func (f *testFleet) waitServing(vm *testVM, key string) {
	f.t.Helper()
	f.eventually("serve requests through "+vm.name, func() error {
		a, err := request(vm, http.MethodGet, "/rounds/1", key, "")
		if err == nil && a.status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", a.status, a.body)
		}
		return err
	})
}

// TestAcknowledgedChangesSurviveKills guards against acknowledged changes that are lost or repeated: during 150 changes,
// control VMs are killed and restarted one after the other. Afterwards the last version must be in force, and the history
// must have every change exactly once.
func TestAcknowledgedChangesSurviveKills(t *testing.T) {
	f := startFleet(t)
	const changes = 150
	team := func(rate int) config.Change {
		c := config.Change{}
		c.Teams.Set = map[string]config.Team{"demo": {Rate: float64(rate), Burst: 100}}
		return c
	}
	for i := range changes {
		if i%30 == 15 {
			victim := f.vms[(i/30)%len(f.vms)]
			f.kill(victim)
			victim.bootstrap = false
			f.start(victim)
		}
		f.apply(fmt.Sprintf("rate-%d", i), f.version(), team(1000+i))
	}
	f.eventually("last change in force", func() error {
		var reply control.StatusReply
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := f.client.Get(ctx, "/v1/status", nil, &reply); err != nil {
			return err
		}
		if reply.InForce < reply.Version {
			return fmt.Errorf("version %d, in force %d", reply.Version, reply.InForce)
		}
		return nil
	})
	var history control.HistoryReply
	f.eventually("history", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return f.client.Get(ctx, "/v1/history", map[string][]string{"limit": {"1000"}}, &history)
	})
	accepted := map[string]int{}
	for _, r := range history.Records {
		if r.Result.Err == nil {
			accepted[r.ChangeID]++
		}
	}
	for i := range changes {
		assert.Equal(t, accepted[fmt.Sprintf("rate-%d", i)], 1, "change %d", i)
	}
}

// TestFleetServesAndObeysOperators guards against a withdrawn key that still works, requests to a failure domain that was
// taken out, and a request with an idempotency key that runs twice, in a fleet of separate processes.
func TestFleetServesAndObeysOperators(t *testing.T) {
	f := startFleet(t)
	f.issueKey("demo", "key-1")
	f.startStandins(f.vms)
	for _, vm := range f.vms {
		f.waitServing(vm, "key-1")
	}

	first, err := request(f.vms[0], http.MethodPost, "/rounds/book", "key-1", "booking-1")
	assert.NilError(t, err)
	assert.Equal(t, first.status, http.StatusOK, string(first.body))
	// The outcome is recorded while the first caller gets its response; until then the key counts as still running.
	var second response
	f.eventually("the outcome is recorded", func() error {
		second, err = request(f.vms[1], http.MethodPost, "/rounds/book", "key-1", "booking-1")
		if err == nil && second.status == http.StatusConflict {
			assert.Equal(t, second.outcome, "unknown")
			return fmt.Errorf("status %d: %s", second.status, second.body)
		}
		return err
	})
	assert.Equal(t, second.status, http.StatusOK)
	assert.Equal(t, string(second.body), string(first.body))

	out := control.DomainRequest{Force: true}
	out.ChangeID, out.BaseVersion = "out-b", f.version()
	f.waitInForce(f.change("/v1/domains/dom-b/out", &out))
	before := len(f.vms[1].standin.Runs())
	for range 20 {
		a, err := request(f.vms[1], http.MethodGet, "/rounds/2", "key-1", "")
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusOK, string(a.body))
	}
	assert.Equal(t, len(f.vms[1].standin.Runs()), before)

	withdraw := control.KeyRequest{KeyHash: config.HashKey("key-1")}
	withdraw.ChangeID, withdraw.BaseVersion = "withdraw-1", f.version()
	f.waitInForce(f.change("/v1/keys/withdraw", &withdraw))
	for _, vm := range f.vms {
		a, err := request(vm, http.MethodGet, "/rounds/3", "key-1", "")
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusUnauthorized)
		assert.Equal(t, a.outcome, "not-run")
	}
}

func (f *testFleet) waitInForce(version uint64) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("version %d in force", version), func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var reply control.InForceReply
		if err := f.client.Get(ctx, fmt.Sprintf("/v1/inforce/%d", version), nil, &reply); err != nil {
			return err
		}
		if !reply.InForce {
			return fmt.Errorf("missing %v", reply.Missing)
		}
		return nil
	})
}

// TestGracefulStopFinishesRequests guards against a stop that aborts requests: a request that runs when the process
// receives SIGTERM must get its response, and the process must exit with 0, also after a second SIGTERM.
func TestGracefulStopFinishesRequests(t *testing.T) {
	f := startFleet(t)
	f.issueKey("demo", "key-1")
	f.startStandins(f.vms)
	vm := f.vms[2]
	f.waitServing(vm, "key-1")
	vm.standin.SetFaults(standin.Faults{SlowFactor: 100})
	responses := make(chan response, 1)
	go func() {
		a, err := request(vm, http.MethodPost, "/rounds/slow", "key-1", "")
		if err != nil {
			a.body = []byte(err.Error())
		}
		responses <- a
	}()
	f.eventually("the request is running", func() error {
		resp, err := http.Get("http://" + vm.standin.Address() + standin.RunsPath)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		var runs map[string]int
		if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
			return err
		}
		if len(runs) < 2 {
			return fmt.Errorf("%d requests ran", len(runs))
		}
		return nil
	})
	assert.NilError(t, vm.cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, vm.cmd.Process.Signal(syscall.SIGTERM))
	a := <-responses
	assert.Equal(t, a.status, http.StatusOK, string(a.body))
	assert.NilError(t, vm.cmd.Wait())
}

// TestTrafficGoesOnWithoutControl guards against requests that fail while control is unavailable: all control VMs are
// killed, and requests must still be served, also through a VM that restarts in the meantime and can get the fleet state
// only from its peers.
func TestTrafficGoesOnWithoutControl(t *testing.T) {
	f := startFleet(t)
	f.issueKey("demo", "key-1")
	proxies := f.addProxies(6)
	f.startStandins(proxies)
	for _, vm := range proxies {
		f.waitServing(vm, "key-1")
	}
	// Nobody assigns the quota shards of control VMs to other processes while control is unavailable.
	f.eventually("no control VM owns a shard", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var members control.MembersReply
		if err := f.client.Get(ctx, "/v1/members", nil, &members); err != nil {
			return err
		}
		owned := 0
		for _, vm := range f.vms[:3] {
			owned += members.Shards[vm.name]
		}
		if owned > 0 || len(members.Shards) == 0 {
			return fmt.Errorf("control VMs own %d shards", owned)
		}
		return nil
	})
	for _, vm := range f.vms[:3] {
		f.kill(vm)
	}
	// The last heartbeat of the control leader lets a process admit requests for 3 s; after that it depends on its peers.
	time.Sleep(5 * time.Second)
	for _, vm := range proxies {
		f.waitServing(vm, "key-1")
	}
	f.kill(proxies[0])
	f.start(proxies[0])
	f.waitServing(proxies[0], "key-1")
	keyed, err := request(proxies[1], http.MethodPost, "/rounds/book", "key-1", "booking-1")
	assert.NilError(t, err)
	assert.Equal(t, keyed.status, http.StatusServiceUnavailable)
	assert.Equal(t, keyed.outcome, "not-run")
}

// TestOlderProcessOfANameStops guards against two processes with one name, which would override each other's membership
// claims forever: the one that started first must stop with an error.
func TestOlderProcessOfANameStops(t *testing.T) {
	f := startFleet(t)
	older := f.addProxies(1)[0]
	f.eventually("older process joins", func() error { return f.inRoster(older.name, older.peer) })
	newer := newVM(older.name, older.domain)
	f.vms = append(f.vms, newer)
	f.start(newer)
	var exit *exec.ExitError
	assert.Assert(t, errors.As(older.cmd.Wait(), &exit))
	assert.Equal(t, exit.ExitCode(), exitFailed)
	f.eventually("newer process takes the name", func() error { return f.inRoster(newer.name, newer.peer) })
}

func (f *testFleet) inRoster(name, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var members control.MembersReply
	if err := f.client.Get(ctx, "/v1/members", nil, &members); err != nil {
		return err
	}
	for _, p := range members.Roster {
		if p.Name == name && p.Address == address {
			return nil
		}
	}
	return fmt.Errorf("%s at %s is not in the roster", name, address)
}
