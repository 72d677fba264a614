package control

import (
	"net"

	"github.com/pkg/errors"
)

// failure describes what a Client can do after a failed attempt.
type failure struct {
	// permanent means that another attempt would fail in the same way.
	permanent bool
	// mayHaveRun means that the request may have taken effect.
	mayHaveRun bool
	// leader is the admin address of the control leader, to be tried next. It is empty if it is not known.
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
	return failure{permanent: true}
}

// isDialError reports whether the connection could not be opened, so that no byte of the request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
