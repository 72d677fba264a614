package control

import (
	"net/http"

	"rosemaryline.dev/fleet/state"
)

// RolloutRequest orders a rollout. The base version of the envelope is ignored: rollouts do not conflict with changes of
// the configuration.
type RolloutRequest struct {
	Envelope
	NewVersion string `json:"newVersion"`
	DurationMs int64  `json:"durationMs"`
}

// RolloutAbortRequest rolls a running rollout back. The base version of the envelope is ignored.
type RolloutAbortRequest struct {
	Envelope
	// ID is the ID of the rollout, from RolloutStatus.
	ID string `json:"id"`
}

// RolloutStatus is the latest rollout of a service.
type RolloutStatus struct {
	state.Rollout
	// Admitted are the versions of the service that get requests, besides the new one of a running rollout. It is empty
	// if none was recorded yet; all versions then get requests.
	Admitted []string `json:"admitted,omitempty"`
}

func (a *API) getRollouts(w http.ResponseWriter, _ *call) error {
	list := []RolloutStatus{}
	a.Fleet.View(func(s *state.State) {
		for _, r := range s.Rollouts() {
			list = append(list, RolloutStatus{Rollout: r, Admitted: s.Admitted(r.Service)})
		}
	})
	return writeJSON(w, list)
}

func (a *API) getRollout(w http.ResponseWriter, c *call) error {
	var status RolloutStatus
	found := false
	service := c.Param("service")
	a.Fleet.View(func(s *state.State) {
		status.Rollout, found = s.Rollout(service)
		status.Admitted = s.Admitted(service)
	})
	if !found {
		return newProblem(http.StatusNotFound, ProblemNotFound, "service "+service+" had no rollout")
	}
	return writeJSON(w, status)
}

func (a *API) postRolloutBegin(w http.ResponseWriter, c *call) error {
	var r RolloutRequest
	if err := readBody(w, c, &r); err != nil {
		return err
	}
	begin := &state.BeginRollout{Service: c.Param("service"), NewVersion: r.NewVersion, DurationMs: r.DurationMs}
	var dry dryRun
	a.Fleet.View(func(s *state.State) {
		begin.Base = s.RolloutBase(begin.Service)
		dry = dryRun{s.Version(), s.CheckBeginRollout(begin)}
	})
	if r.DryRun {
		return dry.reply(w, begin.Service)
	}
	return a.proposeAndReply(w, c, r.Envelope, state.Command{BeginRollout: begin}, nil)
}

func (a *API) postRolloutAbort(w http.ResponseWriter, c *call) error {
	var r RolloutAbortRequest
	if err := readBody(w, c, &r); err != nil {
		return err
	}
	abort := &state.AbortRollout{Service: c.Param("service"), ID: r.ID}
	if r.DryRun {
		var dry dryRun
		a.Fleet.View(func(s *state.State) { dry = dryRun{s.Version(), s.CheckAbortRollout(abort)} })
		return dry.reply(w, abort.Service)
	}
	return a.proposeAndReply(w, c, r.Envelope, state.Command{AbortRollout: abort}, nil)
}

// dryRun is the result of the check of a command about a rollout.
type dryRun struct {
	version uint64
	refusal *state.Refusal
}

func (d dryRun) reply(w http.ResponseWriter, service string) error {
	if d.refusal != nil {
		return refusalProblem(state.Result{Version: d.version, Err: d.refusal})
	}
	return writeJSON(w, ChangeReply{DryRun: true, Version: d.version, Fields: []string{"services." + service + ".rollout"}})
}
