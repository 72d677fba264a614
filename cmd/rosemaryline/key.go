package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"flag"
	"io"
	"strings"

	"github.com/pkg/errors"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
)

// keyPrefix begins each key, so that secret scanners can recognize keys in files.
const keyPrefix = "rml_"

// issueKeyOutput is what key issue prints with -json.
type issueKeyOutput struct {
	control.ChangeReply
	Team string `json:"team"`
	// Key is shown only here; the fleet stores only its hash. Empty in a dry run.
	Key     string `json:"key,omitempty"`
	KeyHash string `json:"keyHash"`
}

func keyCommands() *commandGroup {
	return &commandGroup{name: "key", synopsis: "issue and withdraw keys of teams", commands: []*command{issueKeyCommand(), withdrawKeyCommand()}}
}

func issueKeyCommand() *command {
	dryRun := false
	return &command{
		name: "issue", arguments: "TEAM", minArgs: 1, maxArgs: 1,
		synopsis: "issue a key to a team and show it once; the key is made here and only its hash is sent",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&dryRun, "dry-run", false, "check that the team can get a key")
		},
		run: withClient(func(ctx context.Context, a *app, c *control.Client, args []string) error {
			return issueKey(ctx, a, c, args[0], dryRun)
		}),
	}
}

func issueKey(ctx context.Context, a *app, c *control.Client, team string, dryRun bool) error {
	key := newKey()
	reply := issueKeyOutput{Team: team, Key: key, KeyHash: config.HashKey(key)}
	if dryRun {
		reply.Key = ""
	}
	var err error
	reply.ChangeReply, err = changeCurrentVersion(ctx, c, "/v1/keys/issue", dryRun, func(e control.Envelope) any {
		return control.KeyRequest{Envelope: e, Team: team, KeyHash: reply.KeyHash}
	})
	var unknown *control.UnknownError
	if errors.As(err, &unknown) {
		return errors.Wrapf(err, "see with `rosemaryline get keys %s` whether hash %s was accepted, and withdraw it then", team, reply.KeyHash)
	}
	if err != nil {
		return err
	}
	if a.settings.json || dryRun {
		if a.settings.json {
			return a.print(reply)
		}
		return a.printChangeReply(reply.ChangeReply, "key for team "+team)
	}
	return a.print(reply, row("TEAM", "VERSION", "HASH", "KEY (shown once)"), row(team, reply.Version, reply.KeyHash, key))
}

func newKey() string {
	var secret [32]byte
	// crypto/rand.Read never returns an error; it ends the process if the system cannot provide random bytes.
	rand.Read(secret[:])
	return keyPrefix + base64.RawURLEncoding.EncodeToString(secret[:])
}

func withdrawKeyCommand() *command {
	dryRun, fromStdin := false, false
	return &command{
		name: "withdraw", arguments: "HASH | -stdin", maxArgs: 1,
		synopsis: "withdraw a key by its hash, or by the key itself from standard input",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&dryRun, "dry-run", false, "check that a team has the key")
			f.BoolVar(&fromStdin, "stdin", false, "read the key, not its hash, from standard input")
		},
		run: withClient(func(ctx context.Context, a *app, c *control.Client, args []string) error {
			hash, err := a.keyHash(args, fromStdin)
			if err != nil {
				return err
			}
			reply, err := changeCurrentVersion(ctx, c, "/v1/keys/withdraw", dryRun, func(e control.Envelope) any {
				return control.KeyRequest{Envelope: e, KeyHash: hash}
			})
			if err != nil {
				return err
			}
			return a.printChangeReply(reply, "withdrawal of key "+hash)
		}),
	}
}

// keyHash returns the hash of the key to withdraw, from the argument or computed from the key on standard input.
func (a *app) keyHash(args []string, fromStdin bool) (string, error) {
	if fromStdin == (len(args) == 1) {
		return "", usageError("key withdraw takes either a hash or -stdin")
	}
	if !fromStdin {
		return args[0], nil
	}
	data, err := io.ReadAll(a.stdin)
	if err != nil {
		return "", errors.Wrap(err, "read key from standard input")
	}
	return config.HashKey(strings.TrimSpace(string(data))), nil
}
