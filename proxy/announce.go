package proxy

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"
)

const (
	// announcementTTL is the default time for which an announcement is valid without a renewal.
	announcementTTL = 3 * time.Second
	// lostRetention is how long a lost backend server counts as lost capacity. It is removed afterwards, so that names
	// that never return do not fill the table.
	lostRetention = 10 * time.Minute
	// maxAnnouncementBytes limits the size of one announcement.
	maxAnnouncementBytes = 8 << 10
	// maxBackendServers limits the number of backend servers on one VM.
	maxBackendServers = 1024
	// maxColdTime limits the time for which a backend server remains cold, so that it does not overflow.
	maxColdTime = 24 * time.Hour
	// maxSlots limits the slots that one backend server may announce.
	maxSlots = 10_000
)

// Announcement registers a backend server with the process on its VM. The backend server must renew it before it
// expires.
type Announcement struct {
	// Name is unique on the VM. It is the last segment of the URL path of the announcement.
	Name    string `json:"-"`
	Service string `json:"service"`
	// Address is an IP address and a port.
	Address string `json:"address"`
	// Instance changes at each start of the backend server.
	Instance string `json:"instance"`
	// Slots is the number of requests that the backend server can process at once. 0 means the setting of the service.
	Slots int `json:"slots,omitempty"`
	// Version is the version of the backend server's software. It takes part in rollouts; empty where none is known.
	Version string `json:"version,omitempty"`
	// Draining is true while the backend server wants no new requests.
	Draining bool `json:"draining,omitempty"`
	// ColdMs is the time in milliseconds for which the backend server remains cold. 0 means that it is warm.
	ColdMs int64 `json:"coldMs,omitempty"`
	// StartedMs is the Unix time in milliseconds at which the instance started. It identifies announcements of earlier
	// instances, which are ignored. 0 means that the backend server does not report it.
	StartedMs int64 `json:"startedMs,omitempty"`
	// Sequence increases with each announcement of an instance. It identifies announcements that arrive out of order. 0
	// means that the backend server does not number its announcements.
	Sequence uint64 `json:"sequence,omitempty"`
}

// supersededBy reports whether other is newer than a: it comes from a later instance, or was sent later by the same
// instance.
func (a *Announcement) supersededBy(other *Announcement) bool {
	if a.StartedMs != other.StartedMs {
		return a.StartedMs != 0 && a.StartedMs < other.StartedMs
	}
	return a.Instance == other.Instance && a.Sequence != 0 && a.Sequence < other.Sequence
}

// sameInstance reports whether two announcements come from the same start of a backend server.
func (a *Announcement) sameInstance(other *Announcement) bool {
	return a.Instance == other.Instance && a.StartedMs == other.StartedMs
}

// coldTime returns the time for which the backend server remains cold.
func (a *Announcement) coldTime() time.Duration {
	return time.Duration(min(max(a.ColdMs, 0), maxColdTime.Milliseconds())) * time.Millisecond
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

// Announcer accepts announcements. An acknowledged departure holds across a restart of the process.
type Announcer interface {
	// Announce returns an *AnnouncementError if the announcement is not valid. With any other error a departure is not
	// recorded yet.
	Announce(ctx context.Context, a Announcement) error
	Withdraw(ctx context.Context, name string) error
}

// AnnouncementError reports an announcement that is not valid.
type AnnouncementError struct{ Err error }

func (e *AnnouncementError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *AnnouncementError) Unwrap() error { return e.Err }

type announcementReply struct {
	// TTLMs is the time in milliseconds within which the announcement must be renewed.
	TTLMs int64 `json:"ttlMs"`
}

// RegisterAnnouncements adds the routes for announcements to the router of the local listener.
func RegisterAnnouncements(router *bunrouter.Router, announcer Announcer) {
	const path = "/v1/backend-servers/:name"
	router.PUT(path, func(w http.ResponseWriter, r bunrouter.Request) error {
		a, err := readAnnouncement(w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil
		}
		if err := announcer.Announce(r.Context(), a); err != nil {
			http.Error(w, err.Error(), announcementStatus(err))
			return nil
		}
		return bunrouter.JSON(w, announcementReply{TTLMs: announcementTTL.Milliseconds()})
	})
	router.DELETE(path, func(w http.ResponseWriter, r bunrouter.Request) error {
		if err := announcer.Withdraw(r.Context(), r.Param("name")); err != nil {
			http.Error(w, err.Error(), announcementStatus(err))
			return nil
		}
		w.WriteHeader(http.StatusNoContent)
		return nil
	})
}

func announcementStatus(err error) int {
	var invalid *AnnouncementError
	if errors.As(err, &invalid) {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
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
