package standin

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Work varies the service time from request to request. The factor of a request is drawn from its URI, so that a request
// takes the same work at each stand-in and in each run. Requests with the same URI take the same work.
type Work struct {
	// Spread is the standard deviation of the service time relative to its mean, with a log-normal distribution. 0 means
	// that all requests take the same time.
	Spread float64
	// LongShare is the share of requests, 0 to 1, that take LongFactor times as long.
	LongShare, LongFactor float64
}

const (
	// maxSpread bounds Work.Spread. Customers' work has 0.3 to 0.8.
	maxSpread = 10
	// maxLongFactor bounds Work.LongFactor. Customers' work has 5 to 7.
	maxLongFactor = 1000
)

// Check returns an error if a value is out of its range.
func (w Work) Check() error {
	switch {
	case !(w.Spread >= 0 && w.Spread <= maxSpread):
		return errors.Errorf("spread %v is not between 0 and %v", w.Spread, maxSpread)
	case !(w.LongShare >= 0 && w.LongShare <= 1):
		return errors.Errorf("longShare %v is not between 0 and 1", w.LongShare)
	case !(w.LongFactor >= 0 && w.LongFactor <= maxLongFactor):
		return errors.Errorf("longFactor %v is not between 0 and %v", w.LongFactor, maxLongFactor)
	}
	return nil
}

// Of returns the service time of the request with a URI, where mean is that of requests that are not long.
func (w Work) Of(uri string, mean time.Duration) time.Duration {
	if w.Spread == 0 && w.LongShare == 0 {
		return mean
	}
	hash := fnv.New64a()
	hash.Write([]byte(uri))
	rnd := rand.New(rand.NewPCG(hash.Sum64(), 0))
	variance := math.Log1p(w.Spread * w.Spread)
	factor := math.Exp(math.Sqrt(variance)*rnd.NormFloat64() - variance/2)
	if rnd.Float64() < w.LongShare {
		factor *= w.LongFactor
	}
	return time.Duration(factor * float64(mean))
}
