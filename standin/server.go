package standin

import (
	"bytes"
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
	// FaultsPath is the URL path of the faults: GET reads them, PUT replaces them.
	FaultsPath = "/_faults"
	// RunsPath is the URL path of the number of runs per request ID.
	RunsPath = "/_runs"
	// ProbePath is the URL path of probes.
	ProbePath = "/healthz"
	// probeServiceTime is the time that a healthy stand-in takes for a probe.
	probeServiceTime = 25 * time.Millisecond
	// nestedParameter is the name of the query parameter with the path of a nested call. The stand-in makes the call before
	// it responds.
	nestedParameter = "nested"
	// responseBytesParameter is the name of the query parameter with the least size of the response in bytes.
	responseBytesParameter = "responseBytes"
	// maxResponseBytes bounds responseBytesParameter. The padding is sent from one buffer, so it is no bound on memory.
	maxResponseBytes = 64 << 20
	// maxCountedIDs is the number of request IDs after which a stand-in counts no further runs.
	maxCountedIDs = 100_000
)

// Options configures a stand-in.
type Options struct {
	// Name is the backend server's name on its VM.
	Name    string
	Service string
	// Listen is the address to listen on, for example "127.0.0.1:0".
	Listen string
	// Slots is the announced number of slots.
	Slots int
	// ServiceTime is the time that one request takes without faults.
	ServiceTime time.Duration
	// Work varies the service time from request to request.
	Work Work
	// Version is the announced version of the software. Empty means that none is announced.
	Version string
	// Announce is the URL of the local listener of the VM's process, for announcements and nested calls. Empty means no
	// announcement.
	Announce string
	// Seed seeds the random choice of the requests that faults affect, so that the choice is repeatable.
	Seed uint64
}

// Server is a running stand-in backend server.
type Server struct {
	opts        Options
	instance    string
	listener    net.Listener
	http        *http.Server
	client      *http.Client
	announceNow chan struct{}
	tomb        tomb.Tomb

	mu             sync.Mutex // guards the fields below
	rnd            *rand.Rand
	faults         Faults
	running        int            // requests in progress
	peak           int            // largest value of running
	started        int            // requests that began to run
	endedSinceCold int            // requests ended since Faults.Cold was set, or since the start
	runs           map[string]int // by request ID
}

// Start starts a stand-in, which announces itself and serves requests until Stop or Crash.
func Start(opts Options) (*Server, error) {
	if err := opts.Work.Check(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{
		opts:        opts,
		instance:    strconv.FormatInt(time.Now().UnixNano(), 36),
		listener:    listener,
		client:      &http.Client{Timeout: 30 * time.Second},
		announceNow: make(chan struct{}, 1),
		rnd:         rand.New(rand.NewPCG(opts.Seed, 0)),
		runs:        map[string]int{},
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

// Stop withdraws the announcement and stops. It closes connections without waiting for their requests.
func (s *Server) Stop() error {
	s.tomb.Kill(nil)
	s.http.Close()
	return s.tomb.Wait()
}

// Crash stops without withdrawing the announcement. It does not wait until the stand-in has stopped.
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
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

// Runs returns the number of runs of each request ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Peak returns the largest number of requests that have been in progress at once.
func (s *Server) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// Started returns the number of requests that began to run, that is, without those that were shed.
func (s *Server) Started() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) }

// responseBody is the JSON body of a response.
type responseBody struct {
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

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Rosemaryline-Request-Id")
	size, err := responseSize(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run, faults := s.beginRequest(id, s.opts.Work.Of(r.RequestURI, s.opts.ServiceTime))
	defer s.endRequest()
	if faults.shed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "backend server is full", http.StatusServiceUnavailable)
		return
	}
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if faults.hang {
		<-r.Context().Done()
		return
	}
	if faults.fail {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if !sleep(r.Context(), faults.delay) {
		return
	}
	resp := responseBody{
		Service: s.opts.Service, Server: s.opts.Name, Instance: s.instance,
		Method: r.Method, URI: r.RequestURI, Team: r.Header.Get("Rosemaryline-Team"),
		RequestID: id, Run: run, BodyBytes: received,
	}
	if path := r.URL.Query().Get(nestedParameter); path != "" {
		resp.Nested = s.callNested(r.Context(), id, path)
	}
	writeResponse(w, resp, size, faults.cut)
}

// responseSize returns the least size of the response that a request asks for; 0 without responseBytesParameter.
func responseSize(r *http.Request) (int, error) {
	text := r.URL.Query().Get(responseBytesParameter)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxResponseBytes {
		return 0, errors.Errorf("%s %q is not between 0 and %d", responseBytesParameter, text, maxResponseBytes)
	}
	return n, nil
}

// serveProbe responds to a probe. Probes have the same faults as requests, except cut responses.
func (s *Server) serveProbe(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.drawFaults(s.rnd, probeServiceTime)
	s.mu.Unlock()
	switch {
	case f.hang:
		<-r.Context().Done()
	case f.fail:
		http.Error(w, "internal error", http.StatusInternalServerError)
	case f.shed:
		http.Error(w, "backend server is full", http.StatusServiceUnavailable)
	default:
		sleep(r.Context(), f.delay)
	}
}

// beginRequest counts a request and draws its faults. run is the number of runs of the ID, this one included unless it is
// shed; 0 without an ID.
func (s *Server) beginRequest(id string, serviceTime time.Duration) (run int, f requestFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.peak = max(s.peak, s.running)
	f = s.drawFaults(s.rnd, serviceTime)
	if !f.shed {
		s.started++
		if id != "" && len(s.runs) < maxCountedIDs {
			s.runs[id]++
		}
	}
	return s.runs[id], f
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.endedSinceCold++
}

// callNested calls another service through the local listener and returns the path and the status, or the error text.
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

// writeResponse writes a response of at least size bytes, padded with spaces. If cut is true, it aborts the connection after
// half of it.
func writeResponse(w http.ResponseWriter, resp responseBody, size int, cut bool) {
	data, err := json.Marshal(resp)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	data = append(data, '\n')
	size = max(size, len(data))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if resp.RequestID != "" {
		// The gate checks that an ID in the response is that of its request.
		w.Header().Set("Rosemaryline-Request-Id", resp.RequestID)
	}
	if !cut {
		writePadded(w, data, size)
		return
	}
	writePadded(w, data[:min(len(data), size/2)], size/2)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// padding is what responses are padded with.
var padding = bytes.Repeat([]byte{' '}, 32<<10)

// writePadded writes data and spaces, size bytes together. An error means that the gate has closed the connection, which ends
// the response.
func writePadded(w io.Writer, data []byte, size int) {
	_, err := w.Write(data)
	for written := len(data); err == nil && written < size; {
		n := min(size-written, len(padding))
		_, err = w.Write(padding[:n])
		written += n
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// sleep waits for d. It returns false if the context ends first.
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
