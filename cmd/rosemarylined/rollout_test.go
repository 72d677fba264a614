package main

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/standin"
)

const (
	rolloutKey      = "key-1"
	rolloutRate     = 12 // requests per second of each of two clients of each of the six proxies
	rolloutDuration = 12 * time.Second
)

// rolloutFleet is three control VMs behind links and six proxies, of which three have servers of v1 and three of v2.
type rolloutFleet struct {
	*testFleet
	links    map[*testVM]*link
	proxies  []*testVM
	old, bad []*standin.Server
	sent     atomic.Int64
}

// TestRolloutEndsWithoutItsLeader guards against a bad version that stays in service, or gets more requests than its bound, because
// the control leader is lost between its verdict and the commit of the decision.
func TestRolloutEndsWithoutItsLeader(t *testing.T) {
	f := &rolloutFleet{links: map[*testVM]*link{}}
	f.testFleet = startFleetWith(t, func(vm *testVM) {
		if vm.dataDir != "" {
			f.links[vm] = newLink(t, vm.peer)
			vm.advertise = f.links[vm].listener.Addr().String()
		}
	})
	f.issueKey("demo", rolloutKey)
	f.proxies = f.addProxies(6)
	f.old = f.startVersion(f.proxies[:3], "v1", standin.Faults{})
	for _, vm := range f.proxies {
		f.waitServing(vm, rolloutKey)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for _, vm := range f.proxies {
		for range 2 {
			clients.Go(func() { f.send(ctx, vm) })
		}
	}
	for _, fault := range []struct {
		name        string
		begin, heal func(leader *testVM)
	}{
		{name: "killed", begin: f.kill, heal: func(leader *testVM) {
			leader.bootstrap = false
			f.start(leader)
		}},
		{name: "frozen", begin: func(leader *testVM) {
			assert.NilError(t, leader.cmd.Process.Signal(syscall.SIGSTOP))
		}, heal: func(leader *testVM) {
			assert.NilError(t, leader.cmd.Process.Signal(syscall.SIGCONT))
		}},
		{name: "cut off", begin: func(leader *testVM) { f.cut(leader, true) }, heal: func(leader *testVM) { f.cut(leader, false) }},
	} {
		t.Run(fault.name, func(t *testing.T) { f.rollBackUnder(t, fault.name, fault.begin, fault.heal) })
	}
}

// rollBackUnder orders a rollout of the bad version, and causes the fault when the leader has decided to roll back.
func (f *rolloutFleet) rollBackUnder(t *testing.T, name string, begin, heal func(leader *testVM)) {
	leader := f.leader()
	others := slices.DeleteFunc(slices.Clone(f.vms[:3]), func(vm *testVM) bool { return vm == leader })
	decided := f.decisions(leader)
	sent, got := f.sent.Load(), arrived(f.bad)
	order := control.RolloutRequest{NewVersion: "v2", DurationMs: rolloutDuration.Milliseconds()}
	order.ChangeID = "rollout-" + strings.ReplaceAll(name, " ", "-")
	f.change("/v1/rollouts/rounds/begin", &order)
	began := time.Now()
	// Without a rollout the daemon would send requests to any version.
	if f.bad == nil {
		f.bad = f.startVersion(f.proxies[3:], "v2", standin.Faults{SlowFactor: 5})
	}
	for _, vm := range others {
		f.links[vm].set(linkSlow) // delays the commit
	}
	for f.decisions(leader) == decided {
		if time.Since(began) >= rolloutDuration {
			t.Fatalf("the leader made no decision to roll back, %+v", f.rollout(leader))
		}
		time.Sleep(10 * time.Millisecond)
	}
	verdictAt := time.Since(began)
	begin(leader)
	healed := sync.OnceFunc(func() { heal(leader) })
	defer healed()
	faultAt := time.Now()
	for _, vm := range others {
		f.links[vm].set(linkReset) // loses the proposal
		f.links[vm].set(linkHealthy)
	}
	for _, vm := range others {
		r := f.rollout(vm)
		// The next leader decides 1.5 s after its election at the earliest.
		assert.Assert(t, r.Running() || time.Since(faultAt) > 1500*time.Millisecond, "%s has the decision %v after the verdict, so the fault came after its commit: %+v", vm.name, time.Since(began)-verdictAt, r)
	}
	f.eventually("the rollout ends", func() error {
		for _, vm := range others {
			if r := f.rollout(vm); r.Running() {
				return fmt.Errorf("%s: %s", vm.name, r.Phase)
			}
		}
		return nil
	})
	ended := time.Since(began)
	assert.Assert(t, ended < rolloutDuration, "ended after %v", ended)
	r := f.rollout(others[0])
	assert.Equal(t, r.Phase, state.RolloutRolledBack, r.Reason)
	// Proxies learn of it within a second of the commit.
	time.Sleep(time.Second)
	inAll, ofBad := f.sent.Load()-sent, arrived(f.bad)-got
	assert.Assert(t, float64(ofBad) <= 0.1*float64(inAll)+50, "%d of %d requests", ofBad, inAll)
	healed()
	time.Sleep(time.Second)
	assert.Equal(t, arrived(f.bad)-got, ofBad, "requests after the roll-back")
	t.Logf("verdict after %v, rolled back after %v (%s), %d of %d requests", verdictAt, ended, r.Reason, ofBad, inAll)
}

func (f *rolloutFleet) startVersion(vms []*testVM, version string, faults standin.Faults) (servers []*standin.Server) {
	f.t.Helper()
	for i, vm := range vms {
		s, err := standin.Start(standin.Options{
			Name: vm.name + "-rounds", Service: "rounds", Listen: "127.0.0.1:0", Slots: 5, Version: version,
			ServiceTime: 50 * time.Millisecond, Announce: "http://" + vm.local, Seed: uint64(i + 1),
		})
		assert.NilError(f.t, err)
		vm.standin = s
		s.SetFaults(faults)
		servers = append(servers, s)
	}
	return servers
}

// arrived returns how many requests arrived at the servers.
func arrived(servers []*standin.Server) (n int) {
	for _, s := range servers {
		for _, runs := range s.Runs() {
			n += runs
		}
	}
	return n
}

// send sends requests through the VM, one at a time, at up to rolloutRate until ctx ends.
func (f *rolloutFleet) send(ctx context.Context, vm *testVM) {
	ticker := time.NewTicker(time.Second / rolloutRate)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.sent.Add(1)
			// Failures are those of the bad version, which the standins count.
			_, _ = request(vm, http.MethodGet, "/rounds/1", rolloutKey, "")
		case <-ctx.Done():
			return
		}
	}
}

// leader returns the control leader, once all control VMs are members and agree on it.
func (f *rolloutFleet) leader() (leader *testVM) {
	f.t.Helper()
	f.eventually("one control leader", func() error {
		leader = nil
		for _, vm := range f.vms[:3] {
			var group control.GroupStatus
			if err := f.getFrom(vm, "/v1/group", &group); err != nil {
				return err
			}
			i := slices.IndexFunc(f.vms[:3], func(vm *testVM) bool {
				id, err := controlMemberID(vm)
				return err == nil && group.Leader == id
			})
			if i < 0 || leader != nil && leader != f.vms[i] || len(group.Members) != 3 {
				return fmt.Errorf("%s names the leader %q of %d members", vm.name, group.Leader, len(group.Members))
			}
			leader = f.vms[i]
		}
		return nil
	})
	return leader
}

// rollout returns the rollout as the VM knows it.
func (f *rolloutFleet) rollout(vm *testVM) state.Rollout {
	f.t.Helper()
	var status control.RolloutStatus
	f.eventually("read the rollout", func() error { return f.getFrom(vm, "/v1/rollouts/rounds", &status) })
	return status.Rollout
}

func (f *rolloutFleet) getFrom(vm *testVM, path string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	client := &control.Client{Addresses: []string{"http://" + vm.admin}, Credential: testCredential}
	return client.Get(ctx, path, nil, out)
}

// decisions returns the line of the metrics that counts the leader's decisions to roll back.
func (f *rolloutFleet) decisions(vm *testVM) string {
	f.t.Helper()
	resp, err := http.Get("http://" + vm.admin + "/metrics")
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	for line := range bytes.Lines(data) {
		if bytes.HasPrefix(line, []byte(`rosemaryline_rollout_decisions_total{service="rounds",phase="rolled-back"}`)) {
			return string(line)
		}
	}
	return ""
}

// cut drops the bytes between the leader and the other control VMs in both directions, and those to the leader.
func (f *rolloutFleet) cut(leader *testVM, on bool) {
	for vm, l := range f.links {
		l.mu.Lock()
		l.drop = nil
		if on && vm != leader {
			l.drop = func(conn net.Conn) bool { return hasSocket(leader.cmd.Process.Pid, conn.RemoteAddr().(*net.TCPAddr)) }
		}
		l.mu.Unlock()
	}
	if on {
		f.links[leader].set(linkBlackhole)
	} else {
		f.links[leader].set(linkReset)
		f.links[leader].set(linkHealthy)
	}
}

// hasSocket reports whether the process has a TCP socket with this local IPv4 address.
func hasSocket(pid int, local *net.TCPAddr) bool {
	table, _ := os.ReadFile("/proc/net/tcp")
	ip := slices.Clone(local.IP.To4())
	slices.Reverse(ip)
	address := fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip)), local.Port)
	inodes := map[string]bool{}
	for line := range strings.Lines(string(table)) {
		// A connection in TIME-WAIT has inode 0.
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == address && fields[9] != "0" {
			inodes["socket:["+fields[9]+"]"] = true
		}
	}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	return slices.ContainsFunc(files, func(file string) bool {
		target, err := os.Readlink(file)
		return err == nil && inodes[target]
	})
}
