package outlier

import (
	"slices"
	"time"
)

// Holder holds the permits of one gate. A permit is in force from a grant until PermitLifetime after the request that
// was granted.
type Holder struct {
	vm      string
	run     uint64
	number  uint64
	wants   map[string]*want
	names   []string // sorted keys of wants
	release []PermitRequest
}

// want is a server that the gate wants to eject or has ejected.
type want struct {
	service string
	slots   int
	asked   map[uint64]time.Duration // send times of requests without a reply, since the last Drop
	askedAt time.Duration
	until   time.Duration // end of the permit
	refused PermitReason
}

const never = -time.Hour

// NewHolder returns a holder without permits. run must be higher than in any former run of the process, for example
// the wall clock's seconds at its start.
func NewHolder(vm string, run uint64) *Holder {
	return &Holder{vm: vm, run: run, wants: make(map[string]*want)}
}

// Want asks for a permit and keeps it renewed until Drop.
func (h *Holder) Want(server, service string, slots int) {
	if h.wants[server] != nil {
		return
	}
	i, _ := slices.BinarySearch(h.names, server)
	h.names = slices.Insert(h.names, i, server)
	h.wants[server] = &want{
		service: service,
		slots:   slots,
		asked:   make(map[uint64]time.Duration),
		askedAt: never,
		until:   never,
	}
}

// Drop gives a permit back. The gate must have ended the ejection before.
func (h *Holder) Drop(server string) {
	w := h.wants[server]
	if w == nil {
		return
	}
	delete(h.wants, server)
	i, _ := slices.BinarySearch(h.names, server)
	h.names = slices.Delete(h.names, i, i+1)
	if w.askedAt != never {
		r := h.request(server, w)
		r.Release = true
		h.release = append(h.release, r)
	}
}

// Holds tells whether the permit for a server is in force.
func (h *Holder) Holds(server string, now time.Duration) bool {
	w := h.wants[server]
	return w != nil && now < w.until
}

// Refused returns the reason of the newest refusal since the last grant, or "".
func (h *Holder) Refused(server string) PermitReason {
	if w := h.wants[server]; w != nil {
		return w.refused
	}
	return ""
}

// Poll returns the requests to send now. Call it each time that the gate evaluates its servers.
func (h *Holder) Poll(now time.Duration) []PermitRequest {
	requests := h.release
	h.release = nil
	for _, server := range h.names {
		w := h.wants[server]
		if !w.shouldAsk(now) {
			continue
		}
		r := h.request(server, w)
		w.asked[r.Number] = now
		w.askedAt = now
		requests = append(requests, r)
	}
	return requests
}

// Receive handles a reply. It extends the permit from the time of the request that the reply belongs to; replies to
// other runs, to requests before the last Drop and to unknown requests are ignored.
func (h *Holder) Receive(now time.Duration, r PermitReply) {
	w := h.wants[r.Server]
	if w == nil || r.VM != h.vm || r.Run != h.run {
		return
	}
	asked, ok := w.asked[r.Number]
	if !ok {
		return
	}
	delete(w.asked, r.Number)
	if !r.Granted {
		w.refused = r.Reason
		return
	}
	w.refused = ""
	w.until = max(w.until, asked+PermitLifetime)
}

func (w *want) shouldAsk(now time.Duration) bool {
	for number, at := range w.asked {
		if now-at >= PermitLifetime {
			delete(w.asked, number)
		}
	}
	renewAt := w.until - PermitLifetime + renewAfter
	return now-w.askedAt >= askInterval && now >= renewAt
}

func (h *Holder) request(server string, w *want) PermitRequest {
	h.number++
	return PermitRequest{
		VM:      h.vm,
		Service: w.service,
		Server:  server,
		Slots:   w.slots,
		Run:     h.run,
		Number:  h.number,
	}
}
