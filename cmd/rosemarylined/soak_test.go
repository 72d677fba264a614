package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
)

var (
	soakSeeds    = flag.Int("soak.seeds", 1, "number of seeds of the fault soak, from -soak.first on")
	soakFirst    = flag.Uint64("soak.first", 1, "first seed of the fault soak")
	soakDuration = flag.Duration("soak.duration", 6*time.Second, "time of faults for each seed")
)

const (
	soakProxies = 3
	soakClients = 3 // clients of each process
	soakKey     = "soak-key"
)

// soakBackend counts what runs at a backend server and checks what reaches it.
type soakBackend struct {
	server *http.Server
	stop   chan struct{}
	soak   *soak
}

// soak is one run of the fault soak.
type soak struct {
	t     *testing.T
	fleet *testFleet
	links map[*testVM]*link

	mu     sync.Mutex // guards the fields below
	rnd    *rand.Rand
	runs   map[string]int
	ended  []soakRequest
	faults []string
	// accepted are the acknowledged changes.
	accepted []string
	broken   []string
}

// soakRequest is one request as its client saw it.
type soakRequest struct {
	path, method string
	status       int // 0 where no answer came
	outcome      string
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.broken) < 20 {
		s.broken = append(s.broken, fmt.Sprintf(format, args...))
	}
}

// draw returns a random number below n.
func (s *soak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n)
}

// ServeHTTP runs a request: it answers with the path and the body of the request.
func (b *soakBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("Authorization") != "" {
		b.soak.fail("a key reached a backend server with %s", r.URL.Path)
	}
	if team := r.Header.Get("Rosemaryline-Team"); team != "demo" {
		b.soak.fail("%s ran for team %q", r.URL.Path, team)
	}
	b.soak.mu.Lock()
	b.soak.runs[r.URL.Path]++
	b.soak.mu.Unlock()
	time.Sleep(time.Duration(b.soak.draw(40)) * time.Millisecond)
	fmt.Fprintf(w, "%s\n%s", r.URL.Path, body)
}

// startBackend serves and announces a backend server on a VM.
func (s *soak) startBackend(vm *testVM) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	b := &soakBackend{stop: make(chan struct{}), soak: s}
	b.server = &http.Server{Handler: b}
	go b.server.Serve(listener)
	announcement, err := json.Marshal(map[string]any{
		"service": "rounds", "address": listener.Addr().String(), "instance": "1", "slots": 5,
	})
	assert.NilError(s.t, err)
	go func() {
		client := &http.Client{Timeout: time.Second}
		for {
			req, _ := http.NewRequest(http.MethodPut, "http://"+vm.local+"/v1/backend-servers/b", bytes.NewReader(announcement))
			if resp, err := client.Do(req); err == nil {
				resp.Body.Close()
			}
			select {
			case <-b.stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	}()
	s.t.Cleanup(func() {
		close(b.stop)
		b.server.Close()
	})
}

// client sends requests through one process over connections that stay open until the process is gone.
func (s *soak) client(ctx context.Context, vm *testVM, number int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 8 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		method, path := http.MethodGet, fmt.Sprintf("/rounds/%s-%d-%d", vm.name, number, i)
		body := ""
		if s.draw(2) == 0 {
			method, body = http.MethodPost, strings.Repeat("b", s.draw(20_000))
		}
		s.send(client, vm, method, path, body)
		time.Sleep(time.Duration(5+s.draw(20)) * time.Millisecond)
	}
}

func (s *soak) send(client *http.Client, vm *testVM, method, path, body string) {
	req, err := http.NewRequest(method, "http://"+vm.caller+path, strings.NewReader(body))
	assert.NilError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+soakKey)
	// The transport would repeat a request with a method that it takes for idempotent.
	req.GetBody = nil
	ended := soakRequest{path: path, method: method}
	resp, err := client.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		ended.status, ended.outcome = resp.StatusCode, resp.Header.Get("Rosemaryline-Outcome")
		if err == nil && resp.StatusCode == http.StatusOK && string(text) != path+"\n"+body {
			s.fail("%s %s got %d bytes of another answer: %.60q", method, path, len(text), text)
		}
	}
	if err != nil {
		ended.status, ended.outcome = 0, ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, ended)
}

// change proposes a change every while and notes what was acknowledged.
func (s *soak) change(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		try, cancel := context.WithTimeout(ctx, 3*time.Second)
		var version control.VersionReply
		if s.fleet.client.Get(try, "/v1/version", nil, &version) == nil {
			c := config.Change{}
			c.Teams.Set = map[string]config.Team{"demo": {Rate: float64(5000 + i), Burst: 5000}}
			request := control.ApplyRequest{}
			request.ChangeID, request.BaseVersion = fmt.Sprintf("soak-%d", i), version.Version
			request.Change, request.ContentHash = c, c.Hash()
			if _, err := s.fleet.client.Change(try, "/v1/config", &request); err == nil {
				s.mu.Lock()
				s.accepted = append(s.accepted, request.ChangeID)
				s.mu.Unlock()
			}
		}
		cancel()
		time.Sleep(150 * time.Millisecond)
	}
}

// disturb injects faults into one VM, one after the other; those of several VMs overlap.
func (s *soak) disturb(ctx context.Context, vm *testVM) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(200+s.draw(2000)) * time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		hold := time.Duration(100+s.draw(1500)) * time.Millisecond
		switch kind := s.draw(6); kind {
		case 0:
			s.note("kill", vm, hold)
			s.fleet.kill(vm)
			time.Sleep(hold)
			s.restart(vm)
		case 1:
			s.note("stop", vm, hold)
			_ = vm.cmd.Process.Signal(syscall.SIGTERM)
			_ = vm.cmd.Wait()
			s.restart(vm)
		case 2:
			s.note("pause", vm, hold)
			_ = vm.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(hold)
			_ = vm.cmd.Process.Signal(syscall.SIGCONT)
		default:
			fault := linkFault(1 + s.draw(int(linkFaults)-1))
			s.note(fmt.Sprintf("link %d", fault), vm, hold)
			s.links[vm].set(fault)
			time.Sleep(hold)
			s.links[vm].set(linkSound)
		}
	}
}

func (s *soak) restart(vm *testVM) {
	vm.bootstrap = false
	s.fleet.start(vm)
}

func (s *soak) note(kind string, vm *testVM, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%s %s %s", kind, vm.name, hold))
}

// check compares what callers were told with what ran.
func (s *soak) check() (served int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.ended {
		runs := s.runs[r.path]
		if r.status == http.StatusOK {
			served++
		}
		switch {
		case r.method == http.MethodPost && runs > 1:
			s.broken = append(s.broken, fmt.Sprintf("%s ran %d times", r.path, runs))
		case r.outcome == "not-run" && runs > 0:
			s.broken = append(s.broken, fmt.Sprintf("%s %s was answered %d as not run, and ran", r.method, r.path, r.status))
		case r.status == http.StatusOK && runs == 0:
			s.broken = append(s.broken, fmt.Sprintf("%s %s was answered and never ran", r.method, r.path))
		}
	}
	return served
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, rnd: rand.New(rand.NewPCG(seed, 0)), runs: map[string]int{}, links: map[*testVM]*link{}}
	s.fleet = startFleetThrough(t, func(vm *testVM) {
		s.links[vm] = newLink(t, vm.peer)
		vm.through = s.links[vm].listener.Addr().String()
	})
	s.fleet.issueKey("demo", soakKey)
	s.fleet.addProxies(soakProxies)
	for _, vm := range s.fleet.vms {
		s.startBackend(vm)
	}
	for _, vm := range s.fleet.vms {
		s.fleet.waitServing(vm, soakKey)
	}
	traffic, endTraffic := context.WithCancel(t.Context())
	faults, endFaults := context.WithTimeout(t.Context(), *soakDuration)
	defer endFaults()
	var clients, disturbers sync.WaitGroup
	for _, vm := range s.fleet.vms {
		for number := range soakClients {
			clients.Go(func() { s.client(traffic, vm, number) })
		}
		disturbers.Go(func() { s.disturb(faults, vm) })
	}
	clients.Go(func() { s.change(faults) })
	disturbers.Wait()
	for _, vm := range s.fleet.vms {
		s.fleet.waitServing(vm, soakKey)
	}
	endTraffic()
	clients.Wait()
	s.checkChanges()
	served := s.check()
	t.Logf("seed %d: %d requests, %d served, %d changes, faults: %s", seed, len(s.ended), served, len(s.accepted), strings.Join(s.faults, ", "))
	for _, b := range s.broken {
		t.Error(b)
	}
}

// checkChanges verifies that every acknowledged change is in the audit trail once.
func (s *soak) checkChanges() {
	var history control.HistoryReply
	s.fleet.eventually("history", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return s.fleet.client.Get(ctx, "/v1/history", map[string][]string{"limit": {"5000"}}, &history)
	})
	found := map[string]int{}
	for _, r := range history.Records {
		if r.Result.Err == nil {
			found[r.ChangeID]++
		}
	}
	for _, id := range s.accepted {
		if found[id] != 1 {
			s.fail("change %s was acknowledged and is %d times in the history", id, found[id])
		}
	}
}

// Guards against promises that break under faults that overlap: doubled runs, refusals that are not true, answers of other
// requests, keys that reach backend servers, lost changes, and a fleet that does not serve again. By hand:
//
//	go test ./cmd/rosemarylined -run TestSoak -soak.seeds 50 -soak.first 100 -timeout 60m
func TestSoak(t *testing.T) {
	for i := range uint64(*soakSeeds) {
		seed := *soakFirst + i
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}
