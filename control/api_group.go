package control

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/state"
)

func (a *API) getGroup(w http.ResponseWriter, _ *call) error {
	if a.Group == nil {
		return unsupported("the control group")
	}
	return writeJSON(w, a.Group.Group())
}

func (a *API) postGroup(w http.ResponseWriter, c *call) error {
	if a.Group == nil {
		return unsupported("the control group")
	}
	var r GroupRequest
	if err := readBody(w, c, &r); err != nil {
		return err
	}
	warnings, err := checkGroupChange(a.Group.Group(), r.GroupChange)
	if err != nil {
		return err
	}
	if r.DryRun {
		return writeJSON(w, ChangeReply{DryRun: true, Warnings: warnings})
	}
	if err := a.Group.ChangeGroup(c.Context(), r.GroupChange); err != nil {
		return errors.Wrapf(err, "%s member %s", r.Action, r.ID)
	}
	a.Logger.Info().Str("operator", c.operator).Str("member", r.ID).Msgf("control: changed the control group (%s).", r.Action)
	return writeJSON(w, ChangeReply{Warnings: warnings})
}

// checkGroupChange rejects a change that names an unknown member, omits the address of a new one or removes the last
// one. It warns of a group that would lose its quorum with one failed member.
func checkGroupChange(group GroupStatus, c GroupChange) (warnings []string, err error) {
	ids, voters := map[string]bool{}, 0
	for _, m := range group.Members {
		ids[m.ID] = true
		if !m.Learner {
			voters++
		}
	}
	removed := c.ID
	switch c.Action {
	case GroupAdd:
		removed = ""
	case GroupReplace:
		removed = c.OldID
	case GroupRemove:
		voters--
	default:
		return nil, newProblem(http.StatusBadRequest, ProblemBadRequest, "the action is add, remove or replace")
	}
	if removed != "" && !ids[removed] {
		return nil, newProblem(http.StatusNotFound, ProblemNotFound, "no member "+removed+" in the control group")
	}
	if c.Action != GroupRemove && !strings.Contains(c.Address, ":") {
		return nil, newProblem(http.StatusBadRequest, ProblemBadRequest, "the address of the new member is host:port")
	}
	if voters < 1 {
		return nil, newProblem(http.StatusConflict, ProblemBadRequest, "the last member cannot be removed")
	}
	if c.Action == GroupRemove && voters < 3 {
		warnings = append(warnings, fmt.Sprintf("a group of %d survives no failure", voters))
	}
	return warnings, nil
}

func (a *API) getSnapshot(w http.ResponseWriter, _ *call) error {
	var data []byte
	var err error
	a.Fleet.View(func(s *state.State) { data, err = s.Snapshot() })
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = io.Copy(w, bytes.NewReader(data))
	return err
}

// postSnapshot initializes an empty fleet from a snapshot. A fleet that already has a version rejects it, because its
// version must never go back.
func (a *API) postSnapshot(w http.ResponseWriter, c *call) error {
	if a.Restorer == nil {
		return unsupported("restoring a snapshot")
	}
	if version := a.version().Version; version > 0 {
		return newProblem(http.StatusConflict, ProblemCode(state.CodeConflict),
			fmt.Sprintf("the fleet has version %d; only an empty fleet takes a snapshot", version))
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, c.Body, maxSnapshotUploadBytes))
	if err != nil {
		return newProblem(http.StatusBadRequest, ProblemBadRequest, "body: "+err.Error())
	}
	restored, err := state.Restore(data)
	if err != nil {
		return newProblem(http.StatusUnprocessableEntity, ProblemCode(state.CodeInvalid), err.Error())
	}
	if err := a.Restorer.Restore(c.Context(), data); err != nil {
		return errors.Wrap(err, "restore snapshot")
	}
	a.Logger.Info().Str("operator", c.operator).Uint64("version", restored.Version()).Msg("control: restored the snapshot.")
	return writeJSON(w, ChangeReply{Version: restored.Version()})
}
