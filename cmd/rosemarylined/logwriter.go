package main

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// logLinesPerSecond and logBurst bound the lines below warnings: a process of the usual size writes some 50 a second,
	// and lines cost processor time.
	logLinesPerSecond = 400
	logBurst          = 1200
	// warningsPerSecond and warningBurst bound warnings and errors by themselves, so that a flood of decisions does not
	// push them out.
	warningsPerSecond = 50
	warningBurst      = 200
	// logQueue is the number of lines that wait for a slow reader of the output; more are left out.
	logQueue = 2048
	// leftOutInterval is the time between two lines that tell how many were left out.
	leftOutInterval = time.Second
)

// logWriter writes lines without ever blocking a request: lines above its bounds, and lines for which a stalled reader
// leaves no room, are left out and counted.
type logWriter struct {
	async    *log.AsyncWriter
	lines    *rate.Limiter
	warnings *rate.Limiter
	leftOut  atomic.Int64
	queued   atomic.Int64
	stop     chan struct{}
	// stopped is closed when no further report of left out lines comes.
	stopped chan struct{}
}

func newLogWriter(output io.Writer) *logWriter {
	w := &logWriter{
		lines:    rate.NewLimiter(logLinesPerSecond, logBurst),
		warnings: rate.NewLimiter(warningsPerSecond, warningBurst),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	// The queue is bounded here, because the writer does not tell what it discards.
	w.async = &log.AsyncWriter{Writer: &countingWriter{output: output, queued: &w.queued}, ChannelSize: logQueue + 1, DiscardOnFull: true}
	go w.reportLeftOut()
	return w
}

// countingWriter counts the lines down that were written.
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
	limiter := w.lines
	if e.Level >= log.WarnLevel {
		limiter = w.warnings
	}
	if !limiter.Allow() || w.queued.Load() >= logQueue {
		w.leftOut.Add(1)
		return 0, nil
	}
	w.queued.Add(1)
	return w.async.WriteEntry(e)
}

// reportLeftOut writes a line for the lines that were left out.
func (w *logWriter) reportLeftOut() {
	defer close(w.stopped)
	logger := &log.Logger{Level: log.InfoLevel, Writer: w}
	ticker := time.NewTicker(leftOutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		if n := w.leftOut.Swap(0); n > 0 {
			logger.Warn().Int64("lines", n).Msg("log: left lines out.")
		}
	}
}

// Close writes the lines that wait.
func (w *logWriter) Close() error {
	close(w.stop)
	<-w.stopped
	return w.async.Close()
}
