package standin

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWork guards against work whose mean, spread or share of long requests is not as set, and against work that differs
// between stand-ins.
func TestWork(t *testing.T) {
	const requests = 50_000
	for _, w := range []Work{{Spread: 0.3}, {Spread: 0.8}, {LongShare: 0.02, LongFactor: 6}, {Spread: 0.5, LongShare: 0.03, LongFactor: 5}} {
		var sum, squares float64
		for i := range requests {
			uri := fmt.Sprintf("/orders/%d", i)
			d := w.Of(uri, time.Second).Seconds()
			assert.Equal(t, d, w.Of(uri, time.Second).Seconds())
			sum, squares = sum+d, squares+d*d
		}
		mean := sum / requests
		wantMean := 1 + w.LongShare*max(w.LongFactor-1, 0)
		assert.Assert(t, math.Abs(mean-wantMean) < 0.03*wantMean, "%+v: mean %v", w, mean)
		// The second moment of the product of two independent factors is the product of their second moments.
		second := (1 + w.Spread*w.Spread) * (1 + w.LongShare*max(w.LongFactor*w.LongFactor-1, 0))
		assert.Assert(t, math.Abs(squares/requests-second) < 0.1*second, "%+v: second moment %v, want %v", w, squares/requests, second)
	}
	for _, w := range []Work{{Spread: -1}, {Spread: math.NaN()}, {LongShare: 1.1}, {LongFactor: math.Inf(1)}} {
		assert.Assert(t, w.Check() != nil, "%+v", w)
	}
}

// TestShedAndLongResponses guards against shed requests that count as run, and against responses without the size that was
// asked for.
func TestShedAndLongResponses(t *testing.T) {
	s := startStandin(t, startFakeProcess(t))
	resp, body, err := get(t, s, "/a?responseBytes=100000")
	assert.NilError(t, err)
	assert.Equal(t, resp.ContentLength, int64(100000))
	assert.Equal(t, len(body), 100000)
	assert.Assert(t, strings.HasPrefix(body, "{"))
	for _, bad := range []string{"-1", "x", "1e9"} {
		resp, _, err = get(t, s, "/a?responseBytes="+bad)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 400, bad)
	}
	assert.Equal(t, put(t, s, `{"shedShare":1}`), 200)
	resp, _, err = get(t, s, "/a")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, s.Started(), 1)
	assert.Equal(t, s.Runs()["id-1"], 1)
}
