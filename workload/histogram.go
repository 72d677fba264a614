package workload

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the number of buckets for a factor of 2. Quantiles are then exact to about 9%, less than the
	// spread of the costs of any route.
	bucketsPerDoubling = 4
	// minCost and maxCost limit the recorded costs. Costs outside count as the limit.
	minCost = 100 * time.Microsecond
	maxCost = 10 * time.Minute
	// bucketCount is the number of buckets from minCost to maxCost.
	bucketCount = 91
	// maxScale is the weight of a new sample at which all weights are scaled down.
	maxScale = 1 << 20
)

// histogram is a distribution of costs in which samples lose half of their weight in each half-life. New samples get a
// growing weight instead (forward decay), so that recording does not touch old buckets.
type histogram struct {
	halfLife time.Duration
	base     time.Duration // a sample at this time has the weight 1
	started  bool
	weights  [bucketCount]float64
	total    float64 // sum of weights
	sum      float64 // sum of weight times cost, in seconds
}

func (h *histogram) scale(now time.Duration) float64 {
	return math.Exp2(float64(now-h.base) / float64(h.halfLife))
}

func (h *histogram) record(now, cost time.Duration) {
	if !h.started {
		h.started, h.base = true, now
	}
	weight := h.scale(now)
	if weight > maxScale {
		for i := range h.weights {
			h.weights[i] /= weight
		}
		h.total /= weight
		h.sum /= weight
		h.base, weight = now, 1
	}
	cost = min(max(cost, minCost), maxCost)
	h.weights[bucketOf(cost)] += weight
	h.total += weight
	h.sum += weight * cost.Seconds()
}

// samples returns the number of samples, each with its weight at the given time.
func (h *histogram) samples(now time.Duration) float64 {
	if !h.started {
		return 0
	}
	return h.total / h.scale(now)
}

func (h *histogram) mean() time.Duration {
	if h.total <= 0 {
		return 0
	}
	return time.Duration(h.sum / h.total * float64(time.Second))
}

// quantile returns the cost that the share q of the samples does not exceed.
func (h *histogram) quantile(q float64) time.Duration {
	left := q * h.total
	for i, w := range h.weights {
		if w > 0 && left <= w {
			return between(i, left/w)
		}
		left -= w
	}
	return h.largest()
}

// remaining returns the mean of the time beyond elapsed of the samples that are longer, and the share of the samples
// that are.
func (h *histogram) remaining(elapsed time.Duration) (mean time.Duration, share float64) {
	weight, sum := 0.0, 0.0
	for i := range h.weights {
		if rest := between(i, 0.5) - elapsed; h.weights[i] > 0 && rest > 0 {
			weight += h.weights[i]
			sum += h.weights[i] * rest.Seconds()
		}
	}
	if weight <= 0 {
		return 0, 0
	}
	return time.Duration(sum / weight * float64(time.Second)), weight / h.total
}

func (h *histogram) largest() time.Duration {
	for i := bucketCount - 1; i >= 0; i-- {
		if h.weights[i] > 0 {
			return between(i, 1)
		}
	}
	return 0
}

func bucketOf(cost time.Duration) int {
	i := int(math.Log2(float64(cost)/float64(minCost)) * bucketsPerDoubling)
	return min(max(i, 0), bucketCount-1)
}

// between returns the cost at a position, 0 to 1, in a bucket.
func between(bucket int, position float64) time.Duration {
	return time.Duration(float64(minCost) * math.Exp2((float64(bucket)+position)/bucketsPerDoubling))
}
