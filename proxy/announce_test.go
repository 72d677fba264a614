package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uptrace/bunrouter"
	"gotest.tools/v3/assert"
)

// Guards against announcements that are malformed, too large or have an address that is no IP address: each must be
// refused with a clear error.
func TestAnnouncementsAreChecked(t *testing.T) {
	m := newVM(t, "vm1", newFleetView(t, 4), nil)
	router := bunrouter.New()
	RegisterAnnouncements(router, gateAnnouncer{m.gate})
	valid := `{"service":"svc","address":"127.0.0.1:80","instance":"1"}`
	tests := []struct {
		desc, body, want string
		status           int
	}{
		{"valid", valid, "ttlMs", 200},
		{"unknown field", `{"service":"svc","x":1}`, "unknown field", 400},
		{"unknown service", strings.Replace(valid, "svc", "none", 1), "not in the configuration", 400},
		{"host name", strings.Replace(valid, "127.0.0.1", "example.org", 1), "address", 400},
		{"no port", strings.Replace(valid, ":80", ":0", 1), "no port", 400},
		{"no instance", strings.Replace(valid, `"1"`, `""`, 1), "instance", 400},
		{"slots out of range", strings.Replace(valid, `"1"`, `"1","slots":10001`, 1), "slots", 400},
		{"too large", `{"service":"` + strings.Repeat("x", maxAnnouncementBytes) + `"}`, "too large", 400},
		{"garbage", "\x00", "announcement", 400},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest("PUT", "/v1/backend-servers/b", strings.NewReader(test.body)))
			assert.Equal(t, w.Code, test.status)
			assert.Assert(t, strings.Contains(w.Body.String(), test.want), w.Body.String())
		})
	}
}

// gateAnnouncer is an Announcer that keeps departures in the gate only.
type gateAnnouncer struct{ gate *Gate }

func (a gateAnnouncer) Announce(_ context.Context, announcement Announcement) error {
	if err := a.gate.Announce(announcement, time.Now()); err != nil {
		return &AnnouncementError{err}
	}
	return nil
}

func (a gateAnnouncer) Withdraw(_ context.Context, name string) error {
	a.gate.Withdraw(name)
	return nil
}

// gateWithFakeClock returns a gate with a clock that the test controls.
func gateWithFakeClock(t *testing.T) (*Gate, *observer, *atomic.Int64) {
	now, o := &atomic.Int64{}, &observer{}
	clock := func() time.Duration { return time.Duration(now.Load()) }
	return NewGate(GateOptions{VM: "vm1", Domain: "d1", Fleet: NewFleet(newFleetView(t, 4)), Clock: clock, Log: discardLogger(), Claimer: &fakeClaimer{}, Observer: o}), o, now
}

// Guards against backend servers that still receive requests after their announcement expired, and against names that
// fill the table forever.
func TestAnnouncementExpires(t *testing.T) {
	gate, o, now := gateWithFakeClock(t)
	a := Announcement{Name: "b", Service: "svc", Address: "127.0.0.1:1", Instance: "1"}
	assert.NilError(t, gate.Announce(a, time.Now()))
	now.Store(int64(announcementTTL - 1))
	gate.Sweep()
	assert.Equal(t, gate.Summary()[0].Serving, 1)
	now.Store(int64(announcementTTL))
	gate.Sweep()
	assert.Equal(t, gate.Summary()[0].Lost, 1)
	_, err := gate.Run(t.Context(), newTestRequest(t, "once"))
	assert.Equal(t, asRefusal(err).Outcome, OutcomeNotRun)
	assert.NilError(t, gate.Announce(a, time.Now()))
	assert.Equal(t, gate.Summary()[0].Serving, 1)
	now.Store(int64(2 * announcementTTL))
	gate.Sweep()
	now.Store(int64(2*announcementTTL + lostRetention))
	gate.Sweep()
	assert.Equal(t, len(gate.Summary()), 0)
	assert.DeepEqual(t, o.removed, []string{"b"})
}

// Guards against a new instance that inherits the load or the slots of the previous one.
func TestNewInstance(t *testing.T) {
	gate, _, _ := gateWithFakeClock(t)
	announce := func(instance string, slots int) {
		a := Announcement{Name: "b", Service: "svc", Address: "127.0.0.1:1", Instance: instance, Slots: slots}
		assert.NilError(t, gate.Announce(a, time.Now()))
	}
	announce("1", 4)
	announce("2", 2)
	assert.Equal(t, gate.Summary()[0].Slots, 2)
	assert.Equal(t, gate.Load("svc").Slots, 2)
	assert.Equal(t, gate.Summary()[0].Serving, 1)
}

// Guards against a queued request that is sent to the address of an instance that was replaced in the meantime.
func TestQueuedRequestFollowsTheInstance(t *testing.T) {
	release := make(chan struct{})
	previous, next := newBackend(t, func(http.ResponseWriter, *http.Request) { <-release }), newBackend(t, nil)
	m := newSingleVM(t, newFleetView(t, 1), previous)
	ended := make(chan error, 2)
	for i := range 2 {
		go func() {
			resp, err := m.gate.Run(t.Context(), newTestRequest(t, "once"))
			if err == nil {
				resp.Body.Close()
			}
			ended <- err
		}()
		eventually(t, "the request settles", func() bool { l := m.gate.Load("svc"); return l.InFlight+l.Queued == i+1 })
	}
	eventually(t, "the first runs", func() bool { return previous.count() == 1 })
	m.announce(t, "b", addressOf(next.Server), "2")
	close(release)
	assert.NilError(t, <-ended)
	assert.NilError(t, <-ended)
	assert.Equal(t, previous.count(), 1)
	assert.Equal(t, next.count(), 1)
}
