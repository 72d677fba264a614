package control

import (
	"net"

	"github.com/pkg/errors"
)

// failure tells what a Client can do about a failed attempt.
type failure struct {
	// final means that another attempt would fail in the same way.
	final bool
	// mayHaveRun means that the request may have taken effect.
	mayHaveRun bool
	// leader is the address to try next; it is empty where none is known.
	leader string
}

func classify(err error) failure {
	var problem *Problem
	if !errors.As(err, &problem) {
		return failure{mayHaveRun: !isDialError(err)}
	}
	switch problem.Code {
	case ProblemNotLeader:
		return failure{leader: problem.Leader}
	case ProblemUnavailable:
		return failure{}
	case ProblemUnknown:
		return failure{mayHaveRun: true}
	}
	return failure{final: true}
}

// isDialError reports an error that arose before any byte was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
