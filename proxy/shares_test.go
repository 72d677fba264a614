package proxy

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/admission"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/shares"
)

// newSharesVM starts a process that holds a decision which refuses all requests.
func newSharesVM(t *testing.T, setting string, b *backend) (*testVM, *Shares) {
	m, s := newAdmittingSharesVM(t, setting, 4, b)
	s.refused("svc", Reason(admission.ReasonFull))
	s.Receive(s.clock(), []shares.Decision{{Service: "svc", Sequence: 1, Short: true, Ranks: []shares.Rank{{Share: 0}}, RetryAfterMs: 4000}})
	return m, s
}

// newAdmittingSharesVM starts a process without a decision.
func newAdmittingSharesVM(t *testing.T, setting string, slots int, b *backend) (*testVM, *Shares) {
	v := newFleetView(t, slots)
	var service config.Service
	v.View(func(s *state.State) { service = s.Config().Services["svc"] })
	if service.Shares = setting; setting != "" {
		change := config.Change{Services: config.Entries[config.Service]{Set: map[string]config.Service{"svc": service}}}
		v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	}
	s := NewShares("vm1", 1, NewClock(), NewFleet(v))
	return newSingleVM(t, v, b, func(o *EntryOptions) { o.Shares = s }), s
}

// Guards against a share that refuses requests of a service that is not selected, calls of running requests, or requests whose
// idempotency key may be known, and against a refusal without outcome, reason or delay.
func TestShareRefusesOnlyNewRequests(t *testing.T) {
	const minSeconds, maxSeconds = "1", "10"
	for _, test := range []struct {
		desc, setting string
		nested        bool
		header        []string
		status        int
	}{
		{desc: "new request", setting: config.SharesFleet, status: http.StatusServiceUnavailable},
		{desc: "not selected", status: http.StatusOK},
		{desc: "idempotency key", setting: config.SharesFleet, header: []string{HeaderIdempotencyKey, "k"}, status: http.StatusOK},
		{desc: "nested call", setting: config.SharesFleet, nested: true, status: http.StatusOK},
	} {
		t.Run(test.desc, func(t *testing.T) {
			var m *testVM
			var nestedStatus int
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if test.nested && r.URL.Path == "/once" {
					resp, _, _ := sendRequest(t, m.local, "GET", "/internal", nil, HeaderRequestID, r.Header.Get(HeaderRequestID))
					nestedStatus = resp.StatusCode
				}
			})
			m, s := newSharesVM(t, test.setting, b)
			header := test.header
			if test.nested {
				header = []string{HeaderIdempotencyKey, "parent"}
			}
			resp, body, err := sendRequest(t, m.caller, "GET", "/once", nil, header...)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, test.status, body)
			if test.nested {
				assert.Equal(t, nestedStatus, http.StatusOK)
			}
			reports := s.TakeReports([]string{"svc"})
			if test.status == http.StatusOK {
				assert.Assert(t, len(reports) == 0 || reports[0].CallsMs > 0 && len(reports[0].Demand) == 0)
				return
			}
			assert.Equal(t, b.count(), 0)
			assert.Equal(t, resp.Header.Get(HeaderOutcome), string(OutcomeNotRun))
			assert.Assert(t, strings.Contains(body, `"reason":"share"`) && titles[ReasonShare] != "", body)
			after := resp.Header.Get("Retry-After")
			assert.Assert(t, after >= minSeconds && after <= "9" || after == maxSeconds, after)
			assert.Equal(t, reports[0].Demand[0].Team, "red")
			assert.Equal(t, reports[0].Demand[0].WorkMs, unknownSlotTime.Milliseconds())
			share, limited := m.entry.Share("svc", "once", "red")
			assert.Assert(t, limited && share == 0)
		})
	}
}

// Guards against reports about services without pressure, against a report that is late after the pressure began, and against
// one that does not end.
func TestReportsOnlyUnderPressure(t *testing.T) {
	m, _ := newSharesVM(t, config.SharesFleet, newBackend(t, nil))
	now := time.Hour
	s := NewShares("vm1", 1, func() time.Duration { return now }, m.fleet)
	assert.Equal(t, len(s.Sample(m.gate)), 0)
	s.refused("svc", ReasonSuspect)
	assert.Equal(t, len(s.Sample(m.gate)), 0)
	s.refused("svc", ReasonQueueFull)
	assert.DeepEqual(t, s.Sample(m.gate), []string{"svc"})
	reports := s.TakeReports([]string{"svc"})
	assert.Equal(t, reports[0].Slots, 4.0)
	now += reportInterval - 1
	assert.Equal(t, len(s.Sample(m.gate)), 0)
	now++
	assert.Equal(t, len(s.Sample(m.gate)), 1)
	now += pressureTime
	assert.Equal(t, len(s.Sample(m.gate)), 0)
}

// Guards against an entry that reports nothing although its requests wait for slots at a gate that refuses none: a team that enters
// only there has no share.
func TestWaitingRequestsAreReported(t *testing.T) {
	var m *testVM
	var holdsSlot atomic.Bool
	b := newBackend(t, func(http.ResponseWriter, *http.Request) {
		if !holdsSlot.CompareAndSwap(true, false) {
			return
		}
		for m.gate.Load("svc").Queued == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(pressureWait)
	})
	m, s := newAdmittingSharesVM(t, config.SharesFleet, 1, b)
	due := func(requests int) []string {
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() {
				resp, body, err := sendRequest(t, m.caller, "GET", "/once", nil)
				assert.Check(t, err)
				assert.Check(t, resp.StatusCode == http.StatusOK, body)
			})
		}
		wg.Wait()
		return s.Sample(m.gate)
	}
	assert.Equal(t, len(due(1)), 0)
	holdsSlot.Store(true)
	assert.DeepEqual(t, due(2), []string{"svc"})
}
