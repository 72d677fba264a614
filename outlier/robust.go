package outlier

import (
	"math"
	"slices"
)

// madScale makes the median absolute deviation of normally distributed values an estimate of their standard deviation.
const madScale = 1.4826

// robustStats holds the median and the scaled median absolute deviation of a set of values. Outliers among less than
// half of the values do not distort them.
type robustStats struct {
	median, deviation float64
}

func newRobustStats(values []float64) robustStats {
	if len(values) == 0 {
		return robustStats{}
	}
	m := median(values)
	deviations := make([]float64, len(values))
	for i, v := range values {
		deviations[i] = math.Abs(v - m)
	}
	return robustStats{median: m, deviation: madScale * median(deviations)}
}

func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// deviationsAbove returns by how many deviations a value lies above the median. A deviation below minDeviation counts
// as minDeviation.
func (s robustStats) deviationsAbove(value, minDeviation float64) float64 {
	return (value - s.median) / math.Max(s.deviation, minDeviation)
}
