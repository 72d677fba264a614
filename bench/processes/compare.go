package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// failedRequests is the name of the figure that sums up the failed requests of all steps of a run.
const failedRequests = "failed requests"

// figure is one measured value.
type figure struct {
	unit  string
	value float64
}

// speedResult holds the figures of one run by name.
type speedResult map[string]figure

func (r speedResult) set(name, unit string, value float64) { r[name] = figure{unit, value} }

func (r speedResult) add(name, unit string, value float64) { r.set(name, unit, r[name].value+value) }

// comparison is a figure of all runs of the daemon and, if there is one, of the baseline.
type comparison struct {
	Name string `json:"name"`
	Unit string `json:"unit,omitempty"`
	// Daemon and Baseline have the figure of each run, in the order of the runs.
	Daemon   []float64 `json:"daemon"`
	Baseline []float64 `json:"baseline,omitempty"`
	// Ratio is the median of the ratios of the daemon's figure to that of the baseline's run beside it; nil if one of the
	// baseline's figures is 0 or there is no baseline.
	Ratio *float64 `json:"ratio,omitempty"`
}

// compareSpeed measures the speed of daemon and, if baseline is not empty, of both binaries in alternating runs, so that
// changes of the machine's load affect both. It prints the figures and their ratios.
func compareSpeed(daemon, baseline string, count, runs int, asJSON bool, d time.Duration) error {
	if baseline == "" {
		runs = 1
	}
	var results, baselineResults []speedResult
	for i := range runs {
		measure := func(binary string, to *[]speedResult) error {
			if binary == "" {
				return nil
			}
			fmt.Fprintf(os.Stderr, "run %d of %d: %s\n", i+1, runs, binary)
			result, err := speedOf(binary, count, d)
			*to = append(*to, result)
			return errors.Wrap(err, binary)
		}
		if err := measure(baseline, &baselineResults); err != nil {
			return err
		}
		if err := measure(daemon, &results); err != nil {
			return err
		}
	}
	return printComparisons(os.Stdout, compare(results, baselineResults), asJSON)
}

// speedOf measures the speed in a fleet of its own.
func speedOf(daemon string, count int, d time.Duration) (speedResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	f, err := startFleet(ctx, daemon, count)
	if f != nil {
		defer f.Stop()
	}
	if err != nil {
		return nil, errors.Wrap(err, "start fleet")
	}
	result := speedResult{}
	return result, errors.Wrap(f.measureSpeed(ctx, d, result), "speed")
}

// compare returns the comparisons of all figures in the order of their names. Without a baseline, baselines is empty.
func compare(daemons, baselines []speedResult) []comparison {
	var list []comparison
	for name, f := range daemons[0] {
		c := comparison{Name: name, Unit: f.unit}
		var ratios []float64
		for i, r := range daemons {
			c.Daemon = append(c.Daemon, r[name].value)
			if i >= len(baselines) {
				continue
			}
			base := baselines[i][name].value
			c.Baseline = append(c.Baseline, base)
			if base != 0 {
				ratios = append(ratios, r[name].value/base)
			}
		}
		if len(ratios) == len(daemons) {
			ratio := medianOf(ratios)
			c.Ratio = &ratio
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b comparison) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	return list
}

// medianOf returns the median, the mean of the middle two of an even number of values. It does not change values.
func medianOf(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// printComparisons prints one line for each figure, or all of them as JSON.
func printComparisons(w io.Writer, list []comparison, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(list)
	}
	for _, c := range list {
		line := fmt.Sprintf("%-45s %10.1f %-5s", c.Name, medianOf(c.Daemon), c.Unit)
		if c.Baseline != nil {
			line += fmt.Sprintf(" baseline %10.1f", medianOf(c.Baseline))
		}
		if c.Ratio != nil {
			line += fmt.Sprintf(" ratio %.3f", *c.Ratio)
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}
