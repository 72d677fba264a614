// Package control serves operators over HTTP, distributes fleet state to processes by version, and decides which
// versions are in force.
package control
