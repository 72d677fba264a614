// Command bench compares the fleet with a simple baseline proxy. It sends the same traffic to both and injects the same
// faults, and measures how requests end and when faulty backend servers are ejected. The code of the real processes runs
// with stand-in backend servers on loopback.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
)

func main() {
	s, err := parseSettings(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(2)
	}
	report, err := measure(context.Background(), s)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
	printTable(os.Stdout, report)
	if err := writeJSON(s.jsonFile, report); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// measure runs the chosen scenarios of the chosen users one after the other.
func measure(ctx context.Context, s *settings) (*Report, error) {
	report := &Report{Seed: s.seed, Commit: commit(), Command: s.command(), Seconds: s.duration.Seconds()}
	for _, u := range s.users {
		for _, sc := range s.scenarios {
			fmt.Fprintf(os.Stderr, "bench: %s, %s\n", u.name, sc.name)
			results, err := runScenario(ctx, s, u, sc)
			if err != nil {
				return nil, fmt.Errorf("%s, %s: %w", u.name, sc.name, err)
			}
			report.Results = append(report.Results, results...)
		}
	}
	return report, nil
}

// writeJSON writes the report to file, or to standard output if file is "".
func writeJSON(file string, report *Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if file == "" {
		_, err = os.Stdout.Write(data)
		return err
	}
	return os.WriteFile(file, data, 0o644)
}
