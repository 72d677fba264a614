package control

import (
	"bytes"
	"encoding/json"
	"net/http"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

func (a *API) getConfig(w http.ResponseWriter, _ *call) error {
	// The document is shared with the state, so it is encoded while the state is locked and sent after that.
	var buffer bytes.Buffer
	var err error
	a.Fleet.View(func(s *state.State) {
		doc := s.Config()
		err = json.NewEncoder(&buffer).Encode(ConfigReply{
			Version:     s.Version(),
			BaseVersion: s.OperatorVersion(),
			Hash:        doc.Hash(),
			Document:    doc,
		})
	})
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = buffer.WriteTo(w)
	return err
}

func (a *API) postConfig(w http.ResponseWriter, c *call) error {
	var r ApplyRequest
	if err := readBody(w, c, &r); err != nil {
		return err
	}
	if !r.Change.Operators.IsZero() {
		// Otherwise a caller with the role operator could give itself the role admin.
		if err := a.requireRole(c, config.RoleAdmin); err != nil {
			return err
		}
	}
	if r.DryRun {
		return a.dryRunApply(w, r)
	}
	return a.proposeAndReply(w, c, r.Envelope, state.Command{Apply: &r.ApplyChange}, nil)
}

func (a *API) dryRunApply(w http.ResponseWriter, r ApplyRequest) error {
	reply := ChangeReply{DryRun: true}
	var refusal *state.Refusal
	a.Fleet.View(func(s *state.State) {
		reply.Version = s.Version()
		reply.Fields, refusal = s.CheckApply(r.Change)
	})
	if refusal != nil {
		return refusalProblem(state.Result{Version: reply.Version, Err: refusal})
	}
	return writeJSON(w, reply)
}
