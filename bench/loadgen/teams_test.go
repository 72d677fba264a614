package loadgen

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const teamLoad = `seed: 3
duration: 1s
keys: {a: key-a, b: key-b}
requests:
  - name: upload
    method: POST
    path: /u
    body: 6000
    bodyMax: 36000
    rate: 50
    teams: [a, b]
    bursts:
      - {team: b, factor: 6, from: 500ms, for: 400ms}
  - name: slow
    path: /s
    rate: 5
    readRate: 100000
targets:
  - {name: t, url: "http://127.0.0.1:1"}
`

// TestTeamsAndBodies guards against requests with the key, size, time or process of others, and against slow callers that read
// fast: a load would then not be the one of the file.
func TestTeamsAndBodies(t *testing.T) {
	var mu sync.Mutex
	keys, sizes, hosts := map[string]int{}, []int64{}, map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		keys[r.Header.Get("Authorization")]++
		hosts[r.Host]++
		if r.URL.Path == "/u" {
			sizes = append(sizes, n)
			return
		}
		w.Write(make([]byte, 20_000))
	}))
	defer server.Close()
	other := httptest.NewServer(server.Config.Handler)
	defer other.Close()
	spec, err := Parse([]byte(teamLoad))
	assert.NilError(t, err)
	r, err := spec.Run(t.Context(), []string{server.URL, other.URL}, spec.Keys, nil)
	assert.NilError(t, err)
	// Expected are 50 requests of a, and 50 + 5 * 50 * 0.4 = 150 of b.
	a, b := keys["Bearer key-a"], keys["Bearer key-b"]
	assert.Assert(t, a > 30 && a < 70 && b > 110 && b < 190, "%v", keys)
	assert.Equal(t, len(keys), 3)
	assert.Equal(t, r.Teams[0].Ends["inTime"], a)
	assert.Equal(t, r.Teams[1].Ends["inTime"], b)
	assert.Equal(t, r.Kinds[0].Ends["inTime"], a+b)
	assert.Assert(t, len(hosts) == 2 && min(hosts[server.Listener.Addr().String()], hosts[other.Listener.Addr().String()]) > 50, "%v", hosts)
	var sum int64
	for _, n := range sizes {
		sum += n
		assert.Assert(t, n <= 36000)
	}
	mean := sum / int64(len(sizes))
	assert.Assert(t, mean > 4500 && mean < 7500, "mean %d", mean)
	// 20,000 bytes at 100,000 bytes per second take 200 ms.
	assert.Assert(t, r.Kinds[1].P50Ms >= 150, "%+v", r.Kinds[1])
}

// TestRefusedAtOnce guards against refusals after a wait that are reported as immediate.
func TestRefusedAtOnce(t *testing.T) {
	k := newKindResult("k")
	for _, o := range []outcome{{Refused, refusedAtOnce}, {Refused, refusedAtOnce + time.Millisecond}, {Failed, 0}} {
		k.record(o)
	}
	assert.Equal(t, k.RefusedAtOnce, 1)
	assert.Equal(t, k.Ends["refused"], 2)
}

// TestWrongTeamsAreNamed guards against mistakes in teams, bursts and bodies that are run with another meaning.
func TestWrongTeamsAreNamed(t *testing.T) {
	for _, test := range []struct{ old, new, message string }{
		{"teams: [a, b]", "teams: [a, a]", "line 11, field requests[0].teams[1]"},
		{"team: b", "team: c", "line 13, field requests[0].bursts[0].team"},
		{"factor: 6", "factor: 0.5", "line 13, field requests[0].bursts[0].factor"},
		{"for: 400ms", "for: 600ms", "line 13, field requests[0].bursts[0].for"},
		{"bodyMax: 36000", "bodyMax: 36", "line 9, field requests[0].bodyMax"},
		{"readRate: 100000", "readRate: 1", "line 17, field requests[1].readRate"},
	} {
		_, err := Parse([]byte(strings.Replace(teamLoad, test.old, test.new, 1)))
		assert.ErrorContains(t, err, test.message)
	}
}

// TestSlowReadersKeepTheirRate guards against callers that read far more slowly than their rate: with a receive buffer below the
// segment size of loopback (64 KB), each read waited about 200 ms for the kernel to announce a window.
func TestSlowReadersKeepTheirRate(t *testing.T) {
	const size, rate = 2 << 20, 2 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range size / len(piece) {
			if _, err := w.Write(piece[:]); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	spec := &Spec{Seed: 1, Duration: 200 * time.Millisecond, Kinds: []Kind{{
		Name: "slow", Path: "/", Method: http.MethodGet, Rate: 20, For: 200 * time.Millisecond, Timeout: 20 * time.Second, Objective: 20 * time.Second, ReadRate: rate,
	}}}
	r, err := spec.Run(t.Context(), []string{server.URL}, nil, nil)
	assert.NilError(t, err)
	// The responses take 1 s at their rate.
	assert.Assert(t, r.Kinds[0].P50Ms > 900 && r.Kinds[0].P50Ms < 4000, "%+v", r.Kinds[0])
}

var piece [32 << 10]byte
