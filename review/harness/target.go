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
	work    time.Duration

	server *http.Server
	slot   chan struct{}
	queue  chan struct{}

	mu       sync.Mutex
	runs     []run
	sequence uint64
	silent   bool // sends no further heartbeats
	beatAt   time.Time
	// coldSince is when the target last became cold; zero if it never did.
	coldSince time.Time
	stop      chan struct{}
}

const targetQueue = 48

func startTarget(rec *record, m *machine, id string, slots int, work time.Duration) (*target, error) {
	t := &target{
		rec: rec, machine: m, id: id, born: time.Now().UnixMilli(), slots: slots, work: work,
		slot: make(chan struct{}, slots), queue: make(chan struct{}, slots+targetQueue), stop: make(chan struct{}),
	}
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
	if t.overloadedWhileCold(id) {
		t.crash()
		return
	}
	t.rec.add("target %s: runs %s %s %s, %d bytes, tenant %q, caller %q", t.id, id, r.Method, r.URL.RequestURI(), len(body), r.Header.Get("X-Tenant"), r.Header.Get("X-Caller-Service"))
	select {
	case <-time.After(t.work):
	case <-deadline.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("X-Response-Signature", "signed-"+id)
	fmt.Fprintf(w, "done %s by %s", id, t.id)
}

// overloadedWhileCold records a run and reports whether it is one more than a cold target bears in a second. PROTOCOL.md:
// "While cold, the target tolerates `warmupPerS` requests per second and crashes at a rate well above that."
func (t *target) overloadedWhileCold(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.runs = append(t.runs, run{id: id, at: now})
	if t.coldSince.IsZero() || now.After(t.coldSince.Add(coldStart)) {
		return false
	}
	inSecond := 0
	for _, r := range t.runs {
		if r.at.After(t.coldSince) && now.Sub(r.at) < time.Second {
			inSecond++
		}
	}
	return inSecond > crashRate
}

// crash ends the target: it closes all connections and sends no further heartbeats.
func (t *target) crash() {
	t.mu.Lock()
	first := !t.silent
	t.silent = true
	t.mu.Unlock()
	if first {
		t.rec.add("target %s crashes", t.id)
		go t.server.Close()
	}
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
		t.mu.Lock()
		t.beatAt = time.Now()
		t.mu.Unlock()
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
	t.mu.Lock()
	cold := max(time.Until(t.coldSince.Add(coldStart)), 0)
	t.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"service": t.machine.service, "address": t.machine.address(portApp), "zone": t.machine.zone, "version": "v1",
		"slots": t.slots, "state": state, "coldRemainingMs": cold.Milliseconds(), "sequence": sequence, "born": t.born,
	})
	return t.call("/v1/Instances.Heartbeat/"+t.id, body)
}

// partialHeartbeat sends a heartbeat in the name of the target that has only the fields without which it would name nothing.
func (t *target) partialHeartbeat() int {
	body, _ := json.Marshal(map[string]any{
		"service": t.machine.service, "address": t.machine.address(portApp), "slots": t.slots, "state": "ready",
	})
	return t.call("/v1/Instances.Heartbeat/"+t.id, body)
}

// becomeCold makes the target cold. Its next regular heartbeat says so.
func (t *target) becomeCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldSince = time.Now()
	t.rec.add("target %s becomes cold", t.id)
}

// waitForBeat waits until the target has sent a regular heartbeat.
func (t *target) waitForBeat() {
	began := time.Now()
	for {
		t.mu.Lock()
		sent := t.beatAt.After(began)
		t.mu.Unlock()
		if sent {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
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
