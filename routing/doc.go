// Package routing matches requests to routes and chooses the VM and backend server that run them.
package routing
