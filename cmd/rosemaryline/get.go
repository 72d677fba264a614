package main

import (
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"strings"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
)

func getCommand() *command {
	return &command{
		name: "get", arguments: "config | KIND [NAME] | keys TEAM | domains | version | group", minArgs: 1, maxArgs: 2,
		synopsis: "show entries of the configuration (KIND is services, routes, teams or operators), keys of a team, failure domains, the version or the control group",
		run:      withClient(runGet),
	}
}

func runGet(ctx context.Context, a *app, c *control.Client, args []string) error {
	name := ""
	if len(args) > 1 {
		name = args[1]
	}
	switch kind := args[0]; kind {
	case "version":
		return getVersion(ctx, a, c)
	case "domains":
		return getDomains(ctx, a, c)
	case "group":
		return getGroup(ctx, a, c)
	case "keys":
		return getKeys(ctx, a, c, name)
	case "config":
		reply, err := fetchConfig(ctx, c)
		if err != nil {
			return err
		}
		return printJSON(a, reply)
	case "services", "routes", "teams", "operators":
		return getEntries(ctx, a, c, kind, name)
	default:
		return usageError("get takes config, services, routes, teams, operators, keys, domains, version or group; not " + kind)
	}
}

// printJSON prints a value as JSON with and without -json, for values that have no table form.
func printJSON(a *app, v any) error {
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func getVersion(ctx context.Context, a *app, c *control.Client) error {
	var reply control.VersionReply
	if err := c.Get(ctx, "/v1/version", nil, &reply); err != nil {
		return err
	}
	return a.print(reply, row("VERSION", "IN FORCE"), row(reply.Version, reply.InForce))
}

func getDomains(ctx context.Context, a *app, c *control.Client) error {
	var reply []control.DomainStatus
	if err := c.Get(ctx, "/v1/domains", nil, &reply); err != nil {
		return err
	}
	rows := [][]string{row("DOMAIN", "REGION", "STATUS", "SLOTS", "EFFECTIVE", "LOAD")}
	for _, d := range reply {
		status := "in"
		if d.Out {
			status = "out"
		}
		var announced, effective, load float64
		for _, c := range d.Capacity {
			announced, effective, load = announced+c.Announced, effective+c.Effective, load+c.Load
		}
		rows = append(rows, row(d.Name, d.Region, status, announced, effective, load))
	}
	return a.print(reply, rows...)
}

func getGroup(ctx context.Context, a *app, c *control.Client) error {
	var reply control.GroupStatus
	if err := c.Get(ctx, "/v1/group", nil, &reply); err != nil {
		return err
	}
	rows := [][]string{row("ID", "VM", "ADDRESS", "ROLE", "MATCH")}
	for _, m := range reply.Members {
		role := "voter"
		if m.Learner {
			role = "learner"
		}
		if m.ID == reply.Leader {
			role = "leader"
		}
		rows = append(rows, row(m.ID, m.VM, m.Address, role, m.Match))
	}
	return a.print(reply, rows...)
}

func getKeys(ctx context.Context, a *app, c *control.Client, team string) error {
	if team == "" {
		return usageError("get keys needs a team")
	}
	var reply control.KeysReply
	if err := c.Get(ctx, "/v1/teams/"+url.PathEscape(team)+"/keys", nil, &reply); err != nil {
		return err
	}
	rows := [][]string{row("TEAM", "HASH", "SOURCE", "VERSION")}
	for _, hash := range reply.Listed {
		rows = append(rows, row(team, hash, "file", "-"))
	}
	for _, k := range reply.Issued {
		rows = append(rows, row(team, k.Hash, "issued", k.Version))
	}
	return a.print(reply, rows...)
}

func getEntries(ctx context.Context, a *app, c *control.Client, kind, name string) error {
	reply, err := fetchConfig(ctx, c)
	if err != nil {
		return err
	}
	var rows [][]string
	switch kind {
	case "services":
		rows, err = entryRows(a, reply.Document.Services, name, row("SERVICE", "SLOTS", "CONNECTIONS", "FLOOR", "DOMAINS"),
			func(s config.Service) []any {
				return []any{s.Slots, s.Connections, s.FloorPercent, orAll(s.Domains)}
			})
	case "routes":
		rows, err = entryRows(a, reply.Document.Routes, name, row("ROUTE", "HOST", "PATH", "SERVICE", "ACCESS", "TEAMS", "DEADLINE"),
			func(r config.Route) []any {
				return []any{orDash(r.Host), r.Path, r.Service, r.Access, orAll(r.Teams), r.Deadline.Std()}
			})
	case "teams":
		rows, err = entryRows(a, reply.Document.Teams, name, row("TEAM", "RATE", "BURST", "KEYS IN FILE"),
			func(t config.Team) []any { return []any{t.Rate, t.Burst, len(t.KeyHashes)} })
	case "operators":
		rows, err = entryRows(a, reply.Document.Operators, name, row("OPERATOR", "ROLE"),
			func(o config.Operator) []any { return []any{o.Role} })
	}
	if err != nil || a.settings.json {
		return err
	}
	return a.print(nil, rows...)
}

// entryRows returns the heading and one row per entry, sorted by name. If only is set, it returns the row of that entry,
// and a notFound problem if there is none. With -json it prints the entries itself and returns no rows.
func entryRows[T any](a *app, entries map[string]T, only string, head []string, cells func(T) []any) ([][]string, error) {
	if only != "" {
		entry, ok := entries[only]
		if !ok {
			return nil, &control.Problem{Code: control.ProblemNotFound, Detail: "no entry " + only}
		}
		entries = map[string]T{only: entry}
	}
	if a.settings.json {
		return nil, a.print(entries)
	}
	rows := [][]string{}
	for name, entry := range entries {
		rows = append(rows, row(append([]any{name}, cells(entry)...)...))
	}
	slices.SortFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return append([][]string{head}, rows...), nil
}

func orAll(names []string) string {
	if len(names) == 0 {
		return "all"
	}
	return strings.Join(names, ",")
}
