package proxy

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// logBuffer is the writer of a log that a test reads.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// line returns the first line that contains all parts, or "".
func (b *logBuffer) line(parts ...string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
lines:
	for line := range strings.Lines(b.text.String()) {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue lines
			}
		}
		return line
	}
	return ""
}

// Guards against a refusal for lack of memory that cannot be traced to its gate.
func TestGateLogsRefusalForLackOfMemory(t *testing.T) {
	entry, gate := newEntryAndGate(t, newFleetView(t, 4), newBackend(t, nil))
	lines := &logBuffer{}
	gate.gate.opts.Log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
	gate.setBytes(1 << 10)
	resp, _, _ := sendRequest(t, entry.caller, "POST", "/once", strings.NewReader(strings.Repeat("b", 2<<10)))
	assert.Equal(t, resp.StatusCode, 503)
	line := lines.line("gate: refused request.", `"reason":"memory"`, `"outcome":"not-run"`)
	for _, want := range []string{resp.Header.Get(HeaderRequestID), `"team":"red"`, `"service":"svc"`, `"slots":4`} {
		assert.Assert(t, strings.Contains(line, want), "%s is missing in %q", want, line)
	}
}
