// Package control serves the operators' HTTP API, distributes versions of the fleet state to the processes, and decides
// which versions are in force. A version is in force when no process can still admit requests with an earlier one.
package control
