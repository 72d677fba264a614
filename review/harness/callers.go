package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int // 0 without an answer
	body   string
	err    error
}

var lastRequest atomic.Int64

// sendTimes holds when each request was sent, by its id.
var sendTimes sync.Map

func sentAt(id string) time.Time {
	at, _ := sendTimes.Load(id)
	sent, _ := at.(time.Time)
	return sent
}

func newID(prefix string) string { return fmt.Sprintf("%s-%05d", prefix, lastRequest.Add(1)) }

// send sends one request of a client on a machine over a new connection.
func send(rec *record, m *machine, method, host, path, key string, body []byte, deadline time.Duration) answer {
	a := answer{id: newID("r")}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(portOutbound)+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Close = true
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("X-Api-Key", key)
	}
	rec.add("client on %s: sends %s %s %s", m.name, a.id, method, path)
	sendTimes.Store(a.id, time.Now())
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		defer resp.Body.Close()
		var data []byte
		data, err = io.ReadAll(resp.Body)
		a.status, a.body = resp.StatusCode, string(data)
	}
	a.err = err
	if err != nil {
		a.status = 0
	}
	rec.add("client on %s: %s answered %d %.60q %v", m.name, a.id, a.status, a.body, errText(err))
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// operator sends orders as PROTOCOL.md says: to one node after the other, each with a second to answer, until one gives a
// clear answer.
type operator struct {
	rec *record
}

var errNoAck = errors.New("no node acknowledged the order")

// order sends an order to the nodes in turn, round after round for limit, and returns the time of the acknowledgement.
func (o *operator) order(path string, body []byte, nodes []*machine, limit time.Duration) (time.Time, error) {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		m := nodes[i%len(nodes)]
		status := o.post(m, path, body)
		o.rec.add("operator: %s at %s answered %d", path, m.name, status)
		switch {
		case status >= 200 && status < 300:
			return time.Now(), nil
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			return time.Time{}, fmt.Errorf("%s refused with %d", path, status)
		case status != 0:
			time.Sleep(100 * time.Millisecond)
		}
	}
	return time.Time{}, errNoAck
}

func (o *operator) post(m *machine, path string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address(portControl)+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// get reads the configuration from a node; the version is empty without a 200.
func (o *operator) get(m *machine) (status int, version string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(portControl)+"/v1/Config.Get", nil)
	if err != nil {
		return 0, ""
	}
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	var doc struct{ Version string }
	if resp.StatusCode == http.StatusOK {
		_ = json.NewDecoder(resp.Body).Decode(&doc)
	}
	return resp.StatusCode, doc.Version
}

// configuration is the operator's configuration in the form of PROTOCOL.md.
type configuration map[string]any

type route struct {
	name, host, prefix, kind, service string
	timeoutMs, aimMs                  int
	public                            bool
}

// newConfiguration returns a configuration with one tenant. A ratePerS of 0 is no limit.
func newConfiguration(version, base int, services []string, routes []route, ratePerS, burst int) []byte {
	var list, hosts []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false, "coldStartS": 3.0, "warmupPerS": 28.0})
	}
	for _, r := range routes {
		hosts = append(hosts, map[string]any{"host": r.host, "paths": []any{map[string]any{
			"name": r.name, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs, "aimMs": r.aimMs, "priority": 1,
			"service": r.service, "maxAttempts": 2, "public": r.public,
		}}})
	}
	data, _ := json.Marshal(configuration{
		"version": fmt.Sprintf("r%d", version), "baseVersion": fmt.Sprintf("r%d", base), "services": list, "hosts": hosts,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "team-one", "apiKeys": []string{"key-of-team-one"}, "priority": 1, "ratePerS": ratePerS, "burst": burst}},
	})
	return data
}
