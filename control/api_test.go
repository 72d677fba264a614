package control

import (
	"context"
	"net/url"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

type fixedCapacity []ServiceCapacity

func (f fixedCapacity) Capacity() []ServiceCapacity { return f }

func teamChange(name string, rate float64) config.Change {
	return config.Change{Teams: config.Entries[config.Team]{Set: map[string]config.Team{name: {Rate: rate, Burst: 1}}}}
}

// Guards against a role that permits more than it should, and against failures that clients cannot distinguish by their
// problem code.
func TestChanges(t *testing.T) {
	takeover := config.Change{Operators: config.Entries[config.Operator]{Set: map[string]config.Operator{
		"operator": {Role: config.RoleAdmin, CredentialHash: config.HashKey("operator-secret")},
	}}}
	rate := func(r float64, base uint64) ApplyRequest {
		return ApplyRequest{Envelope{BaseVersion: base}, *applyCommand(teamChange("blue", r))}
	}
	dryRun := ApplyRequest{Envelope{BaseVersion: 1, DryRun: true}, *applyCommand(teamChange("blue", 9))}
	key := config.HashKey("key")
	rollout := func(version string, ms int64, dryRun bool) RolloutRequest {
		return RolloutRequest{Envelope{DryRun: dryRun}, version, ms}
	}
	tests := []struct {
		desc, credential, path string
		request                any
		want                   ProblemCode // "" for success
		version                uint64      // after the request
	}{
		{"unknown credential", "x", "/v1/config", rate(1, 1), ProblemUnauthorized, 1},
		{"viewer changes", "viewer-secret", "/v1/config", rate(1, 1), ProblemForbidden, 1},
		{"operator takes role admin", "operator-secret", "/v1/config", ApplyRequest{Envelope{BaseVersion: 1}, *applyCommand(takeover)}, ProblemForbidden, 1},
		{"operator changes the control group", "operator-secret", "/v1/group", GroupRequest{}, ProblemForbidden, 1},
		{"dry run changes nothing", "operator-secret", "/v1/config", dryRun, "", 1},
		{"operator changes", "operator-secret", "/v1/config", rate(1, 1), "", 2},
		{"old base version", "operator-secret", "/v1/config", rate(2, 1), ProblemCode(state.CodeConflict), 2},
		{"invalid document", "operator-secret", "/v1/config", rate(-1, 2), ProblemCode(state.CodeInvalid), 2},
		{"unknown field", "operator-secret", "/v1/keys/issue", map[string]any{"key": "secret"}, ProblemBadRequest, 2},
		{"key issued", "operator-secret", "/v1/keys/issue", KeyRequest{Envelope{BaseVersion: 2}, "red", key}, "", 3},
		{"key withdrawn", "operator-secret", "/v1/keys/withdraw", KeyRequest{Envelope{BaseVersion: 3}, "", key}, "", 4},
		{"key withdrawn again", "operator-secret", "/v1/keys/withdraw", KeyRequest{Envelope{BaseVersion: 4}, "", key}, ProblemNotFound, 4},
		{"load above the remaining capacity", "operator-secret", "/v1/domains/d1/out", DomainRequest{Envelope{BaseVersion: 4}, false}, ProblemCode(state.CodeNeedsForce), 4},
		{"load above the remaining capacity, forced", "operator-secret", "/v1/domains/d1/out", DomainRequest{Envelope{BaseVersion: 4}, true}, "", 5},
		{"unknown failure domain", "operator-secret", "/v1/domains/d9/out", DomainRequest{Envelope{BaseVersion: 5}, true}, ProblemNotFound, 5},
		{"viewer orders a rollout", "viewer-secret", "/v1/rollouts/web/begin", rollout("v2", 1000, false), ProblemForbidden, 5},
		{"rollout without duration", "operator-secret", "/v1/rollouts/web/begin", rollout("v2", 0, false), ProblemCode(state.CodeInvalid), 5},
		{"rollout of an unknown service", "operator-secret", "/v1/rollouts/none/begin", rollout("v2", 1000, true), ProblemNotFound, 5},
		{"dry run of a rollout", "operator-secret", "/v1/rollouts/web/begin", rollout("v2", 1000, true), "", 5},
		{"rollout", "operator-secret", "/v1/rollouts/web/begin", rollout("v2", 1000, false), "", 6},
		{"rollout", "operator-secret", "/v1/rollouts/web/begin", rollout("v2", 1000, false), "", 6}, // sent again
		{"second rollout", "operator-secret", "/v1/rollouts/web/begin", rollout("v3", 1000, false), ProblemCode(state.CodeConflict), 6},
		{"configuration change on a version before the rollout", "operator-secret", "/v1/config", rate(4, 5), "", 7},
		{"viewer aborts", "viewer-secret", "/v1/rollouts/web/abort", RolloutAbortRequest{ID: "rollout"}, ProblemForbidden, 7},
		{"abort of another rollout", "operator-secret", "/v1/rollouts/web/abort", RolloutAbortRequest{}, ProblemCode(state.CodeConflict), 7},
		{"dry run of an abort", "operator-secret", "/v1/rollouts/web/abort", RolloutAbortRequest{Envelope{DryRun: true}, "rollout"}, "", 7},
		{"abort", "operator-secret", "/v1/rollouts/web/abort", RolloutAbortRequest{ID: "rollout"}, "", 8},
		{"no restorer", "admin-secret", "/v1/snapshot", map[string]any{}, ProblemUnsupported, 8},
	}
	fleet := newMemFleet()
	client := startAPI(t, fleet, Options{Capacity: fixedCapacity{
		{Service: "web", Domain: "d1", Announced: 10, Effective: 10, Load: 9},
		{Service: "web", Domain: "d2", Announced: 10, Effective: 10, Load: 9},
		{Service: "web", Domain: "d3", Announced: 10, Effective: 10, Load: 9},
	}})
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := client(test.credential).Change(context.Background(), test.path, withChangeID(test.request, test.desc))
			var problem *Problem
			if test.want == "" {
				assert.NilError(t, err)
			} else {
				assert.Assert(t, errors.As(err, &problem), "%v", err)
				assert.Equal(t, problem.Code, test.want, problem.Detail)
			}
			assert.Equal(t, fleet.state.Version(), test.version)
		})
	}
}

func withChangeID(request any, id string) any {
	switch r := request.(type) {
	case ApplyRequest:
		r.ChangeID = id
		return r
	case KeyRequest:
		r.ChangeID = id
		return r
	case DomainRequest:
		r.ChangeID = id
		return r
	case RolloutRequest:
		r.ChangeID = id
		return r
	case RolloutAbortRequest:
		r.ChangeID = id
		return r
	}
	return request
}

func TestReads(t *testing.T) {
	fleet := newMemFleet()
	client := startAPI(t, fleet, Options{})("viewer-secret")
	ctx := context.Background()
	explains := []struct {
		desc, path, team, route string
		allowed                 bool
	}{
		{"team of the route", "/home/x", "red", "home", true},
		{"other team", "/home", "blue", "home", false},
		{"no segment boundary", "/homes", "red", "", false},
		{"encoded letter", "/%68ome/x", "red", "home", true},
		{"encoded slash", "/home%2Fx", "red", "", false},
	}
	for _, test := range explains {
		t.Run(test.desc, func(t *testing.T) {
			var reply ExplainReply
			query := url.Values{"path": {test.path}, "team": {test.team}}
			assert.NilError(t, client.Get(ctx, "/v1/explain", query, &reply))
			assert.Equal(t, reply.Route, test.route)
			assert.Equal(t, reply.Allowed, test.allowed)
		})
	}
	// The names of a route and a method take the place of a path; unknown names are errors.
	var byName ExplainReply
	assert.NilError(t, client.Get(ctx, "/v1/explain", url.Values{"route": {"home"}, "method": {"DELETE"}}, &byName))
	assert.Equal(t, byName.Route, "home")
	assert.Assert(t, !byName.Repeatable)
	for _, query := range []url.Values{{"route": {"nowhere"}}, {"path": {"/home"}, "team": {"pink"}}} {
		var unknown *Problem
		assert.Assert(t, errors.As(client.Get(ctx, "/v1/explain", query, &byName), &unknown))
		assert.Equal(t, unknown.Code, ProblemNotFound)
	}
	var history HistoryReply
	assert.NilError(t, client.Get(ctx, "/v1/history", nil, &history))
	assert.Equal(t, history.Records[0].Operator, "test")
	mustPropose(t, fleet, state.Command{ChangeID: "rollout", BeginRollout: &state.BeginRollout{Service: "web", NewVersion: "v2", DurationMs: 1000}})
	var rollouts []RolloutStatus
	var rollout RolloutStatus
	assert.NilError(t, client.Get(ctx, "/v1/rollouts", nil, &rollouts))
	assert.NilError(t, client.Get(ctx, "/v1/rollouts/web", nil, &rollout))
	assert.DeepEqual(t, rollouts, []RolloutStatus{rollout})
	assert.Equal(t, rollout.ID, "rollout")
	assert.ErrorContains(t, client.Get(ctx, "/v1/rollouts/none", nil, &rollout), "had no rollout")

	// Without a quorum, reads fail unless the caller accepts stale state.
	fleet.down = errors.New("no quorum")
	var status StatusReply
	var problem *Problem
	assert.Assert(t, errors.As(client.Get(ctx, "/v1/status", nil, &status), &problem))
	assert.Equal(t, problem.Code, ProblemUnavailable)
	assert.NilError(t, client.Get(ctx, "/v1/status", url.Values{"stale": {"true"}}, &status))
	assert.Assert(t, status.Stale)
	assert.Equal(t, status.Version, uint64(2))
	assert.Equal(t, status.Rollouts[0].NewVersion, "v2")
}

// Guards against a bootstrap credential that still works once the document lists operators.
func TestBootstrapCredential(t *testing.T) {
	fleet := newMemFleet()
	client := startAPI(t, fleet, Options{BootstrapHash: config.HashKey("boot")})("boot")
	var problem *Problem
	assert.Assert(t, errors.As(client.Get(context.Background(), "/v1/version", nil, nil), &problem))
	assert.Equal(t, problem.Code, ProblemUnauthorized)
	all := config.Change{Operators: config.Entries[config.Operator]{Remove: []string{"admin", "operator", "viewer"}}}
	mustPropose(t, fleet, state.Command{ChangeID: "remove operators", Apply: applyCommand(all)})
	var version VersionReply
	assert.NilError(t, client.Get(context.Background(), "/v1/version", nil, &version))
	assert.Equal(t, version.Version, uint64(2))
}

// Guards against a wait that ends before the version is in force, or continues after that.
func TestInForceWait(t *testing.T) {
	fleet := newMemFleet()
	confirmations := NewConfirmations(func() time.Duration { return 0 })
	client := startAPI(t, fleet, Options{Confirmations: confirmations})("viewer-secret")
	mustPropose(t, fleet, join(1))
	fleet.View(confirmations.SetRoster)
	var reply InForceReply
	assert.NilError(t, client.Get(context.Background(), "/v1/inforce/2", nil, &reply))
	assert.DeepEqual(t, reply, InForceReply{Version: 2, Missing: []string{"vm1"}})
	done := make(chan error)
	go func() {
		done <- client.Get(context.Background(), "/v1/inforce/2", url.Values{"waitMillis": {"30000"}}, &reply)
	}()
	confirmations.Confirm(ProcessConfirmation{Process: "vm1", Incarnation: 1, Version: 2})
	assert.NilError(t, <-done)
	assert.Assert(t, reply.InForce)
	var status StatusReply
	assert.NilError(t, client.Get(context.Background(), "/v1/status", nil, &status))
	assert.DeepEqual(t, status.Versions, []RunningVersion{
		{Version: 2, InForce: true, Processes: []ProcessVersion{{Process: "vm1", Version: 2, Known: true}}},
	})
}
