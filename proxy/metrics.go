package proxy

import (
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"
)

// Counters of this process, served at /debug/vars.
var (
	requestsTotal  = expvar.NewInt("rosemaryline_answers_total")
	refusalsTotal  = expvar.NewMap("rosemaryline_refusals_total")
	queueMicros    = expvar.NewInt("rosemaryline_queue_microseconds_total")
	backendMicros  = expvar.NewInt("rosemaryline_backend_microseconds_total")
	overheadMicros = expvar.NewInt("rosemaryline_overhead_microseconds_total")
)

func countRefusal(r *Refusal) { refusalsTotal.Add(string(r.Reason), 1) }

func countTiming(t Timing, total time.Duration) {
	requestsTotal.Add(1)
	queueMicros.Add(t.Queue.Microseconds())
	backendMicros.Add(t.Backend.Microseconds())
	overheadMicros.Add((total - t.Queue - t.Backend).Microseconds())
}

// endingBody calls end once when the body is closed.
type endingBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}

// Summary tells in one line what this process served since its start.
func Summary() string {
	refused := int64(0)
	refusalsTotal.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			refused += n.Value()
		}
	})
	return fmt.Sprintf("%d requests answered, %d refused", requestsTotal.Value(), refused)
}
