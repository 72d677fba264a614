package main

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// logLinesPerSecond and logBurst limit the lines below level warn, because each line costs processor time. A
	// process of the usual size writes about 50 lines a second.
	logLinesPerSecond = 400
	logBurst          = 1200
	// warningsPerSecond and warningBurst limit warnings and errors separately, so that a flood of lower-level lines does
	// not use up their limit.
	warningsPerSecond = 50
	warningBurst      = 200
	// logQueueLines is the number of lines that may wait for a slow output; further lines are dropped.
	logQueueLines = 2048
	// dropReportInterval is the time between two log lines that report the number of dropped lines.
	dropReportInterval = time.Second
)

// logWriter is a log.Writer that never blocks a request: it drops and counts the lines above its limits and those that
// find the queue full because the output is slow.
type logWriter struct {
	async          *log.AsyncWriter
	lineLimiter    *rate.Limiter
	warningLimiter *rate.Limiter
	dropped        atomic.Int64 // lines since the last report
	queued         atomic.Int64 // lines that wait for the output
	stop           chan struct{}
	// stopped is closed when reportDropped has returned.
	stopped chan struct{}
}

func newLogWriter(output io.Writer) *logWriter {
	w := &logWriter{
		lineLimiter:    rate.NewLimiter(logLinesPerSecond, logBurst),
		warningLimiter: rate.NewLimiter(warningsPerSecond, warningBurst),
		stop:           make(chan struct{}),
		stopped:        make(chan struct{}),
	}
	// WriteEntry limits the queue itself, because AsyncWriter does not report the lines that it discards.
	w.async = &log.AsyncWriter{Writer: &countingWriter{output: output, queued: &w.queued}, ChannelSize: logQueueLines + 1, DiscardOnFull: true}
	go w.reportDropped()
	return w
}

// countingWriter writes lines to output and decrements queued for each.
type countingWriter struct {
	output io.Writer
	queued *atomic.Int64
}

// WriteEntry implements log.Writer.
func (w *countingWriter) WriteEntry(e *log.Entry) (int, error) {
	w.queued.Add(-1)
	return w.output.Write(e.Value())
}

// WriteEntry implements log.Writer.
func (w *logWriter) WriteEntry(e *log.Entry) (int, error) {
	limiter := w.lineLimiter
	if e.Level >= log.WarnLevel {
		limiter = w.warningLimiter
	}
	if !limiter.Allow() || w.queued.Load() >= logQueueLines {
		w.dropped.Add(1)
		return 0, nil
	}
	w.queued.Add(1)
	return w.async.WriteEntry(e)
}

// reportDropped logs the number of dropped lines every dropReportInterval until the writer is closed.
func (w *logWriter) reportDropped() {
	defer close(w.stopped)
	logger := &log.Logger{Level: log.InfoLevel, Writer: w}
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		if n := w.dropped.Swap(0); n > 0 {
			logger.Warn().Int64("lines", n).Msg("log: left lines out.")
		}
	}
}

// Close stops the reports and writes the queued lines.
func (w *logWriter) Close() error {
	close(w.stop)
	<-w.stopped
	return w.async.Close()
}
