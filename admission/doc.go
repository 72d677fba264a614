// Package admission decides when a request may use a slot of a backend server.
package admission
