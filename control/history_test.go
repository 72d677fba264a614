package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/state"
)

// configInput is a read of the configuration or, with apply, a change of a team's rate on a base version.
type configInput struct {
	apply bool
	base  uint64
	rate  float64
}

type configOutput struct {
	conflict bool
	version  uint64
	rate     float64
}

type configState struct {
	version uint64
	rate    float64
}

// configModel is a register that is set by compare-and-swap on its version.
var configModel = porcupine.Model{
	Init: func() any { return configState{version: 1, rate: 5} },
	Step: func(before, input, output any) (bool, any) {
		s, in, out := before.(configState), input.(configInput), output.(configOutput)
		switch {
		case !in.apply:
			return out.version == s.version && out.rate == s.rate, s
		case out.conflict:
			return in.base < s.version, s
		}
		return in.base == s.version && out.version == s.version+1, configState{out.version, in.rate}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v: %+v", input, output) },
}

// Guards against two changes that are accepted on the same base version, reads that miss an acknowledged change, and
// changes that run twice because the client sent them again after a lost response.
func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	const operators, rounds = 6, 25
	fleet := newMemFleet()
	client := startAPI(t, fleet, Options{})
	fleet.lossy = true
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(id int, in configInput, run func() configOutput) configOutput {
		call := time.Since(start).Nanoseconds()
		out := run()
		end := time.Since(start).Nanoseconds()
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: end})
		return out
	}
	var wg sync.WaitGroup
	for id := range operators {
		wg.Go(func() {
			c := client("operator-secret")
			rnd := rand.New(rand.NewPCG(1, uint64(id)))
			seen := configOutput{version: 1}
			for round := range rounds {
				if rnd.IntN(3) == 0 {
					seen = record(id, configInput{}, func() configOutput { return readRate(t, c) })
					continue
				}
				in := configInput{apply: true, base: seen.version, rate: float64(1000*id + round + 1)}
				out := record(id, in, func() configOutput { return applyRate(t, c, fmt.Sprint(id, "-", round), in) })
				seen.version = max(seen.version, out.version)
			}
		})
	}
	wg.Wait()
	conflicts := 0
	for _, op := range history {
		if op.Output.(configOutput).conflict {
			conflicts++
		}
	}
	t.Logf("%d operations, %d conflicts, final version %d", len(history), conflicts, fleet.state.Version())
	assert.Assert(t, conflicts > 0 && fleet.state.Version() > 1)
	assert.Assert(t, porcupine.CheckOperations(configModel, history))
}

func readRate(t *testing.T, c *Client) configOutput {
	var reply ConfigReply
	if err := c.Get(context.Background(), "/v1/config", nil, &reply); err != nil {
		t.Error(err)
		return configOutput{}
	}
	return configOutput{version: reply.Version, rate: reply.Document.Teams["blue"].Rate}
}

func applyRate(t *testing.T, c *Client, id string, in configInput) configOutput {
	request := ApplyRequest{Envelope{ChangeID: id, BaseVersion: in.base}, *applyCommand(teamChange("blue", in.rate))}
	reply, err := c.Change(context.Background(), "/v1/config", request)
	var problem *Problem
	if errors.As(err, &problem) && problem.Code == ProblemCode(state.CodeConflict) {
		return configOutput{conflict: true, version: problem.Version}
	}
	if err != nil {
		t.Error(err)
	}
	return configOutput{version: reply.Version}
}
