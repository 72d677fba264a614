package node

import (
	"net/http"
	"testing"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/routing"
)

// Guards against backend servers that get no requests for the whole time in which callers are sent elsewhere: while VMs are
// restarted one after the other, most of a service would be out of use. A process that sends its callers elsewhere is not
// ready, and its gate still serves the other VMs until the process leaves.
func TestGateServesWhileCallersAreSentElsewhere(t *testing.T) {
	f := startIsolationFleet(t)
	for _, n := range f.proxies {
		f.waitServing(n)
	}
	for _, n := range f.proxies[1:] {
		n.SendCallersElsewhere()
		assert.Assert(t, !n.Ready())
		assert.Assert(t, n.Gate().Load("svc").Slots > 0)
	}
	for _, h := range f.proxies[0].directory.Hosts("svc") {
		assert.Equal(t, h.State, routing.StateServing, h.VM)
	}
	for range 20 {
		status, err := f.status(f.proxies[0])
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	f.proxies[0].Gate().Leave()
	status, err := f.status(f.proxies[0])
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK) // from the gate of another VM, which sends its own callers elsewhere
}

// Guards against a panic of a process that is stopping: its group sends the first message to a member after all other parts
// of the process have ended.
func TestRaftMessageAfterTheEndIsDropped(t *testing.T) {
	var ended tomb.Tomb
	ended.Go(func() error { return nil })
	assert.NilError(t, ended.Wait())
	transport := newRaftTransport(groupControl, "127.0.0.1:1", nil, nil, &ended)
	transport.Send(7, raft.Message{})
}
