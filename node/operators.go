package node

import "github.com/uptrace/bunrouter"

// registerOperators adds the operators' API to the admin listener of a process with the control role.
func (n *Node) registerOperators(*bunrouter.Router) {
}
