package proxy

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/proxy/bytebudget"
)

var slotsFreedAtDeadline = metrics.NewCounter("rosemaryline_slots_freed_at_deadline_total")

// streamSlot is the slot of a request whose response is passed on. It is released with the end of the response, or by free while the
// response goes on.
type streamSlot struct {
	request string // its ID
	held    *slot
	latency time.Duration
	result  admission.Result // as the status of the response tells it

	mu           sync.Mutex // guards the fields below, and is taken before that of the server
	freed, ended bool
}

// free releases the slot before the end of the response. It returns false where the backend server has no connection to spare: the
// response keeps its own, and a request with the slot would wait for one. The slot is then free at the end of the response, of which
// more is read ahead.
func (s *streamSlot) free() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freed || s.ended {
		return true
	}
	if !s.held.server.spareConnection() {
		return false
	}
	s.freed = true
	slotsFreedAtDeadline.Inc()
	server := s.held.server
	server.log.Info().Str("request", s.request).Str("server", server.name).Str("service", server.service).
		Msg("gate: freed the slot of a response that its caller reads slowly.")
	s.held.release(s.latency, s.result)
	return true
}

// spareConnection reserves a connection for a response without a slot, so that there is still one for each slot.
func (s *server) spareConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots+s.unslotted >= s.client.maxConns {
		return false
	}
	s.unslotted++
	return true
}

// end releases the slot at the end of the response. Where it is free already, only the circuit breaker learns of a response that the
// backend server broke off.
func (s *streamSlot) end(result admission.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if !s.freed {
		s.held.release(s.latency, result)
		return
	}
	server := s.held.server
	server.mu.Lock()
	defer server.mu.Unlock()
	server.unslotted--
	if result == admission.Failed && s.result != admission.Failed {
		server.observe(s.held.sentAt, true, "failed")
	}
}

// freeSlotAt sets the deadline of the request, after which free is called as soon as the backend server has waited for the reader for
// readAheadDelay in total. Until then it may send up to maxReadAhead more than was read. A slot whose backend server is the slower one is
// kept, because it is still working. Where free returns false it is called again later. It must be called before the first read.
func (b *readAheadBody) freeSlotAt(deadline time.Time, free func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free = free
	b.overdueTimer = time.AfterFunc(time.Until(deadline), b.passDeadline)
}

// passDeadline begins to read ahead also of a reader without pauses: one that is slower than the backend server would otherwise hold
// the slot as long as it likes.
func (b *readAheadBody) passDeadline() {
	b.start()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.overdue = true
	b.changed.Broadcast()
}

// awaitReader waits until the reader has read something. The caller holds mu.
func (b *readAheadBody) awaitReader() {
	if !b.overdue || b.free == nil {
		b.changed.Wait()
		return
	}
	began := time.Now()
	timer := time.AfterFunc(readAheadDelay-b.waited, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.changed.Broadcast()
	})
	b.changed.Wait()
	timer.Stop()
	b.waited += time.Since(began)
	if b.waited >= readAheadDelay && !b.closed {
		b.waited = 0
		if b.free() {
			b.free = nil
		} else {
			b.rest = true
		}
	}
}

// reserveRest takes n bytes beyond maxReadAhead. The caller holds mu and that of the budget.
func (b *readAheadBody) reserveRest(account *bytebudget.Budget, n int64) bool {
	return b.rest && account.ReserveRest(n, b.charge.n)
}
