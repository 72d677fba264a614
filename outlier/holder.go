package outlier

import (
	"slices"
	"time"
)

// Holder requests, renews and releases the ejection permits of the backend servers of one gate. A permit is valid at
// its holder for PermitLifetime, counted from the time at which the granted request was sent.
type Holder struct {
	vm         string
	run        uint64
	lastNumber uint64
	wanted     map[string]*wantedPermit
	names      []string // sorted keys of wanted
	releases   []PermitRequest
}

// wantedPermit is the permit for one backend server that the gate wants to eject or has ejected.
type wantedPermit struct {
	service     string
	slots       int
	sentAt      map[uint64]time.Duration // send times of the requests without a reply, by number
	lastRequest time.Duration            // send time, or never
	validUntil  time.Duration            // end of the permit, or never
	refusal     PermitReason             // of the newest refusal since the last grant, or ""
}

// never marks a time that is not set. It is longer ago than any interval of this package, so that an interval measured
// from it has always passed.
const never = -time.Hour

// NewHolder returns a holder without permits for the gate of a VM. run must be higher than in every earlier run of the
// process, for example the wall clock in seconds at the start.
func NewHolder(vm string, run uint64) *Holder {
	return &Holder{vm: vm, run: run, wanted: make(map[string]*wantedPermit)}
}

// RequestPermit starts requesting the permit to eject a backend server, whose capacity is slots, and keeps the permit
// renewed until ReleasePermit.
func (h *Holder) RequestPermit(server, service string, slots int) {
	if h.wanted[server] != nil {
		return
	}
	i, _ := slices.BinarySearch(h.names, server)
	h.names = slices.Insert(h.names, i, server)
	h.wanted[server] = &wantedPermit{
		service:     service,
		slots:       slots,
		sentAt:      make(map[uint64]time.Duration),
		lastRequest: never,
		validUntil:  never,
	}
}

// ReleasePermit gives a permit back. The gate must have ended the ejection before.
func (h *Holder) ReleasePermit(server string) {
	w := h.wanted[server]
	if w == nil {
		return
	}
	delete(h.wanted, server)
	i, _ := slices.BinarySearch(h.names, server)
	h.names = slices.Delete(h.names, i, i+1)
	if w.lastRequest != never {
		r := h.request(server, w)
		r.Release = true
		h.releases = append(h.releases, r)
	}
}

// Holds reports whether the permit for a backend server is valid.
func (h *Holder) Holds(server string, now time.Duration) bool {
	w := h.wanted[server]
	return w != nil && now < w.validUntil
}

// RefusalReason returns the reason of the newest refusal since the last grant, or "" if there was none.
func (h *Holder) RefusalReason(server string) PermitReason {
	if w := h.wanted[server]; w != nil {
		return w.refusal
	}
	return ""
}

// Poll returns the requests to send now. Call it after each Ejector.Step.
func (h *Holder) Poll(now time.Duration) []PermitRequest {
	requests := h.releases
	h.releases = nil
	for _, server := range h.names {
		w := h.wanted[server]
		if !w.shouldRequest(now) {
			continue
		}
		r := h.request(server, w)
		w.sentAt[r.Number] = now
		w.lastRequest = now
		requests = append(requests, r)
	}
	return requests
}

// Receive handles a reply. A grant extends the permit, counted from the send time of its request. Replies that belong
// to another run, to a request from before the last ReleasePermit or to an unknown request are ignored.
func (h *Holder) Receive(now time.Duration, r PermitReply) {
	w := h.wanted[r.Server]
	if w == nil || r.VM != h.vm || r.Run != h.run {
		return
	}
	sent, ok := w.sentAt[r.Number]
	if !ok {
		return
	}
	delete(w.sentAt, r.Number)
	if !r.Granted {
		w.refusal = r.Reason
		return
	}
	w.refusal = ""
	w.validUntil = max(w.validUntil, sent+PermitLifetime)
}

func (w *wantedPermit) shouldRequest(now time.Duration) bool {
	for number, at := range w.sentAt {
		if now-at >= PermitLifetime {
			delete(w.sentAt, number)
		}
	}
	renewAt := w.validUntil - PermitLifetime + renewAfter
	return now-w.lastRequest >= requestInterval && now >= renewAt
}

func (h *Holder) request(server string, w *wantedPermit) PermitRequest {
	h.lastNumber++
	return PermitRequest{
		VM:      h.vm,
		Service: w.service,
		Server:  server,
		Slots:   w.slots,
		Run:     h.run,
		Number:  h.lastNumber,
	}
}
