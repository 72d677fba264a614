package main

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// Guards against a flood of lines that costs all processor time, and against warnings that are lost in it.
func TestLogVolumeIsBounded(t *testing.T) {
	var output bytes.Buffer
	w := newLogWriter(&output)
	logger := &log.Logger{Level: log.InfoLevel, Writer: w}
	for range 100_000 {
		logger.Info().Msg("decision")
	}
	logger.Warn().Msg("lost dependency")
	assert.Assert(t, w.leftOut.Load() > 90_000)
	assert.NilError(t, w.Close())
	assert.Assert(t, strings.Count(output.String(), "decision") >= logBurst)
	assert.Equal(t, strings.Count(output.String(), "lost dependency"), 1)
}

// Guards against a reader of the output that stalls and with it every request.
func TestStalledLogReaderBlocksNobody(t *testing.T) {
	reader, output := io.Pipe()
	w := newLogWriter(output)
	logger := &log.Logger{Level: log.InfoLevel, Writer: w}
	w.lines.SetLimit(1e9)
	w.lines.SetBurst(1e9)
	done := make(chan struct{})
	go func() {
		for range 4 * logQueue {
			logger.Info().Msg("decision")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("a line waits for the reader")
	}
	assert.Assert(t, w.leftOut.Load() > 0)
	go io.Copy(io.Discard, reader)
	assert.NilError(t, w.Close())
}
