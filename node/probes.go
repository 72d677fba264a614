package node

import (
	"context"
	"net/http"
	"time"
)

const (
	// probeTimeout bounds a probe of a backend server.
	probeTimeout = time.Second
	// probePath is what a probe requests.
	probePath = "/"
	// probeCost is the time that a probe takes at a healthy backend server beyond an ordinary request.
	probeCost = 25 * time.Millisecond
	// probeSlowFactor is the ratio to the usual latency up to which a probe counts as good.
	probeSlowFactor = 3
)

// probe sends one request to a backend server, outside its slots.
func (e *ejections) probe(server string) {
	address, ok := e.gate.Address(server[len(e.vm)+1:])
	if !ok {
		return
	}
	began := e.clock()
	ok = e.sendProbe(address)
	now := e.clock()
	latency := now - began
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector.Observe(server, now, latency, !ok)
	usual := e.usual[e.services[server[len(e.vm)+1:]]]
	good := ok && latency <= probeSlowFactor*usual+probeCost
	e.ejector.ProbeResult(server, good, now)
}

func (e *ejections) sendProbe(address string) bool {
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+probePath, nil)
	if err != nil {
		return false
	}
	resp, err := e.probing.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < http.StatusInternalServerError
}
