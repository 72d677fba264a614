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
	// lines holds copies of the lines that wait for the output. log.AsyncWriter is not used: it reads an entry after it queued it,
	// while the next line may already reuse the entry.
	lines          chan []byte
	lineLimiter    *rate.Limiter
	warningLimiter *rate.Limiter
	dropped        atomic.Int64 // lines since the last report
	stop           chan struct{}
	// stopped is closed when reportDropped has returned.
	stopped chan struct{}
	// drain is closed when no more lines are expected.
	drain chan struct{}
	// written is closed when the queued lines are written after Close.
	written chan struct{}
	err     error // of the first failed write; valid after written is closed
}

func newLogWriter(output io.Writer) *logWriter {
	w := &logWriter{
		lineLimiter:    rate.NewLimiter(logLinesPerSecond, logBurst),
		warningLimiter: rate.NewLimiter(warningsPerSecond, warningBurst),
		stop:           make(chan struct{}),
		stopped:        make(chan struct{}),
		lines:          make(chan []byte, logQueueLines),
		drain:          make(chan struct{}),
		written:        make(chan struct{}),
	}
	go w.writeLines(output)
	go w.reportDropped()
	return w
}

// writeLines writes the queued lines. After Close it writes those that are left and returns. The queue is not closed, because
// other goroutines may still log.
func (w *logWriter) writeLines(output io.Writer) {
	defer close(w.written)
	write := func(line []byte) {
		if _, err := output.Write(line); err != nil && w.err == nil {
			w.err = err
		}
	}
	for {
		select {
		case line := <-w.lines:
			write(line)
			continue
		case <-w.drain:
		}
		for {
			select {
			case line := <-w.lines:
				write(line)
			default:
				return
			}
		}
	}
}

// WriteEntry implements log.Writer.
func (w *logWriter) WriteEntry(e *log.Entry) (int, error) {
	limiter := w.lineLimiter
	if e.Level >= log.WarnLevel {
		limiter = w.warningLimiter
	}
	if !limiter.Allow() {
		w.dropped.Add(1)
		return 0, nil
	}
	line := append([]byte(nil), e.Value()...)
	select {
	case w.lines <- line:
		return len(line), nil
	default:
		w.dropped.Add(1)
		return 0, nil
	}
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
	close(w.drain)
	<-w.written
	return w.err
}
