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

// localFleet is a control.Fleet in memory.
type localFleet struct {
	mu    sync.Mutex
	state *state.State
	// lost makes every answer to a proposal get lost.
	lost bool
}

func (f *localFleet) View(view func(*state.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view(f.state)
}

func (f *localFleet) Barrier(context.Context) error { return nil }

func (f *localFleet) Propose(_ context.Context, c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	result, err := state.DecodeResult(f.state.Apply(data))
	if f.lost {
		return state.Result{}, &control.UnknownError{Err: io.ErrUnexpectedEOF}
	}
	return result, err
}

func (f *localFleet) Group() control.GroupStatus {
	return control.GroupStatus{Members: []control.GroupMember{{ID: "0a"}, {ID: "0b"}, {ID: "0c"}}}
}

func (f *localFleet) ChangeGroup(context.Context, control.GroupChange) error { return nil }

func (f *localFleet) Restore(_ context.Context, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var err error
	f.state, err = state.Restore(data)
	return err
}

func startFleet(t *testing.T) *localFleet {
	t.Helper()
	fleet := &localFleet{state: state.New()}
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

// tool runs one command line and returns its exit code, output and errors.
func tool(stdin string, args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := run(context.Background(), args, strings.NewReader(stdin), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

const (
	exampleBase = "../../examples/glashelder/base.yaml"
	exampleSite = "../../examples/glashelder/nl-west.yaml"
)

// Guards against exit codes that scripts cannot rely on. The steps share one fleet and run in order.
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
		{"help", "-help", exitDone, "ROSEMARYLINE_CREDENTIAL"},
		{"unknown flag", "-colour status", exitUsage, "-colour"},
		{"bad value", "-timeout 5 status", exitUsage, `"5"`},
		{"missing argument", "validate", exitUsage, "BASE [OVERLAY]"},
		{"missing file", "validate none.yaml", exitUsage, "none.yaml"},
		{"valid files", "validate " + exampleBase + " " + exampleSite, exitDone, "VALID"},
		{"invalid file", "validate " + exampleBase + " " + broken, exitInvalid, broken + ":2: services.rondes.slots"},
		{"diff against an empty fleet", "diff " + exampleBase + " " + exampleSite, exitDiffers, "teams.office"},
		{"dry run", "apply -dry-run " + exampleBase + " " + exampleSite, exitDone, "nothing was changed"},
		{"flags after arguments", "apply " + exampleBase + " " + exampleSite + " -change-id first", exitDone, "version 1"},
		{"apply again", "apply " + exampleBase + " " + exampleSite, exitDone, "already"},
		{"diff without differences", "diff " + exampleBase + " " + exampleSite, exitDone, "version 1"},
		{"wait for a version without processes", "apply -wait -wait-timeout 1ms " + exampleBase + " " + exampleSite, exitNotInForce, "not in force"},
		{"one domain out", "domain out nl-west-a", exitDone, "version 2"},
		{"the same again", "domain out nl-west-a", exitDone, "already"},
		{"a second one", "domain out nl-west-b", exitNeedsForce, "floor"},
		{"a second one, dry run", "domain out -dry-run nl-west-b", exitDone, "Warning"},
		{"a second one, forced", "domain out -force nl-west-b", exitDone, "version 3"},
		{"back", "domain in nl-west-b", exitDone, "version 4"},
		{"unknown domain", "domain in nowhere", exitNotFound, "nowhere"},
		{"key for an unknown team", "key issue nobody", exitNotFound, "nobody"},
		{"withdraw an unknown key", "key withdraw " + config.HashKey("x"), exitNotFound, ""},
		{"old base version", "apply -base-version 1 " + exampleBase, exitConflict, "domains.nl-west-a.status"},
		{"wrong credential", "-credential wrong status", exitDenied, "unauthorized"},
		{"no control process", "-admin 127.0.0.1:1 -timeout 100ms status", exitFailed, "127.0.0.1:1"},
		{"teams", "get teams", exitDone, "field-app"},
		{"one team", "get teams nobody", exitNotFound, ""},
		{"unknown kind", "get tables", exitUsage, "tables"},
		{"domains", "get domains", exitDone, "out"},
		{"explain", "explain -path /bookings/7 -team payroll", exitDone, "allowed: no"},
		{"history", "history", exitDone, "refused: conflict"},
		{"status", "status", exitDone, "nl-west-a"},
		{"members", "members", exitDone, "INCARNATION"},
		{"unknown control member", "control remove 0x", exitNotFound, "0x"},
		{"control member, dry run", "control remove -dry-run 0a", exitDone, "survives no failure"},
		{"control member replaced", "control replace 0a 0d vm4:7002", exitDone, "replace of 0d"},
		{"save", "snapshot save " + snapshot, exitDone, "VERSION"},
		{"save over a file", "snapshot save " + snapshot, exitUsage, "exists"},
		{"inspect", "snapshot inspect " + snapshot, exitDone, "HASH"},
		{"inspect another file", "snapshot inspect " + broken, exitInvalid, broken},
		{"restore what is there", "snapshot restore " + snapshot, exitDone, "already"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			code, stdout, stderr := tool("", strings.Fields(test.args)...)
			assert.Equal(t, code, test.want, "%s%s", stdout, stderr)
			assert.Assert(t, strings.Contains(stdout+stderr, test.output), "%s%s", stdout, stderr)
		})
	}
}

// Guards against a lost answer that is reported as a failure, and against an apply that cannot be repeated after it.
func TestUnknownOutcome(t *testing.T) {
	fleet := startFleet(t)
	fleet.lost = true
	code, _, stderr := tool("", "apply", "-timeout", "500ms", exampleBase, exampleSite)
	assert.Equal(t, code, exitUnknown, stderr)
	fleet.lost = false
	code, stdout, stderr := tool("", "apply", exampleBase, exampleSite)
	assert.Equal(t, code, exitDone, stderr)
	assert.Assert(t, strings.Contains(stdout, "already, at version 1"), stdout)
}

// Guards against a key that is shown but not accepted, stored in clear, or not withdrawn by its text.
func TestKeyIssueAndWithdraw(t *testing.T) {
	fleet := startFleet(t)
	code, _, stderr := tool("", "apply", exampleBase, exampleSite)
	assert.Equal(t, code, exitDone, stderr)
	code, stdout, stderr := tool("", "-json", "key", "issue", "office")
	assert.Equal(t, code, exitDone, stderr)
	var issued issuedReply
	assert.NilError(t, json.Unmarshal([]byte(stdout), &issued))
	assert.Assert(t, regexp.MustCompile(`^rml_[A-Za-z0-9_-]{43}$`).MatchString(issued.Key))
	team, ok := fleet.state.TeamByKeyHash(config.HashKey(issued.Key))
	assert.Assert(t, ok && team == "office")
	saved, err := fleet.state.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(saved, []byte(issued.Key)))

	// Applying the files again must leave issued keys alone.
	code, _, _ = tool("", "apply", exampleBase, exampleSite)
	assert.Equal(t, code, exitDone)
	code, _, stderr = tool(issued.Key+"\n", "key", "withdraw", "-stdin")
	assert.Equal(t, code, exitDone, stderr)
	_, ok = fleet.state.TeamByKeyHash(issued.KeyHash)
	assert.Assert(t, !ok)
}

// Guards against a restore that takes versions back or loses the state of an empty fleet.
func TestSnapshotSeedsEmptyFleet(t *testing.T) {
	first := startFleet(t)
	code, _, stderr := tool("", "apply", exampleBase, exampleSite)
	assert.Equal(t, code, exitDone, stderr)
	code, _, stderr = tool("", "key", "issue", "office")
	assert.Equal(t, code, exitDone, stderr)
	file := filepath.Join(t.TempDir(), "snapshot")
	code, _, stderr = tool("", "snapshot", "save", file)
	assert.Equal(t, code, exitDone, stderr)
	second := startFleet(t)
	code, _, stderr = tool("", "snapshot", "restore", file)
	assert.Equal(t, code, exitDone, stderr)
	assert.Equal(t, second.state.Version(), first.state.Version())
	assert.DeepEqual(t, second.state.IssuedKeys("office"), first.state.IssuedKeys("office"))
}
