package control

import (
	"net/http"
	"slices"

	"rosemaryline.dev/fleet/state"
)

func (a *API) getKeys(w http.ResponseWriter, c *call) error {
	reply := KeysReply{Team: c.Param("team")}
	found := false
	a.Fleet.View(func(s *state.State) {
		team, ok := s.Config().Teams[reply.Team]
		found = ok
		reply.Listed = slices.Clone(team.KeyHashes)
		reply.Issued = s.IssuedKeys(reply.Team)
	})
	if !found {
		return newProblem(http.StatusNotFound, ProblemNotFound, "no team "+reply.Team)
	}
	return writeJSON(w, reply)
}

func (a *API) postIssueKey(w http.ResponseWriter, c *call) error {
	var r KeyRequest
	if err := readBody(w, c, &r); err != nil {
		return err
	}
	if r.DryRun {
		return a.dryRunKey(w, r, "")
	}
	issue := &state.IssueKey{Team: r.Team, KeyHash: r.KeyHash}
	return a.proposeAndReply(w, c, r.Envelope, state.Command{IssueKey: issue}, nil)
}

func (a *API) postWithdrawKey(w http.ResponseWriter, c *call) error {
	var r KeyRequest
	if err := readBody(w, c, &r); err != nil {
		return err
	}
	if r.DryRun {
		return a.dryRunKey(w, r, r.KeyHash)
	}
	return a.proposeAndReply(w, c, r.Envelope, state.Command{WithdrawKey: &state.WithdrawKey{KeyHash: r.KeyHash}}, nil)
}

// dryRunKey checks that a team has the key with the hash withdrawHash or, if withdrawHash is empty, that the team to
// issue a key for exists.
func (a *API) dryRunKey(w http.ResponseWriter, r KeyRequest, withdrawHash string) error {
	reply := ChangeReply{DryRun: true}
	team, found := r.Team, false
	a.Fleet.View(func(s *state.State) {
		reply.Version = s.Version()
		if withdrawHash == "" {
			_, found = s.Config().Teams[team]
			return
		}
		team, found = s.TeamByKeyHash(withdrawHash)
	})
	if !found {
		return newProblem(http.StatusNotFound, ProblemNotFound, "no such team or key")
	}
	reply.Fields = []string{"keys." + team}
	return writeJSON(w, reply)
}
