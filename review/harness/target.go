package main

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
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a target ran.
type run struct {
	id string
	at time.Time
}

// target is a stand-in for a target as PROTOCOL.md describes it: it runs slots requests at once, queues a few more, and
// refuses others and those for another instance without running them.
type target struct {
	rec     *record
	machine *machine
	id      string
	born    int64
	slots   int
	work    atomic.Int64 // time that a request takes, in nanoseconds

	server *http.Server
	slot   chan struct{}
	queue  chan struct{}

	mu       sync.Mutex
	runs     []run
	sequence uint64
	silent   bool // sends no further heartbeats
	stop     chan struct{}
}

const targetQueue = 48

func startTarget(rec *record, m *machine, id string, slots int, work time.Duration) (*target, error) {
	t := &target{
		rec: rec, machine: m, id: id, born: time.Now().UnixMilli(), slots: slots,
		slot: make(chan struct{}, slots), queue: make(chan struct{}, slots+targetQueue), stop: make(chan struct{}),
	}
	t.work.Store(int64(work))
	listener, err := net.Listen("tcp", m.address(portApp))
	if err != nil {
		return nil, err
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), IdleTimeout: 10 * time.Second}
	go t.server.Serve(listener)
	go t.beat()
	return t, nil
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	notRun := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if named := r.Header.Get("X-Target-Instance"); named != "" && named != t.id {
		t.rec.add("target %s: 421 for %s, which names %s", t.id, id, named)
		notRun(http.StatusMisdirectedRequest)
		return
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Request-Deadline"), 10, 64)
	if err != nil || id == "" {
		notRun(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	t.rec.add("target %s: request %s arrived, deadline %d ms", t.id, id, ms)
	select {
	case t.queue <- struct{}{}:
		defer func() { <-t.queue }()
	default:
		notRun(http.StatusServiceUnavailable)
		return
	}
	select {
	case t.slot <- struct{}{}:
		defer func() { <-t.slot }()
	case <-deadline.C:
		notRun(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	t.mu.Lock()
	t.runs = append(t.runs, run{id: id, at: time.Now()})
	t.mu.Unlock()
	t.rec.add("target %s: runs %s %s %s, %d bytes, tenant %q, caller %q", t.id, id, r.Method, r.URL.RequestURI(), len(body), r.Header.Get("X-Tenant"), r.Header.Get("X-Caller-Service"))
	select {
	case <-time.After(time.Duration(t.work.Load())):
	case <-deadline.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("X-Response-Signature", "signed-"+id)
	fmt.Fprintf(w, "done %s by %s", id, t.id)
}

// taken returns the runs so far.
func (t *target) taken() []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]run(nil), t.runs...)
}

// beat sends the regular heartbeats until the target falls silent.
func (t *target) beat() {
	t.heartbeat("ready", t.nextSequence())
	time.Sleep(rand.N(heartbeatEvery)) // targets do not beat in step
	for {
		t.mu.Lock()
		silent := t.silent
		if !silent {
			t.sequence++
		}
		sequence := t.sequence
		t.mu.Unlock()
		if silent {
			return
		}
		t.heartbeat("ready", sequence)
		select {
		case <-time.After(heartbeatEvery):
		case <-t.stop:
			return
		}
	}
}

// nextSequence takes the number of a heartbeat that arrives later.
func (t *target) nextSequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return t.sequence
}

// heartbeat sends one heartbeat and returns the status of the answer; 0 without one.
func (t *target) heartbeat(state string, sequence uint64) int {
	body, _ := json.Marshal(map[string]any{
		"service": t.machine.service, "address": t.machine.address(portApp), "zone": t.machine.zone, "version": "v1",
		"slots": t.slots, "state": state, "coldRemainingMs": 0, "sequence": sequence, "born": t.born,
	})
	return t.call("/v1/Instances.Heartbeat/"+t.id, body)
}

// deregister says that the target leaves. No regular heartbeat follows.
func (t *target) deregister() int {
	t.mu.Lock()
	t.silent = true
	t.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": t.born})
	status := t.call("/v1/Instances.Deregister/"+t.id, body)
	t.rec.add("target %s: deregistered, answer %d", t.id, status)
	return status
}

func (t *target) call(path string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.machine.address(portControl)+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (t *target) close() {
	close(t.stop)
	t.server.Close()
}
