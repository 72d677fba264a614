package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// memoryFleet is an in-memory fleet for control.API: one state and no processes.
type memoryFleet struct {
	mu    sync.Mutex
	state *state.State
	// loseReplies makes Propose apply the command and return an unknown outcome.
	loseReplies bool
}

func (f *memoryFleet) View(view func(*state.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view(f.state)
}

func (f *memoryFleet) Barrier(context.Context) error { return nil }

func (f *memoryFleet) Propose(_ context.Context, c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	result, err := state.DecodeResult(f.state.Apply(data))
	if f.loseReplies {
		return state.Result{}, &control.UnknownError{Err: io.ErrUnexpectedEOF}
	}
	return result, err
}

func (f *memoryFleet) Group() control.GroupStatus {
	return control.GroupStatus{Members: []control.GroupMember{{ID: "0a"}, {ID: "0b"}, {ID: "0c"}}}
}

func (f *memoryFleet) ChangeGroup(context.Context, control.GroupChange) error { return nil }

func (f *memoryFleet) Restore(_ context.Context, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var err error
	f.state, err = state.Restore(data)
	return err
}

func startFleet(t *testing.T) *memoryFleet {
	t.Helper()
	fleet := &memoryFleet{state: state.New()}
	start := time.Now()
	server := httptest.NewServer(control.NewAPI(control.Options{
		Fleet: fleet, Group: fleet, Restorer: fleet, BootstrapHash: config.HashKey("boot"),
		Confirmations: control.NewConfirmations(func() time.Duration { return time.Since(start) }),
		Logger:        &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}))
	t.Cleanup(server.Close)
	t.Setenv("ROSEMARYLINE_ADMIN", server.URL)
	t.Setenv("ROSEMARYLINE_CREDENTIAL", "boot")
	return fleet
}

// runTool runs one command line and returns its exit code, standard output and standard error.
func runTool(stdin string, args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := run(context.Background(), args, strings.NewReader(stdin), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

const (
	exampleBase = "../../examples/glashelder/base.yaml"
	exampleSite = "../../examples/glashelder/nl-west.yaml"
)

// TestExitCodes guards against changed exit codes, which scripts rely on. The cases share one fleet and run in order.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	broken := filepath.Join(dir, "broken.yaml")
	assert.NilError(t, os.WriteFile(broken, []byte("services:\n  rondes: {slots: 0}\n"), 0o600))
	snapshot := filepath.Join(dir, "snapshot")
	startFleet(t)
	tests := []struct {
		desc string
		args string
		want int
		// output is part of standard output or standard error.
		output string
	}{
		{"no subcommand", "", exitUsage, "Exit codes"},
		{"help", "-help", exitOK, "ROSEMARYLINE_CREDENTIAL"},
		{"unknown flag", "-colour status", exitUsage, "-colour"},
		{"duration without unit", "-timeout 5 status", exitUsage, `"5"`},
		{"missing argument", "validate", exitUsage, "BASE [OVERLAY]"},
		{"missing file", "validate none.yaml", exitUsage, "none.yaml"},
		{"valid files", "validate " + exampleBase + " " + exampleSite, exitOK, "VALID"},
		{"invalid file", "validate " + exampleBase + " " + broken, exitInvalid, broken + ":2: services.rondes.slots"},
		{"diff against an empty fleet", "diff " + exampleBase + " " + exampleSite, exitDiffers, "teams.office"},
		{"dry run", "apply -dry-run " + exampleBase + " " + exampleSite, exitOK, "nothing was changed"},
		{"flags after arguments", "apply " + exampleBase + " " + exampleSite + " -change-id first", exitOK, "version 1"},
		{"apply again", "apply " + exampleBase + " " + exampleSite, exitOK, "already"},
		{"diff without differences", "diff " + exampleBase + " " + exampleSite, exitOK, "version 1"},
		{"-wait in a fleet without processes", "apply -wait -wait-timeout 1ms " + exampleBase + " " + exampleSite, exitNotInForce, "not in force"},
		{"take a domain out", "domain out nl-west-a", exitOK, "version 2"},
		{"take the same domain out again", "domain out nl-west-a", exitOK, "already"},
		{"take a second domain out", "domain out nl-west-b", exitNeedsForce, "floor"},
		{"take a second domain out with -dry-run", "domain out -dry-run nl-west-b", exitOK, "Warning"},
		{"take a second domain out with -force", "domain out -force nl-west-b", exitOK, "version 3"},
		{"bring a domain back", "domain in nl-west-b", exitOK, "version 4"},
		{"unknown domain", "domain in nowhere", exitNotFound, "nowhere"},
		{"key for an unknown team", "key issue nobody", exitNotFound, "nobody"},
		{"withdraw an unknown key", "key withdraw " + config.HashKey("x"), exitNotFound, ""},
		{"old base version", "apply -base-version 1 " + exampleBase, exitConflict, "domains.nl-west-a.status"},
		{"wrong credential", "-credential wrong status", exitDenied, "unauthorized"},
		{"no control process", "-admin 127.0.0.1:1 -timeout 100ms status", exitFailed, "127.0.0.1:1"},
		{"teams", "get teams", exitOK, "field-app"},
		{"unknown team", "get teams nobody", exitNotFound, ""},
		{"unknown kind", "get tables", exitUsage, "tables"},
		{"domains", "get domains", exitOK, "out"},
		{"explain", "explain -path /bookings/7 -team payroll", exitOK, "allowed: no"},
		{"history", "history", exitOK, "refused: conflict"},
		{"status", "status", exitOK, "nl-west-a"},
		{"members", "members", exitOK, "INCARNATION"},
		{"rollout without duration", "rollout begin rondes v2", exitUsage, "-duration"},
		{"rollout of an unknown service", "rollout begin none v2 -duration 10m", exitNotFound, "none"},
		{"status of a service without rollouts", "rollout status rondes", exitNotFound, "rondes"},
		{"status without rollouts", "rollout status", exitOK, "REASON"},
		{"rollout with -dry-run", "rollout begin rondes v2 -duration 10m -dry-run", exitOK, "nothing was changed"},
		{"rollout", "rollout begin rondes v2 -duration 10m", exitOK, "version 5"},
		{"second rollout", "rollout begin rondes v3 -duration 10m", exitConflict, "v2"},
		{"running rollouts in status", "status", exitOK, "Rollout of rondes to v2: canary, 0%, at 0s of 10m0s."},
		{"abort with -dry-run", "rollout abort rondes -dry-run", exitOK, "nothing was changed"},
		{"abort", "rollout abort rondes", exitOK, "version 6"},
		{"abort again", "rollout abort rondes", exitConflict, "rolled-back"},
		{"status of a rollout", "rollout status rondes", exitOK, "aborted by bootstrap"},
		{"status of a rollout with -json", "-json rollout status rondes", exitOK, `"phase": "rolled-back"`},
		{"remove an unknown control member", "control remove 0x", exitNotFound, "0x"},
		{"remove a control member with -dry-run", "control remove -dry-run 0a", exitOK, "survives no failure"},
		{"replace a control member", "control replace 0a 0d vm4:7002", exitOK, "replace of 0d"},
		{"save a snapshot", "snapshot save " + snapshot, exitOK, "VERSION"},
		{"save over an existing file", "snapshot save " + snapshot, exitUsage, "exists"},
		{"inspect a snapshot", "snapshot inspect " + snapshot, exitOK, "HASH"},
		{"inspect a file that is not a snapshot", "snapshot inspect " + broken, exitInvalid, broken},
		{"restore the current state", "snapshot restore " + snapshot, exitOK, "already"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			code, stdout, stderr := runTool("", strings.Fields(test.args)...)
			assert.Equal(t, code, test.want, "%s%s", stdout, stderr)
			assert.Assert(t, strings.Contains(stdout+stderr, test.output), "%s%s", stdout, stderr)
		})
	}
}

// TestUnknownOutcome guards against reporting a failure when the reply to an accepted change is lost, and against an
// error when apply is then repeated.
func TestUnknownOutcome(t *testing.T) {
	fleet := startFleet(t)
	fleet.loseReplies = true
	code, _, stderr := runTool("", "apply", "-timeout", "500ms", exampleBase, exampleSite)
	assert.Equal(t, code, exitUnknown, stderr)
	fleet.loseReplies = false
	code, stdout, stderr := runTool("", "apply", exampleBase, exampleSite)
	assert.Equal(t, code, exitOK, stderr)
	assert.Assert(t, strings.Contains(stdout, "already, at version 1"), stdout)
}

// TestKeyIssueAndWithdraw guards against a key that is shown but not accepted, is stored in clear text, or cannot be
// withdrawn with the key itself.
func TestKeyIssueAndWithdraw(t *testing.T) {
	fleet := startFleet(t)
	code, _, stderr := runTool("", "apply", exampleBase, exampleSite)
	assert.Equal(t, code, exitOK, stderr)
	code, stdout, stderr := runTool("", "-json", "key", "issue", "office")
	assert.Equal(t, code, exitOK, stderr)
	var issued issueKeyOutput
	assert.NilError(t, json.Unmarshal([]byte(stdout), &issued))
	assert.Assert(t, regexp.MustCompile(`^rml_[A-Za-z0-9_-]{43}$`).MatchString(issued.Key))
	team, ok := fleet.state.TeamByKeyHash(config.HashKey(issued.Key))
	assert.Assert(t, ok && team == "office")
	saved, err := fleet.state.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(saved, []byte(issued.Key)))

	// Applying the files again must not remove issued keys.
	code, _, _ = runTool("", "apply", exampleBase, exampleSite)
	assert.Equal(t, code, exitOK)
	code, _, stderr = runTool(issued.Key+"\n", "key", "withdraw", "-stdin")
	assert.Equal(t, code, exitOK, stderr)
	_, ok = fleet.state.TeamByKeyHash(issued.KeyHash)
	assert.Assert(t, !ok)
}

// TestSnapshotSeedsEmptyFleet guards against a restore into an empty fleet that loses the version or the issued keys.
func TestSnapshotSeedsEmptyFleet(t *testing.T) {
	first := startFleet(t)
	code, _, stderr := runTool("", "apply", exampleBase, exampleSite)
	assert.Equal(t, code, exitOK, stderr)
	code, _, stderr = runTool("", "key", "issue", "office")
	assert.Equal(t, code, exitOK, stderr)
	file := filepath.Join(t.TempDir(), "snapshot")
	code, _, stderr = runTool("", "snapshot", "save", file)
	assert.Equal(t, code, exitOK, stderr)
	second := startFleet(t)
	code, _, stderr = runTool("", "snapshot", "restore", file)
	assert.Equal(t, code, exitOK, stderr)
	assert.Equal(t, second.state.Version(), first.state.Version())
	assert.DeepEqual(t, second.state.IssuedKeys("office"), first.state.IssuedKeys("office"))
}
