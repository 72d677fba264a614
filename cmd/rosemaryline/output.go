package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// print writes v as JSON with -json, and rows as a table otherwise. The first row holds the headings.
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

// printMessage writes a line of text. With -json it writes nothing: the JSON output has the same information.
func (a *app) printMessage(format string, args ...any) {
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

// formatAge formats a number of milliseconds as a duration in tenths of a second.
func formatAge(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// compactJSON returns a value as one line of JSON.
func compactJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
