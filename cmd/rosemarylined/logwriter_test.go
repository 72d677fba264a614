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

// TestLogVolumeIsBounded guards against a flood of lines that uses up the processor time, against warnings dropped
// because of the flood, and against dropped lines that are not counted.
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
	// On a slow machine some dropped lines were reported already, which reset the counter.
	dropped := w.dropped.Load()
	for _, report := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(output.String(), -1) {
		n, err := strconv.ParseInt(report[1], 10, 64)
		assert.NilError(t, err)
		dropped += n
	}
	assert.Equal(t, int(dropped)+written, flood)
}

// TestStalledLogReaderBlocksNobody guards against requests that block on logging while nobody reads the output.
func TestStalledLogReaderBlocksNobody(t *testing.T) {
	reader, output := io.Pipe()
	w := newLogWriter(output)
	logger := &log.Logger{Level: log.InfoLevel, Writer: w}
	w.lineLimiter.SetLimit(1e9)
	w.lineLimiter.SetBurst(1e9)
	done := make(chan struct{})
	go func() {
		for range 4 * logQueueLines {
			logger.Info().Msg("decision")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("logging blocked on the stalled reader")
	}
	assert.Assert(t, w.dropped.Load() > 0)
	go io.Copy(io.Discard, reader)
	assert.NilError(t, w.Close())
}
