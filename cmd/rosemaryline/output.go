package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// print writes v as JSON with -json, and as a table otherwise. The first row holds the headings.
func (a *app) print(v any, rows ...[]string) error {
	if a.settings.json {
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	table := tabwriter.NewWriter(a.stdout, 0, 8, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

// note writes a line for people; programs get the same in the JSON output.
func (a *app) note(format string, args ...any) {
	if !a.settings.json {
		fmt.Fprintf(a.stdout, format+"\n", args...)
	}
}

func row(values ...any) []string {
	cells := make([]string, len(values))
	for i, value := range values {
		cells[i] = fmt.Sprint(value)
	}
	return cells
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func age(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// compact writes a value as one line of JSON.
func compact(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
