package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
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

// target is a stand-in for an application target: it serves requests as PROTOCOL.md describes, and announces itself.
type target struct {
	m        *machine
	listener net.Listener
	stop     chan struct{}
	stopOnce sync.Once

	mu       sync.Mutex // guards the fields below
	id       string
	born     int64
	sequence uint64
	state    string
	cold     time.Time // until then
	conns    map[net.Conn]bool

	slots   int
	queue   int
	inUse   chan struct{}
	waiting atomic.Int64
	work    func(r *http.Request) time.Duration
	// answer, where set, may answer a request that runs in place of the target's usual answer. It returns false to let the
	// usual one follow.
	answer func(t *target, c net.Conn, r *http.Request, body []byte) (done, keep bool)
	// ran is called for each request that the target begins to work on.
	ran func(t *target, r *http.Request, body []byte)
}

func newTarget(m *machine) *target {
	t := &target{
		m: m, id: newID("i-"), born: time.Now().UnixMilli(), state: "ready", slots: 5, queue: 48,
		stop: make(chan struct{}), conns: map[net.Conn]bool{},
		work: func(*http.Request) time.Duration { return time.Duration(20+rand.IntN(60)) * time.Millisecond },
	}
	return t
}

func newID(prefix string) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(rand.UintN(256))
	}
	return prefix + hex.EncodeToString(b[:])
}

func (t *target) address() string { return t.m.f.addr(t.m.ip, portApp) }

func (t *target) listen() error {
	t.inUse = make(chan struct{}, t.slots)
	l, err := net.Listen("tcp", t.address())
	if err != nil {
		return err
	}
	t.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.conns[c] = true
			t.mu.Unlock()
			go t.serve(c)
		}
	}()
	return nil
}

func (t *target) close() {
	t.stopOnce.Do(func() { close(t.stop) })
	if t.listener != nil {
		t.listener.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.Close()
	}
}

func signature(id, target string, body []byte) string {
	sum := sha256.Sum256([]byte(id + "|" + target + "|" + string(body)))
	return target + "." + hex.EncodeToString(sum[:8])
}

// responseBody returns the body of a target's answer, which names the request.
func responseBody(id, target string, size int) []byte {
	b := fmt.Appendf(nil, "id=%s target=%s ", id, target)
	for len(b) < size {
		b = append(b, byte('a'+len(b)%26))
	}
	return b
}

func (t *target) serve(c net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
		c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.Header.Get("Expect") != "" {
			fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !t.handle(c, r, body) {
			return
		}
	}
}

func (t *target) currentID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.id
}

// handle serves one request and reports whether the connection stays open.
func (t *target) handle(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/health" {
		return writeAnswer(c, 200, map[string]string{"X-Instance-Id": t.currentID()}, []byte("ok"))
	}
	if id == "" {
		return writeAnswer(c, 400, map[string]string{"X-Not-Executed": "1"}, nil)
	}
	if wanted := r.Header.Get("X-Target-Instance"); wanted != "" && wanted != t.currentID() {
		return writeAnswer(c, 421, map[string]string{"X-Not-Executed": "1", "X-Request-Id": id, "X-Instance-Id": t.currentID()}, nil)
	}
	deadline := time.Now().Add(10 * time.Second)
	if ms, err := strconv.Atoi(r.Header.Get("X-Request-Deadline")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	shed := func() bool {
		return writeAnswer(c, 503, map[string]string{"X-Not-Executed": "1", "X-Request-Id": id}, nil)
	}
	select {
	case t.inUse <- struct{}{}:
	default:
		if t.waiting.Add(1) > int64(t.queue) {
			t.waiting.Add(-1)
			return shed()
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case t.inUse <- struct{}{}:
			t.waiting.Add(-1)
			timer.Stop()
		case <-timer.C:
			t.waiting.Add(-1)
			return shed()
		}
	}
	defer func() { <-t.inUse }()
	t.m.f.rec.ran(id, t.currentID(), r.Header.Get("X-Tenant"))
	if t.ran != nil {
		t.ran(t, r, body)
	}
	if t.answer != nil {
		if done, keep := t.answer(t, c, r, body); done {
			return keep
		}
	}
	time.Sleep(min(t.work(r), time.Until(deadline)))
	if time.Now().After(deadline) {
		return writeAnswer(c, 504, map[string]string{"X-Request-Id": id}, nil)
	}
	return t.succeed(c, r)
}

// succeed writes the target's usual answer.
func (t *target) succeed(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	answer := responseBody(id, t.currentID(), 400)
	return writeAnswer(c, 200, map[string]string{"X-Request-Id": id, "X-Response-Signature": signature(id, t.currentID(), answer)}, answer)
}

func writeAnswer(c net.Conn, status int, header map[string]string, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

// heartbeat returns the body of the next heartbeat.
func (t *target) heartbeat() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	data, _ := json.Marshal(map[string]any{
		"service": t.m.service, "address": t.address(), "zone": t.m.zone, "version": "v1", "slots": t.slots, "state": t.state,
		"coldRemainingMs": max(time.Until(t.cold).Milliseconds(), 0), "sequence": t.sequence, "born": t.born,
	})
	return data
}

// announce sends a heartbeat and reports whether it was acknowledged.
func (t *target) announce() bool {
	status, _ := t.m.f.order(t.m, "POST", "/v1/Instances.Heartbeat/"+t.currentID(), t.heartbeat())
	return status >= 200 && status < 300
}

// beat sends heartbeats until the target is closed.
func (t *target) beat() {
	go func() {
		pause := time.Duration(0)
		for {
			select {
			case <-t.stop:
				return
			case <-time.After(pause):
			}
			pause = 1500 * time.Millisecond
			if !t.announce() {
				pause = 300 * time.Millisecond
			}
		}
	}()
}
