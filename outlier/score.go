package outlier

import (
	"math"
	"time"
)

// slowScore compares the median latency of a server with those of its peers on a logarithmic scale, on which the
// latencies of a service are roughly symmetric. The score is 1 when both the ratio to the median of the peers has
// reached Config.SlowFactor and the number of deviations above it Config.Deviations. factor is the ratio.
func (d *Detector) slowScore(own Digest, peers []Digest) (score, factor float64) {
	const minLogDeviation = 0.15
	var logMedians, logStdDevs []float64
	for _, p := range peers {
		if p.P50 > 0 {
			logMedians = append(logMedians, math.Log(p.P50.Seconds()))
			logStdDevs = append(logStdDevs, logStdDev(p.P50, p.P90))
		}
	}
	if own.P50 <= 0 || len(logMedians) < d.cfg.MinPeers {
		return 0, 1
	}
	peerStats := newRobustStats(logMedians)
	ownLogMedian := math.Log(own.P50.Seconds())
	minDeviation := math.Max(minLogDeviation, medianStdError(median(logStdDevs), own.Count))
	byFactor := (ownLogMedian - peerStats.median) / math.Log(d.cfg.SlowFactor)
	byDeviation := peerStats.deviationsAbove(ownLogMedian, minDeviation) / d.cfg.Deviations
	return min(byFactor, byDeviation), math.Exp(ownLogMedian - peerStats.median)
}

// logStdDev estimates the standard deviation of the logarithms of latencies from their 50% and 90% quantiles, as for a
// log-normal distribution.
func logStdDev(p50, p90 time.Duration) float64 {
	const normalP90 = 1.2816 // 90% quantile of the standard normal distribution
	if p50 <= 0 || p90 <= p50 {
		return 0
	}
	return math.Log(float64(p90)/float64(p50)) / normalP90
}

// medianStdError estimates the standard error of the median of n values with a standard deviation.
func medianStdError(stdDev float64, n int) float64 {
	const medianFactor = 1.2533 // ratio of the standard error of the median to that of the mean
	return medianFactor * stdDev / math.Sqrt(float64(max(n, 1)))
}

// Minimum deviations of ratios. A larger one for hanging requests delayed the detection of a server at which one
// request in five hangs to more than 3 s in some runs, since few requests hang before all slots are occupied.
const (
	minFailureDeviation = 0.01
	minHangDeviation    = 0.008
)

// ratioScore compares a ratio of requests, such as the failure ratio, with the peers. The score is 1 when both the
// difference to the median of the peers has reached margin and the number of deviations above it Config.Deviations. The
// deviation is at least the sampling error of a ratio over so few requests, because the ratios of a few peers can be
// nearly equal by chance.
func (d *Detector) ratioScore(
	margin, minDeviation float64, own Digest, peers []Digest, ratioOf func(Digest) float64,
) float64 {
	var ratios []float64
	count := own.Count
	for _, p := range peers {
		ratios = append(ratios, ratioOf(p))
		count += p.Count
	}
	peerStats := newRobustStats(ratios)
	expected := math.Min(0.5, peerStats.median+1/float64(count+1))
	samplingError := math.Sqrt(expected * (1 - expected) / float64(max(own.Count, 1)))
	excess := ratioOf(own) - peerStats.median
	byDeviation := peerStats.deviationsAbove(ratioOf(own), math.Max(minDeviation, samplingError)) / d.cfg.Deviations
	return min(excess/margin, byDeviation)
}
