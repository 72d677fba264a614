package proxy

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a caller that leaves during a streamed response and thereby makes its backend server look faulty.
func TestCallerThatLeavesIsNoFailureOfTheServer(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
		done := make(chan struct{})
		b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
			w.Write(make([]byte, 2*maxBufferedResponse))
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
			case <-done:
			}
		})
		m := newSingleVM(t, newFleetView(t, 1), b)
		ctx, cancel := context.WithCancel(t.Context())
		resp, err := m.gate.Run(ctx, newTestRequest(t, "a"))
		assert.NilError(t, err)
		time.Sleep(pause)
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.Assert(t, err != nil)
		resp.Body.Close()
		assert.Equal(t, m.gate.serversOf("svc")[0].score(), 0.0)
		assert.Equal(t, m.gate.Load("svc").InFlight, 0)
		close(done)
	}
}
