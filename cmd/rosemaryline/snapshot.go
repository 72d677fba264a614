package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// snapshotFileMode lets only the owner read snapshots, because they contain the hashes of keys and credentials.
const snapshotFileMode = 0o600

func snapshotCommands() *commandGroup {
	return &commandGroup{name: "snapshot", synopsis: "save, restore and inspect the fleet state", commands: []*command{
		saveSnapshotCommand(), restoreSnapshotCommand(), inspectSnapshotCommand(),
	}}
}

func saveSnapshotCommand() *command {
	return &command{
		name: "save", arguments: "FILE", minArgs: 1, maxArgs: 1,
		synopsis: "write the fleet state to a new file",
		run: withClient(func(ctx context.Context, a *app, c *control.Client, args []string) error {
			data, err := c.GetRaw(ctx, "/v1/snapshot")
			if err != nil {
				return err
			}
			s, err := state.Restore(data)
			if err != nil {
				return err
			}
			if err := writeNewFile(args[0], data); err != nil {
				return err
			}
			return a.printSnapshot(s, len(data))
		}),
	}
}

// writeNewFile writes and syncs a file. It returns a usageError if the file exists or cannot be created.
func writeNewFile(name string, data []byte) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, snapshotFileMode)
	if err != nil {
		return usageError(err.Error())
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return errors.Wrap(err, "write snapshot")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync snapshot")
	}
	return errors.Wrap(file.Close(), "close snapshot")
}

func restoreSnapshotCommand() *command {
	f := &applyFlags{}
	return &command{
		name: "restore", arguments: "FILE", minArgs: 1, maxArgs: 1,
		synopsis: "seed an empty fleet with the whole state; on any other fleet, apply the configuration of the file as a new version and leave keys as they are",
		flags: func(flags *flag.FlagSet) {
			flags.BoolVar(&f.dryRun, "dry-run", false, "show what would change")
			flags.BoolVar(&f.wait, "wait", false, "wait until the version is in force everywhere")
			flags.DurationVar(&f.waitTimeout, "wait-timeout", 30*time.Second, "bounds -wait, with unit")
		},
		run: withClient(func(ctx context.Context, a *app, c *control.Client, args []string) error {
			return restoreSnapshot(ctx, a, c, f, args[0])
		}),
	}
}

// restoreSnapshot restores the whole state into an empty fleet. On any other fleet it applies only the configuration of
// the snapshot, as a new version, so that a restore never undoes a withdrawal of a key or reuses a version.
func restoreSnapshot(ctx context.Context, a *app, c *control.Client, f *applyFlags, name string) error {
	data, err := readFile(name)
	if err != nil {
		return err
	}
	s, err := state.Restore(data)
	if err != nil {
		return invalidFileError(name, err)
	}
	var current control.VersionReply
	if err := c.Get(ctx, "/v1/version", nil, &current); err != nil {
		return err
	}
	if current.Version > 0 {
		return applyDocument(ctx, a, c, f, s.Config())
	}
	if f.dryRun {
		return a.printSnapshot(s, len(data))
	}
	reply, err := c.PostOnce(ctx, "/v1/snapshot", json.RawMessage(data))
	if err != nil {
		return err
	}
	return a.printChangeReply(reply, "restore of "+name)
}

// invalidFileError returns the error for a file that is not a snapshot. Its line is 1, because a snapshot has no lines.
func invalidFileError(name string, err error) error {
	return &config.FieldError{File: name, Line: 1, Problem: err.Error()}
}

func inspectSnapshotCommand() *command {
	return &command{
		name: "inspect", arguments: "FILE", minArgs: 1, maxArgs: 1,
		synopsis: "show what a snapshot file holds; needs no fleet",
		run: func(_ context.Context, a *app, args []string) error {
			data, err := readFile(args[0])
			if err != nil {
				return err
			}
			s, err := state.Restore(data)
			if err != nil {
				return invalidFileError(args[0], err)
			}
			return a.printSnapshot(s, len(data))
		},
	}
}

// snapshotOutput is what the snapshot commands print with -json.
type snapshotOutput struct {
	Version    uint64   `json:"version"`
	Bytes      int      `json:"bytes"`
	Hash       string   `json:"hash"`
	Domains    int      `json:"domains"`
	Services   int      `json:"services"`
	Routes     int      `json:"routes"`
	Teams      int      `json:"teams"`
	Processes  int      `json:"processes"`
	DomainsOut []string `json:"domainsOut,omitempty"`
}

func (a *app) printSnapshot(s *state.State, size int) error {
	doc := s.Config()
	r := snapshotOutput{
		Version: s.Version(), Bytes: size, Hash: doc.Hash(), Domains: len(doc.Domains), Services: len(doc.Services),
		Routes: len(doc.Routes), Teams: len(doc.Teams), Processes: s.RosterSize(), DomainsOut: s.DomainsOut(),
	}
	return a.print(r,
		row("VERSION", "BYTES", "DOMAINS", "SERVICES", "ROUTES", "TEAMS", "PROCESSES", "HASH"),
		row(r.Version, r.Bytes, r.Domains, r.Services, r.Routes, r.Teams, r.Processes, r.Hash[:12]))
}
