// Package rpc sends JSON-RPC 2.0 calls between the processes of the fleet. A connection starts as an HTTP/1.1 request to the
// peer listener, which upgrades it. Peers therefore need only one listener and one TLS configuration for forwarded HTTP
// requests and for calls.
package rpc

import "time"

const (
	// Path is the URL path at which the peer listener accepts upgrades.
	Path = "/v1/rpc"
	// Protocol is the value of the Upgrade header: the name and the version of the protocol. The version increases with each
	// incompatible change of the messages.
	Protocol = "rosemaryline-rpc/2"
	// MaxMessageBytes is the size limit of one message as JSON text. A receiver closes the connection on a larger one.
	MaxMessageBytes = 16 << 20
	// handshakeTimeout bounds each of two steps: connecting with the TLS handshake, and the upgrade.
	handshakeTimeout = 2 * time.Second
	// maxHandshakeBytes bounds the response to the upgrade request. A server of another kind could send an endless one.
	maxHandshakeBytes = 64 << 10
	// writeTimeout bounds one write, so that a peer that stops reading cannot block a sender.
	writeTimeout = 2 * time.Second
	// idleTimeout is the time without received data after which a connection is closed.
	idleTimeout = 2 * time.Minute
	// maxRunningPerConn bounds the handlers that run concurrently for one connection.
	maxRunningPerConn = 64
	// maxClientPeers bounds the peers to which a Client keeps a connection.
	maxClientPeers = 128
)
