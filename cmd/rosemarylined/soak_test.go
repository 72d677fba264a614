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
	"sync/atomic"
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
	soakProxies = 3 // VMs without the control role
	soakClients = 3 // per VM
	soakKey     = "soak-key"
)

// soakBackendServer is a backend server that counts the runs of each request and checks its headers.
type soakBackendServer struct {
	server *http.Server
	stop   chan struct{}
	soak   *soak
	sheds  atomic.Bool // whether it sheds half of its requests
}

// soak is one run of the soak test with faults, for one seed.
type soak struct {
	t     *testing.T
	fleet *testFleet
	links map[*testVM]*link
	// backends holds the backend servers; it is not changed after the start.
	backends []*soakBackendServer

	mu     sync.Mutex // guards the fields below
	rnd    *rand.Rand
	runs   map[string]int
	sent   []soakRequest
	faults []string
	// accepted are the IDs of the acknowledged changes.
	accepted   []string
	violations []string
}

// soakRequest is one request as its client saw it.
type soakRequest struct {
	path, method string
	status       int // 0 if there was no complete response
	outcome      string
}

// recordViolation records the violation of a guarantee, up to 20 of them.
func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.violations) < 20 {
		s.violations = append(s.violations, fmt.Sprintf(format, args...))
	}
}

// randomInt returns a random number from 0 to n-1.
func (s *soak) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n)
}

// ServeHTTP runs a request. The response has the path and the body of the request.
func (b *soakBackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("Authorization") != "" {
		b.soak.recordViolation("a key reached a backend server with %s", r.URL.Path)
	}
	if team := r.Header.Get("Rosemaryline-Team"); team != "demo" {
		b.soak.recordViolation("%s ran for team %q", r.URL.Path, team)
	}
	if b.sheds.Load() && b.soak.randomInt(2) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.soak.mu.Lock()
	b.soak.runs[r.URL.Path]++
	b.soak.mu.Unlock()
	time.Sleep(time.Duration(b.soak.randomInt(40)) * time.Millisecond)
	fmt.Fprint(w, soakResponse(r.URL.Path, string(body)))
}

// startBackendServer starts a backend server on a VM and announces it until the test ends.
func (s *soak) startBackendServer(vm *testVM) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	b := &soakBackendServer{stop: make(chan struct{}), soak: s}
	b.server = &http.Server{Handler: b}
	s.backends = append(s.backends, b)
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

// sendRequests sends requests through one VM until the context ends. It reuses connections until the VM closes them.
func (s *soak) sendRequests(ctx context.Context, vm *testVM, number int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 8 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		method, path := http.MethodGet, fmt.Sprintf("/rounds/%s-%d-%d", vm.name, number, i)
		body := ""
		if s.randomInt(2) == 0 {
			method, body = http.MethodPost, strings.Repeat("b", s.randomInt(20_000))
		}
		s.send(client, vm, method, path, body)
		time.Sleep(time.Duration(5+s.randomInt(20)) * time.Millisecond)
	}
}

// send sends a request, checks that the response belongs to it and records the result.
func (s *soak) send(client *http.Client, vm *testVM, method, path, body string) {
	req, err := http.NewRequest(method, "http://"+vm.caller+path, strings.NewReader(body))
	assert.NilError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+soakKey)
	// Otherwise the transport itself would retry requests with an idempotent method.
	req.GetBody = nil
	sent := soakRequest{path: path, method: method}
	resp, err := client.Do(req)
	if err == nil {
		var text []byte
		var reader io.Reader = resp.Body
		if strings.Contains(path, slowMark) {
			reader = slowBody{reader}
		}
		text, err = io.ReadAll(reader)
		resp.Body.Close()
		sent.status, sent.outcome = resp.StatusCode, resp.Header.Get("Rosemaryline-Outcome")
		if err == nil && resp.StatusCode == http.StatusOK && string(text) != soakResponse(path, body) {
			s.recordViolation("%s %s got %d bytes of another response: %.60q", method, path, len(text), text)
		}
	}
	if err != nil {
		sent.status, sent.outcome = 0, ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, sent)
}

// sendChanges sends a change about every 150 ms until the context ends and records the acknowledged ones.
func (s *soak) sendChanges(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		attemptCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		var version control.VersionReply
		if s.fleet.client.Get(attemptCtx, "/v1/version", nil, &version) == nil {
			c := config.Change{}
			c.Teams.Set = map[string]config.Team{"demo": {Rate: float64(5000 + i), Burst: 5000}}
			request := control.ApplyRequest{}
			request.ChangeID, request.BaseVersion = fmt.Sprintf("soak-%d", i), version.Version
			request.Change, request.ContentHash = c, c.Hash()
			if _, err := s.fleet.client.Change(attemptCtx, "/v1/config", &request); err == nil {
				s.mu.Lock()
				s.accepted = append(s.accepted, request.ChangeID)
				s.mu.Unlock()
			}
		}
		cancel()
		time.Sleep(150 * time.Millisecond)
	}
}

// injectFaults injects faults into one VM, one after the other, until the context ends. Faults of different VMs overlap.
func (s *soak) injectFaults(ctx context.Context, vm *testVM) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(200+s.randomInt(2000)) * time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		duration := time.Duration(100+s.randomInt(1500)) * time.Millisecond
		switch kind := s.randomInt(6); kind {
		case 0:
			s.recordFault("kill", vm, duration)
			s.fleet.kill(vm)
			time.Sleep(duration)
			s.restart(vm)
		case 1:
			s.recordFault("stop", vm, duration)
			_ = vm.cmd.Process.Signal(syscall.SIGTERM)
			_ = vm.cmd.Wait()
			s.restart(vm)
		case 2:
			s.recordFault("pause", vm, duration)
			_ = vm.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(duration)
			_ = vm.cmd.Process.Signal(syscall.SIGCONT)
		default:
			fault := linkFault(1 + s.randomInt(int(linkFaultCount)-1))
			s.recordFault(fmt.Sprintf("link %d", fault), vm, duration)
			s.links[vm].set(fault)
			time.Sleep(duration)
			s.links[vm].set(linkHealthy)
		}
	}
}

func (s *soak) restart(vm *testVM) {
	vm.bootstrap = false
	s.fleet.start(vm)
}

func (s *soak) recordFault(kind string, vm *testVM, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%s %s %s", kind, vm.name, duration))
}

// check compares the responses with what the backend servers ran. It returns the number of requests with status 200.
func (s *soak) check() (served int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.sent {
		runs := s.runs[r.path]
		if r.status == http.StatusOK {
			served++
		}
		switch {
		case r.method == http.MethodPost && runs > 1:
			s.violations = append(s.violations, fmt.Sprintf("%s ran %d times", r.path, runs))
		case r.outcome == "not-run" && runs > 0:
			s.violations = append(s.violations, fmt.Sprintf("%s %s got status %d and outcome not-run, but ran", r.method, r.path, r.status))
		case r.status == http.StatusOK && runs == 0:
			s.violations = append(s.violations, fmt.Sprintf("%s %s got status 200 but never ran", r.method, r.path))
		}
	}
	return served
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, rnd: rand.New(rand.NewPCG(seed, 0)), runs: map[string]int{}, links: map[*testVM]*link{}}
	s.fleet = startFleetWith(t, func(vm *testVM) {
		s.links[vm] = newLink(t, vm.peer)
		vm.advertise = s.links[vm].listener.Addr().String()
	})
	s.fleet.issueKey("demo", soakKey)
	s.fleet.addProxies(soakProxies)
	for _, vm := range s.fleet.vms {
		s.startBackendServer(vm)
	}
	for _, vm := range s.fleet.vms {
		s.fleet.waitServing(vm, soakKey)
	}
	traffic, endTraffic := context.WithCancel(t.Context())
	faults, endFaults := context.WithTimeout(t.Context(), *soakDuration)
	defer endFaults()
	var clients, faultInjectors sync.WaitGroup
	for _, vm := range s.fleet.vms {
		for number := range soakClients {
			clients.Go(func() { s.sendRequests(traffic, vm, number) })
		}
		clients.Go(func() { s.sendBytes(traffic, vm) })
		faultInjectors.Go(func() { s.injectFaults(faults, vm) })
	}
	clients.Go(func() { s.sendChanges(faults) })
	clients.Go(func() { s.shedRequests(faults) })
	faultInjectors.Wait()
	for _, vm := range s.fleet.vms {
		s.fleet.waitServing(vm, soakKey)
	}
	endTraffic()
	clients.Wait()
	s.checkChanges()
	served := s.check()
	t.Logf("seed %d: %d requests, %d served, %d changes, faults: %s", seed, len(s.sent), served, len(s.accepted), strings.Join(s.faults, ", "))
	for _, b := range s.violations {
		t.Error(b)
	}
}

// checkChanges checks that every acknowledged change is in the history exactly once.
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
			s.recordViolation("change %s was acknowledged but is %d times in the history", id, found[id])
		}
	}
}

// TestSoak guards against violations of the fleet's guarantees under overlapping faults: requests that run twice, requests
// that run although their outcome is not-run, responses to other requests, keys that reach backend servers, lost changes,
// and a fleet that does not serve requests again after the faults, also with uploads, long responses that are read slowly, and
// backend servers that shed half of their requests. To run more seeds:
//
//	go test ./cmd/rosemarylined -run TestSoak -soak.seeds 50 -soak.first 100 -timeout 60m
func TestSoak(t *testing.T) {
	for i := range uint64(*soakSeeds) {
		seed := *soakFirst + i
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}
