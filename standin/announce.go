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
	// announcePath is where the VM's process accepts announcements.
	announcePath = "/v1/backend-servers/"
	// renewInterval is the time between two announcements.
	renewInterval = time.Second
)

type announcement struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Instance string `json:"instance"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining,omitempty"`
}

// announce renews the announcement until the stand-in stops, and withdraws it then.
func (s *Server) announce() error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		// The process may be restarting; the next renewal tries again.
		_ = s.send(http.MethodPut)
		select {
		case <-s.tomb.Dying():
			_ = s.send(http.MethodDelete)
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
	}
}

func (s *Server) announceSoon() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

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
