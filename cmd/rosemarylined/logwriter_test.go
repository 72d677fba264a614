package main

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// Guards against a flood of lines that costs all processor time, against warnings that are lost in it, and against lines that
// are left out without being counted.
func TestLogVolumeIsBounded(t *testing.T) {
	const flood = 100_000
	var output bytes.Buffer
	began := time.Now()
	w := newLogWriter(&output)
	logger := &log.Logger{Level: log.InfoLevel, Writer: w}
	for range flood {
		logger.Info().Msg("decision")
	}
	logger.Warn().Msg("lost dependency")
	allowed := logBurst + int(time.Since(began).Seconds()*logLinesPerSecond) + 1
	assert.NilError(t, w.Close())
	written := strings.Count(output.String(), "decision")
	assert.Assert(t, written >= logBurst && written <= allowed, "%d lines written, %d allowed", written, allowed)
	assert.Equal(t, strings.Count(output.String(), "lost dependency"), 1)
	// On a slow machine a part was reported and the count began anew.
	leftOut := w.leftOut.Load()
	for _, report := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(output.String(), -1) {
		n, err := strconv.ParseInt(report[1], 10, 64)
		assert.NilError(t, err)
		leftOut += n
	}
	assert.Equal(t, int(leftOut)+written, flood)
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
