package node

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/control"
)

// Guards against an explanation by the wrong entry, and against an unknown VM that gives an empty one.
func TestExplainAsksTheEntryOfTheVM(t *testing.T) {
	f := startIsolationFleet(t)
	for _, n := range f.proxies {
		f.waitServing(n)
	}
	q := control.ExplainQuery{Service: "svc", VM: f.proxies[1].opts.Name}
	list, err := f.control.control.Explain(context.Background(), q)
	assert.NilError(t, err)
	chosen := ""
	for _, c := range list {
		assert.Assert(t, c.Reason != "", "%+v", c)
		if c.Reason == "chosen: own-vm" {
			chosen = c.VM
		}
	}
	assert.Equal(t, chosen, q.VM)
	q.VM = "nowhere"
	_, err = f.control.control.Explain(context.Background(), q)
	var problem *control.Problem
	assert.Assert(t, errors.As(err, &problem) && problem.Code == control.ProblemNotFound, "%v", err)
}
