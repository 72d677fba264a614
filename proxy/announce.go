package proxy

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"
)

const (
	// announcementTTL is how long an announcement holds without a renewal by default.
	announcementTTL = 3 * time.Second
	// lostRetention is how long a lost backend server counts as capacity that is out. It is then forgotten, so that names
	// that never return do not fill the table.
	lostRetention = 10 * time.Minute
	// maxAnnouncementBytes bounds one announcement.
	maxAnnouncementBytes = 8 << 10
	// maxBackendServers bounds the backend servers on one VM.
	maxBackendServers = 1024
	// maxSlots bounds the slots that one backend server may announce.
	maxSlots = 10_000
)

// Announcement is what a backend server tells the process on its VM. It is renewed before it lapses.
type Announcement struct {
	// Name is unique on the VM; it is the last part of the announcement's path.
	Name    string `json:"-"`
	Service string `json:"service"`
	// Address is an IP number and a port.
	Address string `json:"address"`
	// Instance changes at each start of the backend server.
	Instance string `json:"instance"`
	// Slots is the number of requests that the backend server can run at once. 0 means the service's setting.
	Slots int `json:"slots,omitempty"`
	// Draining is true while the backend server wants no new work.
	Draining bool `json:"draining,omitempty"`
	// ColdMs is the time in milliseconds for which the backend server stays cold; 0 means that it is warm.
	ColdMs int64 `json:"coldMs,omitempty"`
	// StartedMs is the Unix time in milliseconds at which the instance started. Announcements of an earlier instance are
	// out of date. 0 means that the backend server does not tell.
	StartedMs int64 `json:"startedMs,omitempty"`
	// Sequence grows with each announcement of an instance, so that one that was overtaken is known. 0 means that the
	// backend server does not count.
	Sequence uint64 `json:"sequence,omitempty"`
}

// outdated tells whether the announcement came from an earlier instance than the other one, or earlier from the same
// instance.
func (a *Announcement) outdated(by *Announcement) bool {
	if a.StartedMs != by.StartedMs {
		return a.StartedMs != 0 && a.StartedMs < by.StartedMs
	}
	return a.Instance == by.Instance && a.Sequence != 0 && a.Sequence < by.Sequence
}

// sameInstance tells whether two announcements come from one start of a backend server.
func (a *Announcement) sameInstance(other *Announcement) bool {
	return a.Instance == other.Instance && a.StartedMs == other.StartedMs
}

func (a *Announcement) check() error {
	if a.Name == "" || a.Service == "" || a.Instance == "" {
		return errors.New("name, service and instance are needed")
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	if address.Port() == 0 {
		return errors.Errorf("address %s has no port", a.Address)
	}
	if a.Slots < 0 || a.Slots > maxSlots {
		return errors.Errorf("slots %d are not between 0 and %d", a.Slots, maxSlots)
	}
	return nil
}

// Announcer accepts announcements.
type Announcer interface {
	Announce(a Announcement, now time.Time) error
	Withdraw(name string)
}

type announcementReply struct {
	// TTLMs is the time in milliseconds within which the announcement must be renewed.
	TTLMs int64 `json:"ttlMs"`
}

// RegisterAnnouncements adds the announcement paths to the router of the local listener.
func RegisterAnnouncements(router *bunrouter.Router, to Announcer) {
	const path = "/v1/backend-servers/:name"
	router.PUT(path, func(w http.ResponseWriter, r bunrouter.Request) error {
		a, err := readAnnouncement(w, r)
		if err == nil {
			err = to.Announce(a, time.Now())
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil
		}
		return bunrouter.JSON(w, announcementReply{TTLMs: announcementTTL.Milliseconds()})
	})
	router.DELETE(path, func(w http.ResponseWriter, r bunrouter.Request) error {
		to.Withdraw(r.Param("name"))
		w.WriteHeader(http.StatusNoContent)
		return nil
	})
}

func readAnnouncement(w http.ResponseWriter, r bunrouter.Request) (Announcement, error) {
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return a, errors.Wrap(err, "announcement")
	}
	a.Name = r.Param("name")
	return a, a.check()
}
