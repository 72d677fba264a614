package node

import (
	"context"
	"net/http"
	"strings"
	"time"

	"rosemaryline.dev/outlier"
	"rosemaryline.dev/rpc/httpresponse"
)

const (
	// probeTimeout limits a probe of a backend server.
	probeTimeout = time.Second
	// maxProbeBody limits the part in bytes of a response to a probe that is read to find out whether it is complete.
	maxProbeBody = 64 << 10
)

func newProbeClient() *http.Client {
	return &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// probe sends one probe to a backend server and passes the result to the detector and the ejector. A probe occupies no
// slot.
func (e *ejections) probe(server, service string) {
	address, ok := e.gate.Address(strings.TrimPrefix(server, e.vm+"/"))
	if !ok {
		return
	}
	settings, _ := e.fleet.Service(service)
	began := e.clock()
	ok = e.sendProbe(address, settings.ProbePath)
	now := e.clock()
	latency := now - began
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector.ObserveProbe(server, now, latency, !ok)
	e.ejector.ProbeResult(server, outlier.ProbeOK(latency, !ok), now)
}

func (e *ejections) sendProbe(address, path string) bool {
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	resp, err := e.probeClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return httpresponse.Check(resp, maxProbeBody) == nil && resp.StatusCode < http.StatusInternalServerError
}
