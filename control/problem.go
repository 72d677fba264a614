package control

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/state"
)

func newProblem(status int, code ProblemCode, detail string) *Problem {
	return &Problem{Status: status, Title: http.StatusText(status), Detail: detail, Code: code}
}

// refusalStatus maps the refusal codes of the state machine to HTTP status codes.
var refusalStatus = map[state.Code]int{
	state.CodeConflict:       http.StatusConflict,
	state.CodeInvalid:        http.StatusUnprocessableEntity,
	state.CodeNotFound:       http.StatusNotFound,
	state.CodeUnchanged:      http.StatusConflict,
	state.CodeNeedsForce:     http.StatusConflict,
	state.CodeChangeIDReused: http.StatusUnprocessableEntity,
}

func refusalProblem(r state.Result) *Problem {
	p := newProblem(refusalStatus[r.Err.Code], ProblemCode(r.Err.Code), r.Err.Message)
	p.Fields, p.Version = r.Err.Fields, r.Version
	return p
}

// asProblem converts an error of a handler to a problem document. Errors of unknown type become ProblemUnavailable.
func asProblem(err error) *Problem {
	var problem *Problem
	if errors.As(err, &problem) {
		return problem
	}
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		p := newProblem(http.StatusServiceUnavailable, ProblemNotLeader, err.Error())
		p.Leader = notLeader.Admin
		return p
	}
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		return newProblem(http.StatusGatewayTimeout, ProblemUnknown, err.Error())
	}
	return newProblem(http.StatusServiceUnavailable, ProblemUnavailable, err.Error())
}

func writeProblem(w http.ResponseWriter, p *Problem) error {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	return json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(v)
}
