package outlier

import (
	"math"
	"slices"
)

// madScale makes the median absolute deviation comparable with a standard deviation.
const madScale = 1.4826

// spread is the median and the scaled median absolute deviation of a set of values. Up to half of the values may be
// wrong without effect on it.
type spread struct {
	median, deviation float64
}

func robustSpread(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	m := median(values)
	deviations := make([]float64, len(values))
	for i, v := range values {
		deviations[i] = math.Abs(v - m)
	}
	return spread{median: m, deviation: madScale * median(deviations)}
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

// above returns by how many deviations a value lies above the median. The deviation counts at least as least.
func (s spread) above(value, least float64) float64 {
	return (value - s.median) / math.Max(s.deviation, least)
}
