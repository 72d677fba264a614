package main

import (
	"context"
	"flag"
	"net/url"
	"strings"

	"rosemaryline.dev/control"
)

func statusCommand() *command {
	stale := false
	return &command{
		name:     "status",
		synopsis: "show which processes run which version, and since when",
		flags:    func(f *flag.FlagSet) { addStale(f, &stale) },
		run: withClient(func(ctx context.Context, a *app, c *control.Client, _ []string) error {
			var reply control.StatusReply
			if err := c.Get(ctx, "/v1/status", staleQuery(stale), &reply); err != nil {
				return err
			}
			return a.printStatus(reply)
		}),
	}
}

func addStale(f *flag.FlagSet, stale *bool) {
	f.BoolVar(stale, "stale", false, "accept the state of one control process, also without a quorum")
}

func staleQuery(stale bool) url.Values {
	if !stale {
		return nil
	}
	return url.Values{"stale": {"true"}}
}

func (a *app) printStatus(reply control.StatusReply) error {
	a.printMessage("Version %d, in force everywhere: %d. Failure domains out: %s.",
		reply.Version, reply.InForce, orDash(strings.Join(reply.DomainsOut, ", ")))
	if reply.Stale {
		a.printMessage("Warning: this is the state of one control process; it may be behind.")
	}
	for _, r := range reply.Rollouts {
		a.printMessage("Rollout of %s to %s: %s, %d%%, at %s of %s.", r.Service, r.NewVersion, r.Phase, r.Percent,
			formatAge(r.ElapsedMs), formatAge(r.DurationMs))
	}
	rows := [][]string{row("VERSION", "IN FORCE", "PROCESS", "FOR")}
	for _, v := range reply.Versions {
		for _, p := range v.Processes {
			rows = append(rows, row(v.Version, yesNo(v.InForce), p.Process, formatAge(p.AgeMillis)))
		}
	}
	for _, name := range reply.Unconfirmed {
		rows = append(rows, row("-", "-", name, "-"))
	}
	return a.print(reply, rows...)
}

func membersCommand() *command {
	stale := false
	return &command{
		name:     "members",
		synopsis: "list the processes of the roster and how gossip sees them",
		flags:    func(f *flag.FlagSet) { addStale(f, &stale) },
		run: withClient(func(ctx context.Context, a *app, c *control.Client, _ []string) error {
			var reply control.MembersReply
			if err := c.Get(ctx, "/v1/members", staleQuery(stale), &reply); err != nil {
				return err
			}
			return a.print(reply, memberRows(reply)...)
		}),
	}
}

func memberRows(reply control.MembersReply) [][]string {
	gossip := map[string]control.MemberInfo{}
	for _, m := range reply.Gossip {
		gossip[m.Name] = m
	}
	rows := [][]string{row("NAME", "ADDRESS", "DOMAIN", "ROSTER", "STATUS", "INCARNATION", "SHARDS")}
	for _, p := range reply.Roster {
		m, ok := gossip[p.Name]
		delete(gossip, p.Name)
		if !ok {
			m.Status = "unknown"
		}
		rows = append(rows, row(p.Name, p.Address, p.Domain, "yes", m.Status, m.Incarnation, reply.Shards[p.Name]))
	}
	for _, m := range reply.Gossip {
		if _, left := gossip[m.Name]; left {
			rows = append(rows, row(m.Name, m.Address, m.Domain, "no", m.Status, m.Incarnation, reply.Shards[m.Name]))
		}
	}
	return rows
}
