package workload

import (
	"math"
	"time"
)

const (
	// SpeedHalfLife is the age at which the deviation from the nominal speed has half its weight. Gray failures last for
	// seconds, and a recovered server must count as such within seconds, also if it gets no requests.
	SpeedHalfLife = 4 * time.Second
	// speedWeight is the weight of one request in the estimate. With it, one request that takes 6 times as long as usual
	// shows about 0.6, and four that take 4 times as long show less than 0.4.
	speedWeight = 0.3
	// minSpeed and maxSpeed limit each observation and the estimate.
	minSpeed, maxSpeed = 1.0 / 16, 4.0
	// failureSpeed is the speed that a failed request shows, however fast it failed: its caller got nothing for its time.
	failureSpeed = 1.0 / 8
	// overdueFactor is the multiple of its usual time from which a running request shows that a server is slow. Half of
	// all requests take longer than the median, and the long ones run for longer.
	overdueFactor = 2
)

// Speed estimates how fast one backend server is: the usual time of its requests relative to the time that they took.
// It handles servers that become 4 to 12 times slower, or fail fast, for seconds, at one to twenty requests per second. It
// compares logarithms, so that a single expensive request does not look like a slow server.
type Speed struct {
	log float64 // base-2 logarithm of the speed at the time at
	at  time.Duration
}

// Record adds a request that took a time, of which typical is usual (the median cost).
func (s *Speed) Record(now, typical, took time.Duration) {
	if typical > 0 {
		s.add(now, ratio(typical, took))
	}
}

// RecordFailure adds a request that failed or that the backend server refused.
func (s *Speed) RecordFailure(now time.Duration) { s.add(now, failureSpeed) }

func (s *Speed) add(now time.Duration, speed float64) {
	s.decay(now)
	s.log += speedWeight * (math.Log2(speed) - s.log)
}

func (s *Speed) decay(now time.Duration) {
	if now > s.at {
		s.log *= math.Exp2(-float64(now-s.at) / float64(SpeedHalfLife))
		s.at = now
	}
}

// Estimate returns the speed: 1 is nominal, 0.25 is four times slower. running holds the requests that are not finished.
// They lower the estimate if they take much longer than usual, so that a server that hangs is noticed before its requests
// end.
func (s *Speed) Estimate(now time.Duration, running []Running) float64 {
	s.decay(now)
	log := s.log
	if len(running) > 0 {
		sum := 0.0
		for _, r := range running {
			if r.Typical > 0 {
				sum += min(math.Log2(ratio(overdueFactor*r.Typical, r.Elapsed)), 0)
			}
		}
		n := float64(len(running))
		log += n / (n + 1) * min(sum/n-log, 0)
	}
	return min(max(math.Exp2(log), minSpeed), maxSpeed)
}

// Reset forgets all observations.
func (s *Speed) Reset() { *s = Speed{} }

// Running is a request that holds a slot.
type Running struct {
	Elapsed time.Duration
	// Typical is the median cost of its route; 0 means unknown.
	Typical time.Duration
}

func ratio(typical, took time.Duration) float64 {
	return min(max(float64(typical)/float64(max(took, 1)), minSpeed), maxSpeed)
}
