package main

import (
	"context"

	"rosemaryline.dev/bench/processfleet"
	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
)

type process = processfleet.Process

// fleet is a fleet that is measured.
type fleet struct{ *processfleet.Fleet }

// startFleet starts count processes with the configuration of the measurements. If it returns a fleet, the caller must stop
// it, even if there is an error.
func startFleet(ctx context.Context, daemon string, count int) (*fleet, error) {
	doc := &config.Document{}
	doc.SetDefaults()
	doc.Teams["bench"] = config.Team{Rate: 1, Burst: 1}
	addSpeedConfig(doc)
	started, err := processfleet.Start(ctx, processfleet.Options{Daemon: daemon, Count: count, Document: doc})
	if started == nil {
		return nil, err
	}
	return &fleet{started}, err
}

// changeRate makes one small change, of a team's rate, on top of the current version and returns the new version.
func (f *fleet) changeRate(ctx context.Context) (uint64, error) {
	var current control.VersionReply
	if err := f.Client.Get(ctx, "/v1/version", nil, &current); err != nil {
		return 0, err
	}
	change := config.Change{}
	change.Teams.Set = map[string]config.Team{"bench": {Rate: float64(f.Changes() + 2), Burst: 1}}
	return f.Apply(ctx, current.Version, change)
}
