package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	// FaultsPath is where a stand-in serves its switches.
	FaultsPath = "/_faults"
	// RunsPath is where a stand-in tells how often it ran each request.
	RunsPath = "/_runs"
	// ProbePath is where a stand-in answers probes.
	ProbePath = "/healthz"
	// probeTime is the time that a probe of a healthy stand-in takes.
	probeTime = 25 * time.Millisecond
	// nestedQuery names a query parameter: the path of a nested call that the stand-in makes before it answers.
	nestedQuery = "nested"
	// runsKept bounds the run counts that a stand-in keeps.
	runsKept = 100_000
)

// Options are the settings of a stand-in.
type Options struct {
	// Name is the backend server's name on its VM.
	Name    string
	Service string
	// Listen is the address to listen on, for example "127.0.0.1:0".
	Listen string
	// Slots is the announced number of slots.
	Slots int
	// ServiceTime is the time that one request takes.
	ServiceTime time.Duration
	// Announce is the URL of the local listener of the VM's process; empty means no announcement.
	Announce string
	// Seed makes the decisions of the fault switches repeatable.
	Seed uint64
}

// Server is a stand-in backend server.
type Server struct {
	opts     Options
	instance string
	listener net.Listener
	http     *http.Server
	client   *http.Client
	wake     chan struct{}
	tomb     tomb.Tomb

	mu      sync.Mutex // guards the fields below
	rnd     *rand.Rand
	faults  Faults
	running int
	peak    int
	warmth  int
	runs    map[string]int
}

// Start listens, announces the stand-in and serves until Stop.
func Start(opts Options) (*Server, error) {
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		opts:     opts,
		instance: strconv.FormatInt(time.Now().UnixNano(), 36),
		listener: listener,
		client:   &http.Client{Timeout: 30 * time.Second},
		wake:     make(chan struct{}, 1),
		rnd:      rand.New(rand.NewPCG(opts.Seed, 0)),
		runs:     map[string]int{},
	}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 5 * time.Second}
	s.tomb.Go(s.serve)
	if opts.Announce != "" {
		s.tomb.Go(s.announce)
	}
	return s, nil
}

// Address returns the host and port that the stand-in listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Name returns the backend server's name.
func (s *Server) Name() string { return s.opts.Name }

// Stop withdraws the announcement and stops at once.
func (s *Server) Stop() error {
	s.tomb.Kill(nil)
	s.http.Close()
	return s.tomb.Wait()
}

// Crash stops at once without a word to the VM's process.
func (s *Server) Crash() {
	s.mu.Lock()
	s.opts.Announce = ""
	s.mu.Unlock()
	s.tomb.Kill(nil)
	s.http.Close()
}

func (s *Server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(FaultsPath, s.serveFaults)
	mux.HandleFunc(RunsPath, s.serveRuns)
	mux.HandleFunc(ProbePath, s.serveProbe)
	mux.HandleFunc("/", s.serveWork)
	return mux
}

// Runs returns how often each request id ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Peak returns the largest number of requests that ran at once.
func (s *Server) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) }

// answer is the body of a stand-in's answers.
type answer struct {
	Service   string `json:"service"`
	Server    string `json:"server"`
	Instance  string `json:"instance"`
	Method    string `json:"method"`
	URI       string `json:"uri"`
	Team      string `json:"team,omitempty"`
	RequestID string `json:"requestId,omitempty"`
	Run       int    `json:"run"`
	BodyBytes int64  `json:"bodyBytes,omitempty"`
	Nested    string `json:"nested,omitempty"`
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Rosemaryline-Request-Id")
	run, fate := s.begin(id)
	defer s.end()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if fate.hang {
		<-r.Context().Done()
		return
	}
	if fate.fail {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if !sleep(r.Context(), fate.wait) {
		return
	}
	reply := answer{
		Service: s.opts.Service, Server: s.opts.Name, Instance: s.instance,
		Method: r.Method, URI: r.RequestURI, Team: r.Header.Get("Rosemaryline-Team"),
		RequestID: id, Run: run, BodyBytes: size,
	}
	if path := r.URL.Query().Get(nestedQuery); path != "" {
		reply.Nested = s.callNested(r.Context(), id, path)
	}
	writeAnswer(w, reply, fate.cut)
}

// serveProbe answers a probe with the faults that requests meet.
func (s *Server) serveProbe(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.decide(s.rnd, probeTime)
	s.mu.Unlock()
	switch {
	case f.hang:
		<-r.Context().Done()
	case f.fail:
		http.Error(w, "internal error", http.StatusInternalServerError)
	default:
		sleep(r.Context(), f.wait)
	}
}

func (s *Server) begin(id string) (run int, f fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.peak = max(s.peak, s.running)
	if id != "" && len(s.runs) < runsKept {
		s.runs[id]++
	}
	return s.runs[id], s.decide(s.rnd, s.opts.ServiceTime)
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.warmth++
}

// callNested calls another service through the local listener and returns what came back in short.
func (s *Server) callNested(ctx context.Context, id, path string) string {
	s.mu.Lock()
	target := s.opts.Announce
	s.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target+path, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Rosemaryline-Request-Id", id)
	resp, err := s.client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s %d", strings.SplitN(path, "?", 2)[0], resp.StatusCode)
}

func writeAnswer(w http.ResponseWriter, reply answer, cut bool) {
	data, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	data = append(data, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if reply.RequestID != "" {
		// The gate checks an echoed id against its request.
		w.Header().Set("Rosemaryline-Request-Id", reply.RequestID)
	}
	if !cut {
		// A failing write means that the gate is gone.
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
