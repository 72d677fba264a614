package outlier

import (
	"math"
	"time"
)

// slowScore compares medians on a logarithmic scale, on which latencies of a service are roughly symmetric. Both the
// factor and the number of deviations must reach their limits for a score of 1. The factor is the ratio to the median of
// the peers.
func (d *Detector) slowScore(own Digest, peers []Digest) (score, factor float64) {
	const leastDeviation = 0.15
	var logs, widths []float64
	for _, p := range peers {
		if p.P50 > 0 {
			logs = append(logs, math.Log(p.P50.Seconds()))
			widths = append(widths, logWidth(p.P50, p.P90))
		}
	}
	if own.P50 <= 0 || len(logs) < d.cfg.MinPeers {
		return 0, 1
	}
	usual := robustSpread(logs)
	mine := math.Log(own.P50.Seconds())
	least := math.Max(leastDeviation, medianError(median(widths), own.Count))
	byFactor := (mine - usual.median) / math.Log(d.cfg.SlowFactor)
	byDeviation := usual.above(mine, least) / d.cfg.Deviations
	return min(byFactor, byDeviation), math.Exp(mine - usual.median)
}

// logWidth estimates the standard deviation of the logarithms of times from two quantiles.
func logWidth(p50, p90 time.Duration) float64 {
	const normalP90 = 1.2816 // 90% quantile of the normal distribution
	if p50 <= 0 || p90 <= p50 {
		return 0
	}
	return math.Log(float64(p90)/float64(p50)) / normalP90
}

// medianError is the standard error of the median of n values.
func medianError(width float64, n int) float64 {
	const medianFactor = 1.2533 // ratio to the standard error of the mean
	return medianFactor * width / math.Sqrt(float64(max(n, 1)))
}

// Least deviations of ratios. With a larger one for hanging requests, one request in five that hangs took more than 3 s
// to show in some runs, since few requests hang before all slots are taken.
const (
	failDeviation = 0.01
	hangDeviation = 0.008
)

// ratioScore compares ratios of requests. The deviation counts at least as the error that chance alone gives the ratio
// of so few requests: the ratios of a few peers can agree by chance.
func (d *Detector) ratioScore(
	margin, leastDeviation float64, own Digest, peers []Digest, of func(Digest) float64,
) float64 {
	var ratios []float64
	count := own.Count
	for _, p := range peers {
		ratios = append(ratios, of(p))
		count += p.Count
	}
	usual := robustSpread(ratios)
	expected := math.Min(0.5, usual.median+1/float64(count+1))
	chance := math.Sqrt(expected * (1 - expected) / float64(max(own.Count, 1)))
	above := of(own) - usual.median
	byDeviation := usual.above(of(own), math.Max(leastDeviation, chance)) / d.cfg.Deviations
	return min(above/margin, byDeviation)
}
