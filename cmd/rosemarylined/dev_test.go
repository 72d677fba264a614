package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/standin"
)

// devStopRequests is the number of requests that run or wait when the development fleet stops. They fit into the queues of
// cold backend servers.
const devStopRequests = 30

// TestDevFleetServesWhatItAccepted guards against a stop that cuts accepted requests off: the requests that run or wait when
// the development fleet stops must get the responses of backend servers.
func TestDevFleetServesWhatItAccepted(t *testing.T) {
	// The team has no rate limit: on a busy machine tokens arrive too late, and requests that are refused with 429 before
	// the stop say nothing about it.
	unlimited := bytes.Replace(devConfig, []byte("demo: {rate: 200, burst: 100}"), []byte("demo: {unlimited: true}"), 1)
	assert.Assert(t, !bytes.Equal(unlimited, devConfig))
	f := &devFleet{config: unlimited, log: newLogger("error", io.Discard)}
	defer func() { f.stop() }()
	ctx, cancel := context.WithTimeout(t.Context(), devStartTimeout)
	defer cancel()
	assert.NilError(t, f.start(ctx))
	for _, b := range f.standins {
		b.SetFaults(standin.Faults{SlowFactor: 10})
	}
	address := f.nodes[0].CallerAddress()
	statuses := make(chan int, devStopRequests)
	for range devStopRequests {
		go func() { statuses <- statusOf("http://"+address+"/rounds/stop", f.key) }()
	}
	// Those that ended before the stop do not count.
	ended := f.waitAccepted(t, statuses)
	f.stop()
	f.nodes, f.standins = nil, nil
	counts := map[int]int{}
	for i := range devStopRequests {
		if status := <-statuses; i >= ended {
			counts[status]++
		}
	}
	assert.Assert(t, ended < devStopRequests/2, "%d requests ended before the stop", ended)
	assert.DeepEqual(t, counts, map[int]int{http.StatusOK: devStopRequests - ended})
}

// waitAccepted waits until each request runs, is queued or has ended, and returns the number of those that have ended.
func (f *devFleet) waitAccepted(t *testing.T, statuses chan int) (ended int) {
	t.Helper()
	accepted := 0
	for deadline := time.Now().Add(devStartTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		ended = len(statuses)
		accepted = ended
		for _, n := range f.nodes {
			load := n.Gate().Load("rounds")
			accepted += load.InFlight + load.Queued
		}
		if accepted >= devStopRequests {
			return ended
		}
	}
	t.Fatalf("%d of %d requests were accepted", accepted, devStopRequests)
	return 0
}

// statusOf sends a request on a connection of its own and returns the status of the response; 0 without one.
func statusOf(url, key string) int {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
