package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// announcePath is the URL path below which the VM's process accepts announcements, each under the backend server's name.
	announcePath = "/v1/backend-servers/"
	// renewInterval is the time between two announcements, and the timeout of each.
	renewInterval = time.Second
)

// announcement is the body of an announcement, in the JSON format of package proxy.
type announcement struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Instance string `json:"instance"`
	Slots    int    `json:"slots"`
	Version  string `json:"version,omitempty"`
	Draining bool   `json:"draining,omitempty"`
}

// announce sends an announcement every renewInterval until the stand-in stops, and then withdraws it.
func (s *Server) announce() error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		// An error is ignored, because the process may be restarting. The next renewal retries.
		_ = s.send(http.MethodPut)
		select {
		case <-s.tomb.Dying():
			_ = s.send(http.MethodDelete)
			return nil
		case <-ticker.C:
		case <-s.announceNow:
		}
	}
}

// announceSoon makes announce send an announcement now instead of at the next renewal.
func (s *Server) announceSoon() {
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
}

// send sends the announcement with PUT, or withdraws it with DELETE. It does nothing without an announcement URL.
func (s *Server) send(method string) error {
	s.mu.Lock()
	target := s.opts.Announce
	draining := s.faults.Drain
	s.mu.Unlock()
	if target == "" {
		return nil
	}
	data, err := json.Marshal(announcement{
		Service:  s.opts.Service,
		Address:  s.Address(),
		Instance: s.instance,
		Slots:    s.opts.Slots,
		Version:  s.opts.Version,
		Draining: draining,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target+announcePath+s.opts.Name, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return errors.Errorf("announce: %s", resp.Status)
	}
	return nil
}
