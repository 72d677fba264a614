package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Faults are the switches of a stand-in. The zero value is a healthy backend server.
type Faults struct {
	// SlowFactor multiplies the service time. 0 and 1 mean no change.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// HangShare is the share of requests, 0 to 1, that are never answered.
	HangShare float64 `json:"hangShare,omitempty"`
	// ErrorShare is the share of requests, 0 to 1, that are answered at once with status 500.
	ErrorShare float64 `json:"errorShare,omitempty"`
	// CutShare is the share of answers, 0 to 1, whose body breaks off half-way.
	CutShare float64 `json:"cutShare,omitempty"`
	// Cold makes the service time grow with the square of the requests that run at once, until ColdRequests requests
	// have been answered.
	Cold bool `json:"cold,omitempty"`
	// Drain announces that the backend server takes no new work.
	Drain bool `json:"drain,omitempty"`
}

// maxSlowFactor bounds SlowFactor, so that service times stay within the range of a duration.
const maxSlowFactor = 1e6

func (f *Faults) check() error {
	if f.SlowFactor < 0 || f.SlowFactor > maxSlowFactor {
		return errors.Errorf("slowFactor %v is not between 0 and %v", f.SlowFactor, maxSlowFactor)
	}
	for _, share := range []float64{f.HangShare, f.ErrorShare, f.CutShare} {
		if share < 0 || share > 1 {
			return errors.Errorf("share %v is not between 0 and 1", share)
		}
	}
	return nil
}

// ColdRequests is the number of answers after which a cold stand-in is warm.
const ColdRequests = 50

// serveFaults reads and replaces the switches.
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
		if err := faults.check(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
		writeJSON(w, faults)
	default:
		http.Error(w, "use GET or PUT", http.StatusMethodNotAllowed)
	}
}

// SetFaults replaces the switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Cold && !s.faults.Cold {
		s.warmth = 0
	}
	s.faults = f
	s.announceSoon()
}

// Faults returns the switches.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// fate is what the switches decide for one request.
type fate struct {
	hang, fail, cut bool
	wait            time.Duration
}

// decide draws what happens to a request that takes serviceTime without faults. The caller holds mu.
func (s *Server) decide(rnd *rand.Rand, serviceTime time.Duration) fate {
	f := s.faults
	wait := float64(serviceTime)
	if f.SlowFactor > 0 {
		wait *= f.SlowFactor
	}
	if f.Cold && s.warmth < ColdRequests {
		wait *= float64(s.running * s.running)
	}
	return fate{
		hang: rnd.Float64() < f.HangShare,
		fail: rnd.Float64() < f.ErrorShare,
		cut:  rnd.Float64() < f.CutShare,
		wait: time.Duration(wait),
	}
}
