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
	// maxIdleConns bounds the idle connections of an entry to one backend server, and of the caller to one entry.
	maxIdleConns = 64
	// requestID is the header with the id of a request.
	requestID = "Rosemaryline-Request-Id"
)

// entry is the proxy process of the baseline on one VM.
type entry struct {
	baseline       *baseline
	index          int
	started        time.Time
	callerListener *listener
	localListener  *listener
	transport      *http.Transport

	mu             sync.Mutex // guards the fields below
	rnd            *rand.Rand
	buckets        map[string]*tokenBucket
	ejectionStates []ejectionState // by backend server
}

// listener is an HTTP server with its listener.
type listener struct {
	http.Server
	net.Listener
}

func (l *listener) address() string { return l.Listener.Addr().String() }

// listen starts an HTTP server at address.
func listen(address string, handler http.HandlerFunc) (*listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &listener{Listener: inner}
	l.Handler = handler
	go func() {
		// Serve returns an error when the listener is closed.
		_ = l.Server.Serve(inner)
	}()
	return l, nil
}

func startEntry(b *baseline, index int, v vm, seed uint64) (*entry, error) {
	n := float64(b.user.servers())
	e := &entry{
		baseline: b, index: index, started: time.Now(), buckets: map[string]*tokenBucket{},
		rnd:            rand.New(rand.NewPCG(seed, uint64(index))),
		ejectionStates: make([]ejectionState, b.user.servers()),
		transport:      &http.Transport{DialContext: b.user.peerDialer(v.domain).DialContext, MaxIdleConnsPerHost: maxIdleConns},
	}
	for _, team := range b.user.teams {
		t := b.user.doc.Teams[team]
		e.buckets[team] = newTokenBucket(t.Rate/n, max(1, float64(t.Burst)/n))
	}
	var err error
	if e.callerListener, err = listen(listenAddress(v.domain, index), e.serveCallers); err != nil {
		return nil, err
	}
	e.localListener, err = listen(listenAddress(v.domain, index), e.serveLocal)
	return e, err
}

func (e *entry) stop() {
	e.callerListener.Server.Close()
	e.localListener.Server.Close()
	e.transport.CloseIdleConnections()
}

// serveCallers forwards a request of a caller, or refuses it if its team is over the entry's part of the rate.
func (e *entry) serveCallers(w http.ResponseWriter, r *http.Request) {
	team := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !e.takeToken(team) {
		http.Error(w, "over rate", http.StatusTooManyRequests)
		return
	}
	e.forward(w, r)
}

// serveLocal accepts announcements of the backend server, which the baseline ignores, and forwards nested calls.
func (e *entry) serveLocal(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/backend-servers/") {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	e.forward(w, r)
}

// takeToken takes one token of the team and reports whether there was one. It returns false for an unknown team.
func (e *entry) takeToken(team string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.buckets[team]
	return ok && b.takeToken(time.Since(e.started))
}

// forward chooses a backend server, waits for a free slot of it until the route's deadline, and sends the request.
func (e *entry) forward(w http.ResponseWriter, r *http.Request) {
	service, deadline, ok := e.baseline.routeOf(r)
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
	slot := e.baseline.slots[server]
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-ctx.Done():
		http.Error(w, "deadline", http.StatusGatewayTimeout)
		return
	}
	e.send(ctx, w, r, server, service)
}

// send sends the request to a backend server and copies the response to the caller.
func (e *entry) send(ctx context.Context, w http.ResponseWriter, r *http.Request, server int, service string) {
	if timeout := e.baseline.responseTimeout(service); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+e.baseline.backends.address(server)+r.URL.RequestURI(), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out.ContentLength = r.ContentLength
	out.Header.Set(requestID, r.Header.Get(requestID))
	resp, err := e.transport.RoundTrip(out)
	if err != nil {
		if r.Context().Err() == nil {
			e.recordResponse(server, true)
		}
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	e.recordResponse(server, resp.StatusCode >= http.StatusInternalServerError)
	w.WriteHeader(resp.StatusCode)
	// Copying fails if the caller or the backend server closes its connection. The caller then gets a truncated response.
	_, _ = io.Copy(w, resp.Body)
}
