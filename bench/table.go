package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printTable writes the command and a Markdown table for each user.
func printTable(w io.Writer, report *Report) {
	fmt.Fprintf(w, "Command: `%s`, commit %s, seed %d, %.0f s a scenario.\n", report.Command, report.Commit, report.Seed, report.Seconds)
	for _, u := range users {
		var rows []*Result
		for _, r := range report.Results {
			if r.User == u.name {
				rows = append(rows, r)
			}
		}
		if len(rows) > 0 {
			printUser(w, u.name, rows)
		}
	}
}

func printUser(w io.Writer, name string, rows []*Result) {
	fmt.Fprintf(w, "\n### %s\n\n", name)
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	columns := []string{
		"scenario", "system", "detected s", "for most s", "at faulty", "false ej. (servers)", "worst team", "in time", "p99 ms",
		"refused inside rate", "no capacity", "above rate", "during in time", "of admitted", "during p99 ms", "answered p50 / p99 ms", "after in time", "of admitted", "bad s",
	}
	fmt.Fprintf(t, "| %s\t|\n", strings.Join(columns, "\t| "))
	fmt.Fprintf(t, "|%s\n", strings.Repeat("---\t|", len(columns)))
	for _, r := range rows {
		fmt.Fprintf(t, "| %s\t|\n", strings.Join(cells(r), "\t| "))
	}
	// The table goes to a terminal or a file, where a failed write is visible.
	_ = t.Flush()
}

func cells(r *Result) []string {
	atFaulty := "-"
	if r.Gray {
		atFaulty = fmt.Sprint(r.FaultyServerRuns)
	}
	worst := r.Teams[r.WorstTeam]
	return []string{
		r.Scenario, r.System, detected(r, r.DetectFirst), detected(r, r.DetectMost), atFaulty,
		fmt.Sprintf("%d (%d)", r.FalseEjections, r.FalselyEjected),
		r.WorstTeam,
		fmt.Sprintf("%.2f%% of %d", 100*r.WorstShare, worst.Offered),
		fmt.Sprintf("%.0f", r.WorstP99),
		fmt.Sprintf("%d of %d", r.RefusedInsideRate, r.OfferedInsideRate),
		fmt.Sprint(r.NoCapacity),
		fmt.Sprint(r.AdmittedOutsideRate),
		fmt.Sprintf("%.2f%% of %d", 100*r.During.Share, r.During.Offered),
		fmt.Sprintf("%.2f%%", 100*r.During.AdmittedShare),
		fmt.Sprintf("%.0f", r.During.P99),
		fmt.Sprintf("%.0f / %.0f", r.During.AnsweredP50, r.During.AnsweredP99),
		fmt.Sprintf("%.2f%% of %d", 100*r.After.Share, r.After.Offered),
		fmt.Sprintf("%.2f%%", 100*r.After.AdmittedShare),
		fmt.Sprint(r.BadSeconds),
	}
}

// detected formats a detection time in seconds.
func detected(r *Result, seconds float64) string {
	switch {
	case !r.Gray:
		return "-"
	case seconds < 0:
		return "never"
	default:
		return fmt.Sprintf("%.1f", seconds)
	}
}
