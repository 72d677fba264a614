package proxy

import (
	"expvar"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rosemaryline.dev/outlier"
)

// Latency histograms in seconds and counters by outcome, served at /metrics.
var (
	answerSeconds  = metrics.NewHistogram("rosemaryline_answer_seconds")
	queueSeconds   = metrics.NewHistogram("rosemaryline_queue_seconds")
	backendSeconds = metrics.NewHistogram("rosemaryline_backend_seconds")
	pathSeconds    = metrics.NewHistogram("rosemaryline_path_seconds")
	// refusedByStop counts the requests that waited for a slot when the process began to stop.
	refusedByStop  = metrics.NewCounter("rosemaryline_waiting_refused_by_stop_total")
	retriesCounter = metrics.NewCounter("rosemaryline_retries_total")
	// reportsReceived counts messages with reports of gates, reportsNewer the reports in them that were newer than the known ones.
	reportsReceived = metrics.NewCounter("rosemaryline_gate_report_messages_total")
	reportsNewer    = metrics.NewCounter("rosemaryline_gate_reports_newer_total")
)

// Counters of this process, served at /debug/vars.
var (
	answeredTotal  = expvar.NewInt("rosemaryline_answers_total")
	refusalsTotal  = expvar.NewMap("rosemaryline_refusals_total")
	queueMicros    = expvar.NewInt("rosemaryline_queue_microseconds_total")
	backendMicros  = expvar.NewInt("rosemaryline_backend_microseconds_total")
	overheadMicros = expvar.NewInt("rosemaryline_overhead_microseconds_total")
)

func countRefusal(r *Refusal) {
	refusalsTotal.Add(string(r.Reason), 1)
	metrics.GetOrCreateCounter(fmt.Sprintf("rosemaryline_refusals_total{reason=%q,outcome=%q}", r.Reason, r.Outcome)).Inc()
}

// countResponse counts a response of a backend server that was passed on to a caller.
func countResponse(status int) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rosemaryline_answers_total{status=%q}", strconv.Itoa(status))).Inc()
}

// countSplitChoice counts the service that was chosen for a request on a route with a split. The choice precedes all waits
// and refusals, so its shares are those of the weights.
func countSplitChoice(route, service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rosemaryline_split_choices_total{route=%q,service=%q}", route, service)).Inc()
}

// countHealthChange counts a change in the health of a backend server.
func countHealthChange(service string, health outlier.Health) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rosemaryline_judgements_total{service=%q,health=%q}", service, health.String())).Inc()
}

func countTiming(t Timing, total time.Duration) {
	answeredTotal.Add(1)
	queueMicros.Add(t.Queue.Microseconds())
	backendMicros.Add(t.Backend.Microseconds())
	overheadMicros.Add((total - t.Queue - t.Backend).Microseconds())
	answerSeconds.Update(total.Seconds())
	queueSeconds.Update(t.Queue.Seconds())
	backendSeconds.Update(t.Backend.Seconds())
	pathSeconds.Update(max(total-t.Queue-t.Backend, 0).Seconds())
}

// closeHookBody calls onClose once when the body is closed.
type closeHookBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

func (b *closeHookBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}

// Summary returns a one-line summary of the requests that this process served since its start.
func Summary() string {
	refused := int64(0)
	refusalsTotal.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			refused += n.Value()
		}
	})
	return fmt.Sprintf("%d requests answered, %d refused", answeredTotal.Value(), refused)
}
