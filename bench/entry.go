package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxIdleConns bounds the idle connections of an entry to one backend server.
	maxIdleConns = 64
	requestID    = "Rosemaryline-Request-Id"
)

// entry is one process of the baseline.
type entry struct {
	base      *baseline
	index     int
	began     time.Time
	open      *listener
	local     *listener
	transport *http.Transport

	mu      sync.Mutex // guards the fields below
	rnd     *rand.Rand
	buckets map[string]*bucket
	limits  []errorLimit // by backend server
}

// listener is an HTTP server on its own address.
type listener struct {
	http.Server
	net.Listener
}

func (l *listener) address() string { return l.Listener.Addr().String() }

func listen(address string, handler http.HandlerFunc) (*listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &listener{Listener: inner}
	l.Handler = handler
	go func() {
		// Serve ends when the listener is closed.
		_ = l.Server.Serve(inner)
	}()
	return l, nil
}

func startEntry(b *baseline, index int, v vm, seed uint64) (*entry, error) {
	n := float64(b.user.servers())
	e := &entry{
		base: b, index: index, began: time.Now(), buckets: map[string]*bucket{},
		rnd:       rand.New(rand.NewPCG(seed, uint64(index))),
		limits:    make([]errorLimit, b.user.servers()),
		transport: &http.Transport{DialContext: b.user.peerDialer(v.domain).DialContext, MaxIdleConnsPerHost: maxIdleConns},
	}
	for _, team := range b.user.teams {
		t := b.user.doc.Teams[team]
		e.buckets[team] = newBucket(t.Rate/n, max(1, float64(t.Burst)/n))
	}
	var err error
	if e.open, err = listen(listenAddress(v.domain, index), e.serveOpen); err != nil {
		return nil, err
	}
	e.local, err = listen(listenAddress(v.domain, index), e.serveLocal)
	return e, err
}

func (e *entry) stop() {
	e.open.Server.Close()
	e.local.Server.Close()
	e.transport.CloseIdleConnections()
}

// serveOpen answers callers.
func (e *entry) serveOpen(w http.ResponseWriter, r *http.Request) {
	team := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !e.take(team) {
		http.Error(w, "over rate", http.StatusTooManyRequests)
		return
	}
	e.forward(w, r)
}

// serveLocal answers announcements, which the baseline does not need, and nested calls.
func (e *entry) serveLocal(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/backend-servers/") {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	e.forward(w, r)
}

func (e *entry) take(team string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.buckets[team]
	return ok && b.take(time.Since(e.began))
}

func (e *entry) forward(w http.ResponseWriter, r *http.Request) {
	service, deadline, ok := e.base.routeOf(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	server, ok := e.choose(service)
	if !ok {
		http.Error(w, "no capacity", http.StatusServiceUnavailable)
		return
	}
	slot := e.base.slots[server]
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-ctx.Done():
		http.Error(w, "deadline", http.StatusGatewayTimeout)
		return
	}
	e.send(ctx, w, r, server, service)
}

// send passes the request to a backend server and its answer to the caller.
func (e *entry) send(ctx context.Context, w http.ResponseWriter, r *http.Request, server int, service string) {
	if timeout := e.base.responseTimeout(service); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+e.base.backends.address(server)+r.URL.RequestURI(), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out.ContentLength = r.ContentLength
	out.Header.Set(requestID, r.Header.Get(requestID))
	resp, err := e.transport.RoundTrip(out)
	if err != nil {
		if r.Context().Err() == nil {
			e.observe(server, true)
		}
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	e.observe(server, resp.StatusCode >= http.StatusInternalServerError)
	w.WriteHeader(resp.StatusCode)
	// A failing copy means that the caller or the backend server is gone; the caller sees a cut answer.
	_, _ = io.Copy(w, resp.Body)
}
