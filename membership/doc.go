// Package membership keeps track of the fleet's processes by gossip and decides whether a process may admit requests.
package membership
