package main

import (
	"cmp"
	"slices"

	"rosemaryline.dev/fleet/config"
)

// difference is one configuration entry that differs between the files and the fleet.
type difference struct {
	// Action is what apply would do with the entry: add, change or remove.
	Action string `json:"action"`
	Entry  string `json:"entry"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

func differences(old *config.Document, c config.Change) []difference {
	list := []difference{}
	list = append(list, entryDifferences("domains", old.Domains, c.Domains)...)
	list = append(list, entryDifferences("services", old.Services, c.Services)...)
	list = append(list, entryDifferences("routes", old.Routes, c.Routes)...)
	list = append(list, entryDifferences("teams", old.Teams, c.Teams)...)
	list = append(list, entryDifferences("operators", old.Operators, c.Operators)...)
	slices.SortFunc(list, func(a, b difference) int { return cmp.Compare(a.Entry, b.Entry) })
	return list
}

// entryDifferences returns the differences in the entries of one kind, such as "routes".
func entryDifferences[T any](kind string, old map[string]T, e config.Entries[T]) []difference {
	var list []difference
	for name, value := range e.Set {
		d := difference{Action: "add", Entry: kind + "." + name, New: compactJSON(value)}
		if before, ok := old[name]; ok {
			d.Action, d.Old = "change", compactJSON(before)
		}
		list = append(list, d)
	}
	for _, name := range e.Remove {
		list = append(list, difference{Action: "remove", Entry: kind + "." + name, Old: compactJSON(old[name])})
	}
	return list
}

func differenceRows(list []difference) [][]string {
	rows := [][]string{row("ACTION", "ENTRY", "OLD", "NEW")}
	for _, d := range list {
		rows = append(rows, row(d.Action, d.Entry, orDash(d.Old), orDash(d.New)))
	}
	return rows
}
