package node

import (
	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
)

// newestState is the control.Viewer of a control VM: the replicated state or the process's copy, whichever is newer.
// The copy is newer while the control VM is cut off from the leader, or has joined the group a moment ago, and follows
// a peer. A heartbeat from that peer must not be passed on without the version that it carries.
type newestState struct {
	machine *controlMachine
	copy    *control.Copy
}

// View implements control.Viewer.
func (n newestState) View(f func(s *state.State)) {
	var replicated uint64
	n.machine.View(func(s *state.State) { replicated = s.Version() })
	if n.copy.Version() > replicated {
		n.copy.View(f)
		return
	}
	n.machine.View(f)
}
