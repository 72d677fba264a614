package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Faults holds the faults that a stand-in injects. The zero value means a healthy backend server.
type Faults struct {
	// SlowFactor multiplies the service time. 0 and 1 mean no change.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// HangShare is the share of requests, 0 to 1, that never get a response.
	HangShare float64 `json:"hangShare,omitempty"`
	// ErrorShare is the share of requests, 0 to 1, that get status 500 immediately.
	ErrorShare float64 `json:"errorShare,omitempty"`
	// ShedShare is the share of requests, 0 to 1, that get status 503 immediately and do not run.
	ShedShare float64 `json:"shedShare,omitempty"`
	// CutShare is the share of responses, 0 to 1, whose connection is closed after half of the body.
	CutShare float64 `json:"cutShare,omitempty"`
	// Cold multiplies the service time by the square of the number of requests in progress, until ColdRequests requests
	// have ended.
	Cold bool `json:"cold,omitempty"`
	// Drain makes the stand-in announce that it is draining, that is, accepts no new requests.
	Drain bool `json:"drain,omitempty"`
}

// maxSlowFactor bounds Faults.SlowFactor, so that service times stay within the range of time.Duration.
const maxSlowFactor = 1e6

// Check returns an error if a value is out of its range.
func (f *Faults) Check() error {
	if f.SlowFactor < 0 || f.SlowFactor > maxSlowFactor {
		return errors.Errorf("slowFactor %v is not between 0 and %v", f.SlowFactor, maxSlowFactor)
	}
	for _, share := range []float64{f.HangShare, f.ErrorShare, f.ShedShare, f.CutShare} {
		if share < 0 || share > 1 {
			return errors.Errorf("share %v is not between 0 and 1", share)
		}
	}
	return nil
}

// ColdRequests is the number of requests after which a cold stand-in is warm.
const ColdRequests = 50

// serveFaults returns the faults for GET and replaces them for PUT.
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		writeJSON(w, s.Faults())
	case http.MethodPut:
		var faults Faults
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<10))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			http.Error(w, errors.Wrap(err, "faults").Error(), http.StatusBadRequest)
			return
		}
		if err := faults.Check(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
		writeJSON(w, faults)
	default:
		http.Error(w, "use GET or PUT", http.StatusMethodNotAllowed)
	}
}

// SetFaults replaces the faults. A change of Cold to true makes a warm stand-in cold again.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Cold && !s.faults.Cold {
		s.endedSinceCold = 0
	}
	s.faults = f
	s.announceSoon()
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// requestFaults holds the faults drawn for one request, and the delay before its response.
type requestFaults struct {
	hang, fail, cut, shed bool
	delay                 time.Duration
}

// drawFaults draws the faults of a request that takes serviceTime without faults. The caller holds mu.
func (s *Server) drawFaults(rnd *rand.Rand, serviceTime time.Duration) requestFaults {
	f := s.faults
	delay := float64(serviceTime)
	if f.SlowFactor > 0 {
		delay *= f.SlowFactor
	}
	if f.Cold && s.endedSinceCold < ColdRequests {
		delay *= float64(s.running * s.running)
	}
	return requestFaults{
		hang:  rnd.Float64() < f.HangShare,
		fail:  rnd.Float64() < f.ErrorShare,
		cut:   rnd.Float64() < f.CutShare,
		shed:  f.ShedShare > 0 && rnd.Float64() < f.ShedShare,
		delay: time.Duration(delay),
	}
}
