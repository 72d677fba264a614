package main

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"strings"
	"time"

	"rosemaryline.dev/control"
)

func historyCommand() *command {
	limit := 0
	return &command{
		name:     "history",
		synopsis: "show the audit trail, newest first",
		flags:    func(f *flag.FlagSet) { f.IntVar(&limit, "limit", 50, "number of records, 1 to 10000") },
		run: withClient(func(ctx context.Context, a *app, c *control.Client, _ []string) error {
			var reply control.HistoryReply
			if err := c.Get(ctx, "/v1/history", url.Values{"limit": {fmt.Sprint(limit)}}, &reply); err != nil {
				return err
			}
			rows := [][]string{row("VERSION", "TIME", "OPERATOR", "KIND", "RESULT", "FIELDS")}
			for _, r := range reply.Records {
				result := "accepted"
				if r.Result.Err != nil {
					result = "refused: " + string(r.Result.Err.Code)
				}
				rows = append(rows, row(r.Result.Version, r.Time.Format(time.RFC3339), r.Operator, r.Kind, result, strings.Join(r.Fields, " ")))
			}
			return a.print(reply, rows...)
		}),
	}
}

func explainCommand() *command {
	var request, logs string
	var q explainFlags
	return &command{
		name:     "explain",
		synopsis: "tell why a request on a route from a team would go where, or with -request what became of one",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&q.host, "host", "", "host of the request, without port")
			f.StringVar(&q.path, "path", "/", "path of the request")
			f.StringVar(&q.team, "team", "", "team whose key the request carries")
			f.StringVar(&q.route, "route", "", "name of the route, in place of -host and -path")
			f.StringVar(&q.method, "method", "GET", "method of the request")
			f.StringVar(&q.vm, "vm", "", "VM whose entry gets the request; by default that of the process that is asked")
			f.StringVar(&request, "request", "", "ID of a request to look up in the logs; no process is asked")
			f.StringVar(&logs, "logs", ".", "folder with the logs of the processes")
		},
		run: func(ctx context.Context, a *app, args []string) error {
			if request == "" {
				return explainRoute(q)(ctx, a, args)
			}
			log, err := explainRequest(logs, request)
			if err != nil {
				return err
			}
			return a.printRequestLog(log)
		},
	}
}

// explainFlags describe a request to explain.
type explainFlags struct{ host, path, team, route, method, vm string }

// explainRoute asks a process where a request on a route from a team would go.
func explainRoute(q explainFlags) func(context.Context, *app, []string) error {
	return withClient(func(ctx context.Context, a *app, c *control.Client, _ []string) error {
		var reply control.ExplainReply
		query := url.Values{"host": {q.host}, "path": {q.path}, "team": {q.team}, "route": {q.route}, "method": {q.method}, "vm": {q.vm}}
		if err := c.Get(ctx, "/v1/explain", query, &reply); err != nil {
			return err
		}
		return a.printExplain(reply)
	})
}

func (a *app) printExplain(reply control.ExplainReply) error {
	a.printMessage("Path %s, route %s, service %s, allowed: %s (%s). Failure domains out: %s.", orDash(reply.ComparedPath), orDash(reply.Route), orDash(reply.Service),
		yesNo(reply.Allowed), reply.Reason, orDash(strings.Join(reply.DomainsOut, ", ")))
	if len(reply.Candidates) > 0 && reply.Candidates[0].Share != nil {
		a.printMessage("The service is short of capacity: the entry admits %.0f%% of such requests.", 100**reply.Candidates[0].Share)
	}
	if len(reply.Candidates) == 0 && !a.settings.json {
		return nil
	}
	rows := [][]string{row("VM", "DOMAIN", "STATE", "CAPACITY", "IN FLIGHT", "QUEUED", "START MS", "SPEED", "COST MS", "REPORT AGE MS", "REASON")}
	for _, v := range reply.Candidates {
		start, speed, cost, age := "-", "-", "-", "-"
		if w := v.Work; w != nil {
			start, speed, cost = fmt.Sprint(w.StartMs), fmt.Sprintf("%.2f", w.Speed), fmt.Sprint(w.CostMs)
			if w.Reported {
				age = fmt.Sprint(w.AgeMs)
			}
		}
		rows = append(rows, row(v.VM, v.Domain, v.State, v.Capacity, v.InFlight, v.Queued, start, speed, cost, age, v.Reason))
	}
	return a.print(reply, rows...)
}
