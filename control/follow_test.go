package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// observer is an Observer that counts failed polls and calls onResult, if it is set, after each successful one.
type observer struct {
	onResult func(PollResult)
	failures int
}

func (o *observer) PollSucceeded(result PollResult) {
	if o.onResult != nil {
		o.onResult(result)
	}
}

func (o *observer) PollFailed(string, error) { o.failures++ }

func (o *observer) Switched(Switch) {}

// partitionedCaller serves polls in a fleet in which control-1 and control-3 no longer respond, control-2 serves
// stateServer, and the peer has no newer version.
type partitionedCaller struct{ stateServer *StateServer }

func (c partitionedCaller) Call(ctx context.Context, address, _ string, params, result any) error {
	request := params.(FetchRequest)
	switch address {
	case "control-1", "control-3":
		<-ctx.Done()
		return ctx.Err()
	case "control-2":
		reply, err := c.stateServer.Fetch(ctx, request)
		*result.(*FetchReply) = reply
		return err
	default:
		time.Sleep(time.Duration(request.WaitMillis) * time.Millisecond)
		return nil
	}
}

// Guards against a process that keeps an old version for more than 2 s after the control VM that it polls and another
// one stop responding: it waited for the timeout of each poll in turn, and for a peer that had no newer version either.
// A randomized fault test found this at the loss of a failure domain with two control VMs (glashelder-mesh, mix with
// seed 403892421850).
func TestFollowerLeavesSilentControlVMInTime(t *testing.T) {
	for range 20 { // the order of control VMs is random
		synctest.Test(t, func(t *testing.T) {
			newer := &machine{s: state.New()}
			newer.apply(t, "dom-a")
			f := &Follower{Copy: NewCopy(), Caller: partitionedCaller{NewStateServer(newer, nil)}, Process: "vm", Wait: 1250 * time.Millisecond}
			deltas, ok := newer.s.Since(0)
			assert.Assert(t, ok)
			_, err := f.Copy.Apply(deltas)
			assert.NilError(t, err)
			newer.apply(t, "dom-b")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			began := time.Now()
			took := time.Duration(0)
			targets := func() (controlVMs, peers []string) {
				return []string{"control-1", "control-2", "control-3"}, []string{"peer"}
			}
			f.Run(ctx, targets, &observer{onResult: func(result PollResult) {
				if result.Advanced {
					took = time.Since(began)
					cancel()
				}
			}})
			assert.Assert(t, took <= 2*time.Second, "took %s", took)
		})
	}
}

// machine is a Viewer of a fleet state to which a test applies commands.
type machine struct{ s *state.State }

func (m *machine) View(f func(*state.State)) { f(m.s) }

func (m *machine) apply(t *testing.T, domain string) {
	change := config.Change{}
	change.Domains.Set = map[string]config.Domain{domain: {Region: "region"}}
	apply := &state.ApplyChange{Change: change, ContentHash: change.Hash()}
	command := state.Command{ChangeID: domain, Operator: "o", BaseVersion: m.s.Version(), Apply: apply}
	data, err := command.Encode()
	assert.NilError(t, err)
	before := m.s.Version()
	m.s.Apply(data)
	assert.Equal(t, m.s.Version(), before+1)
}
