package loadgen

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/bench/processfleet"
)

const sound = `seed: 1
duration: 2s
warmUp: 200ms
rounds: 2
requests:
  - name: read
    path: /a/{n}
    rate: 100
    objective: 100ms
    timeout: 1s
  - name: write
    method: POST
    path: /b
    body: 10
    rate: 50
    from: 500ms
    for: 1s
targets:
  - name: old
    url: http://127.0.0.1:1
`

// TestWrongLoadFilesAreNamed guards against a load file with a mistake that is run with another meaning, or refused without the
// line and field.
func TestWrongLoadFilesAreNamed(t *testing.T) {
	_, err := Parse([]byte(sound))
	assert.NilError(t, err)
	for _, test := range []struct{ desc, old, new, line, field string }{
		{"negative rate", "rate: 50", "rate: -1", "line 15", "requests[1].rate"},
		{"rate that is no number", "rate: 50", "rate: .nan", "line 15", "requests[1].rate"},
		{"unknown field", "warmUp", "warmup", "3:1", "warmup"},
		{"wrong type", "rate: 100", "rate: fast", "8:11", "rate"},
		{"path", "path: /b", "path: b", "line 13", "requests[1].path"},
		{"method", "method: POST", "method: P OST", "line 12", "requests[1].method"},
		{"same name twice", "name: write", "name: read", "line 11", "requests[1].name"},
		{"end after the load", "for: 1s", "for: 1600ms", "line 17", "requests[1].for"},
		{"objective above the timeout", "objective: 100ms", "objective: 2s", "line 9", "requests[0].objective"},
		{"warm-up", "warmUp: 200ms", "warmUp: 2s", "line 3", "warmUp"},
		{"duration", "duration: 2s", "duration: 100h", "line 2", "duration"},
		{"rounds", "rounds: 2", "rounds: -2", "line 4", "rounds"},
		{"duration without a unit", "duration: 2s", "duration: 20", "line 2", "duration"},
		{"time that is none", "from: 500ms", "from: half a second", "line 16", "requests[1].from"},
		{"no rate", "    rate: 50\n", "", "line 11", "requests[1].rate"},
		{"no targets", sound[strings.Index(sound, "targets:"):], "", "line 1", "targets"},
		{"too many requests", "duration: 2s", "duration: 1h\nrounds: 2\nrequests:\n  - name: many\n    path: /\n    rate: 10000\ntargets:\n  - name: old\n    url: http://a\n#", "line 4", "requests"},
		{"URL", "http://127.0.0.1:1", "127.0.0.1:1", "line 20", "targets[0].url"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			text := strings.Replace(sound, test.old, test.new, 1)
			if before, _, found := strings.Cut(text, "#"); found {
				text = before
			}
			assert.Assert(t, text != sound)
			_, err := Parse([]byte(text))
			assert.ErrorContains(t, err, test.line)
			assert.ErrorContains(t, err, test.field)
		})
	}
}

// TestExampleLoadFile guards against an example that cannot be used.
func TestExampleLoadFile(t *testing.T) {
	spec, err := Load("../../examples/load.yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(spec.Targets), 2)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sound))
	f.Add([]byte(teamLoad))
	f.Add([]byte(fleetLoad))
	f.Add([]byte("requests: [{}]\ntargets: [{}]\nduration: 1s"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if spec, err := Parse(data); err == nil {
			assert.Assert(t, len(spec.Kinds) > 0 && len(spec.Targets) > 0)
		}
	})
}

// TestArrivals guards against targets that get different loads, and against arrivals outside their time or rate.
func TestArrivals(t *testing.T) {
	spec, err := Parse([]byte(sound))
	assert.NilError(t, err)
	arrivals := spec.arrivals()
	counts := [2]int{}
	for i, a := range arrivals {
		counts[a.kind]++
		assert.Assert(t, i == 0 || a.at >= arrivals[i-1].at)
		k := spec.Kinds[a.kind]
		assert.Assert(t, a.at >= k.From && a.at < k.From+k.For)
	}
	assert.Assert(t, counts[0] > 160 && counts[0] < 240 && counts[1] > 30 && counts[1] < 70, "%v", counts)
	again := spec.arrivals()
	assert.Equal(t, len(arrivals), len(again))
	for i := range arrivals {
		assert.Equal(t, arrivals[i], again[i])
	}
}

// TestCompareTellsEndsApart guards against ends that are counted as others, and against a difference between targets that is
// not found: the second target refuses, fails, delays or breaks off every other request.
func TestCompareTellsEndsApart(t *testing.T) {
	good := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer good.Close()
	var n atomic.Int64
	bad := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch n.Add(1) % 8 {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			w.WriteHeader(http.StatusInternalServerError)
		case 5:
			select {
			case <-time.After(300 * time.Millisecond):
			case <-r.Context().Done():
			}
		case 7:
			panic(http.ErrAbortHandler)
		}
	}))
	defer bad.Close()
	spec, err := Parse([]byte(strings.Replace(sound, "http://127.0.0.1:1", good.URL+"\n  - name: new\n    url: "+bad.URL, 1)))
	assert.NilError(t, err)
	c, err := spec.Compare(t.Context(), func(string, int, time.Duration, int, int) {})
	assert.NilError(t, err)
	assert.Equal(t, len(c.Targets[0].Rounds), 2)
	ends := c.Targets[1].Rounds[0].Kinds[0].Ends
	for _, end := range []End{InTime, Late, Refused, Failed, Broken} {
		assert.Assert(t, ends[end.String()] > 5, "%v", ends)
	}
	for _, d := range c.Kinds {
		assert.Assert(t, d.Share < -0.2 && d.Clear, "%+v", d)
	}
	dir := t.TempDir()
	flags := &Flags{JSON: filepath.Join(dir, "out.json"), Plot: filepath.Join(dir, "out.svg")}
	assert.NilError(t, flags.Write(c, nil))
	data, err := os.ReadFile(flags.JSON)
	assert.NilError(t, err)
	var read Comparison
	assert.NilError(t, json.Unmarshal(data, &read))
	assert.Equal(t, len(read.Kinds), 2)
	picture, err := os.ReadFile(flags.Plot)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(picture, []byte("<svg")))
	var table bytes.Buffer
	assert.NilError(t, c.Summarize(&table))
	assert.Assert(t, strings.Contains(table.String(), "new against old, read"), table.String())
}

// TestInvalidResponsesAreBroken guards against a response that no client may believe and that counts as one in time.
func TestInvalidResponsesAreBroken(t *testing.T) {
	invalid := []string{
		"HTTP/1.1 000 S\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 600 S\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX Field: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Field: a\r\n\r\n",
	}
	var n atomic.Int64
	bad := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, invalid[n.Add(1)%int64(len(invalid))])
	}))
	defer bad.Close()
	spec, err := Parse([]byte(strings.Replace(sound, "http://127.0.0.1:1", bad.URL, 1)))
	assert.NilError(t, err)
	c, err := spec.Compare(t.Context(), func(string, int, time.Duration, int, int) {})
	assert.NilError(t, err)
	for _, kind := range c.Targets[0].Rounds[0].Kinds {
		assert.Assert(t, kind.Ends[Broken.String()] > 5, "%v", kind.Ends)
		assert.Equal(t, kind.Ends[Broken.String()], kind.Ends[InTime.String()]+kind.Ends[Late.String()]+kind.Ends[Failed.String()]+kind.Ends[Broken.String()], "%v", kind.Ends)
	}
}

// TestTargetThatIsNotReady guards against a load that is sent to a target that never became ready, and against a command that
// is left running.
func TestTargetThatIsNotReady(t *testing.T) {
	spec, err := Parse([]byte(sound))
	assert.NilError(t, err)
	spec.Targets[0].ReadyTimeout = 300 * time.Millisecond
	spec.Targets[0].Command = []string{"sleep", "60"}
	began := time.Now()
	_, err = spec.Compare(t.Context(), func(string, int, time.Duration, int, int) {})
	assert.ErrorContains(t, err, "target old, round 1")
	assert.ErrorContains(t, err, "is not ready")
	assert.Assert(t, time.Since(began) < processfleet.StopTimeout)
}
