package main

import (
	"context"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
)

// validateOutput is what validate prints with -json.
type validateOutput struct {
	Valid     bool   `json:"valid"`
	Hash      string `json:"hash"`
	Domains   int    `json:"domains"`
	Services  int    `json:"services"`
	Routes    int    `json:"routes"`
	Teams     int    `json:"teams"`
	Operators int    `json:"operators"`
}

func validateCommand() *command {
	return &command{
		name: "validate", arguments: "BASE [OVERLAY]", minArgs: 1, maxArgs: 2,
		synopsis: "check a base file with a site overlay; needs no fleet",
		run: func(_ context.Context, a *app, args []string) error {
			doc, err := loadFiles(args)
			if err != nil {
				return err
			}
			r := validateOutput{true, doc.Hash(), len(doc.Domains), len(doc.Services), len(doc.Routes), len(doc.Teams), len(doc.Operators)}
			return a.print(r,
				row("VALID", "DOMAINS", "SERVICES", "ROUTES", "TEAMS", "OPERATORS", "HASH"),
				row("yes", r.Domains, r.Services, r.Routes, r.Teams, r.Operators, r.Hash[:12]))
		},
	}
}

// diffOutput is what diff prints with -json.
type diffOutput struct {
	Version     uint64       `json:"version"`
	Differences []difference `json:"differences"`
}

func diffCommand() *command {
	return &command{
		name: "diff", arguments: "BASE [OVERLAY]", minArgs: 1, maxArgs: 2,
		synopsis: "show how the files differ from the fleet; exit code 5 where they do",
		run:      withClient(runDiff),
	}
}

func runDiff(ctx context.Context, a *app, c *control.Client, args []string) error {
	doc, err := loadFiles(args)
	if err != nil {
		return err
	}
	current, err := fetchConfig(ctx, c)
	if err != nil {
		return err
	}
	list := differences(current.Document, config.Diff(current.Document, doc))
	if len(list) == 0 {
		a.printMessage("The files equal version %d of the fleet.", current.Version)
		if a.settings.json {
			return a.print(diffOutput{current.Version, list})
		}
		return nil
	}
	if err := a.print(diffOutput{current.Version, list}, differenceRows(list)...); err != nil {
		return err
	}
	return differsError{}
}

func fetchConfig(ctx context.Context, c *control.Client) (*control.ConfigReply, error) {
	var reply control.ConfigReply
	if err := c.Get(ctx, "/v1/config", nil, &reply); err != nil {
		return nil, err
	}
	// JSON omits empty maps.
	reply.Document.SetDefaults()
	return &reply, nil
}
