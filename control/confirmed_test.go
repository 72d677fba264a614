package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/state"
)

// switchable is a Viewer whose machine a test replaces.
type switchable struct{ atomic.Pointer[machine] }

func (s *switchable) View(f func(*state.State)) { s.Load().View(f) }

// Guards against a restarted process that serves with the configuration before the last acknowledged one: all processes were
// killed, and the restarted control VMs do not know yet that the last change in their logs was accepted. A cut-off control
// VM or peer that has an older version must not be believed meanwhile either.
func TestRestartedProcessWaitsForAConfirmedVersion(t *testing.T) {
	for _, test := range []struct {
		desc string
		// earlier is set if the control VMs are of an earlier build, which offers an unconfirmed state.
		earlier bool
		// stale serves an older version than the restarted control VMs, with an old heartbeat.
		stale string
	}{
		{"restarted", false, ""}, {"earlier build", true, ""}, {"stale control VM", false, "control-3"},
		{"stale control VM, earlier build", true, "control-3"}, {"stale peer", false, "peer"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			for range 20 { // the order of control VMs is random
				synctest.Test(t, func(t *testing.T) {
					const elected = 1500 * time.Millisecond
					newest := &machine{s: state.New()}
					newest.apply(t, "dom-a")
					stale := &machine{s: state.New()}
					stale.apply(t, "dom-a")
					newest.apply(t, "dom-b")
					behind := &machine{s: state.New()}
					behind.apply(t, "dom-a")
					behind.apply(t, "dom-b")
					restarted := &switchable{}
					restarted.Store(behind)
					newest.apply(t, "dom-c")
					servers := memoryCaller{}
					for _, address := range []string{"control-1", "control-2"} {
						servers[address] = NewStateServer(restarted, nil)
						servers[address].ConfirmFirst = !test.earlier
					}
					if test.stale != "" {
						servers[test.stale] = NewStateServer(stale, nil)
						servers[test.stale].ConfirmFirst = !test.earlier
						servers[test.stale].SetHeartbeat(LeaderHeartbeat{Number: 1, Version: 1}, time.Minute)
					}
					time.AfterFunc(elected, func() {
						restarted.Store(newest)
						for _, address := range []string{"control-1", "control-2"} {
							servers[address].SetHeartbeat(LeaderHeartbeat{Number: 2, Version: 3}, 0)
						}
					})
					follower := &Follower{Copy: NewCopy(), Caller: servers, Process: "vm", Wait: 1250 * time.Millisecond}
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					var versions []uint64
					began, took := time.Now(), time.Duration(0)
					follower.Run(ctx, func() ([]string, []string) {
						return []string{"control-1", "control-2", "control-3"}, []string{"peer"}
					}, &observer{onResult: func(PollResult) {
						versions, took = append(versions, follower.Copy.Version()), time.Since(began)
						cancel()
					}})
					assert.DeepEqual(t, versions, []uint64{3})
					assert.Assert(t, took <= elected+time.Second, "took %s", took)
				})
			}
		})
	}
}

// Guards against a process of an earlier build that takes the unconfirmed state of a restarted control VM: it gets none.
func TestUnconfirmedStateIsWithheldFromEarlierBuilds(t *testing.T) {
	m := &machine{s: state.New()}
	m.apply(t, "dom-a")
	server := NewStateServer(m, nil)
	server.ConfirmFirst = true
	for _, request := range []FetchRequest{{Process: "vm"}, {Process: "vm", Peek: true}} {
		reply, err := server.Fetch(t.Context(), request)
		assert.NilError(t, err)
		assert.Equal(t, reply.Version, uint64(0))
		assert.Equal(t, len(reply.Deltas), 0)
		assert.Assert(t, !reply.NeedSnapshot && !reply.confirmed())
	}
	reply, err := server.Fetch(t.Context(), FetchRequest{Process: "vm", Peek: true, ChecksConfirmation: true})
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, uint64(1))
	assert.Assert(t, !reply.confirmed())
	server.SetHeartbeat(LeaderHeartbeat{Number: 2, Version: 1}, 0)
	reply, err = server.Fetch(t.Context(), FetchRequest{Process: "vm"})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Deltas), 1)
}
