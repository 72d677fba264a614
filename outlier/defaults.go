package outlier

import "time"

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

func setFloat(f *float64, value float64) {
	if *f <= 0 {
		*f = value
	}
}
