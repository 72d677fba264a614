// Package rpc connects processes of the fleet by jsonrpc2. A connection starts as an HTTP/1.1 request on the peer
// listener that is upgraded, so that peers need one listener and one TLS configuration for requests and messages.
package rpc

import "time"

const (
	// Path is where the peer listener accepts upgrades.
	Path = "/v1/rpc"
	// Protocol is the value of the Upgrade header. It changes when messages change incompatibly.
	Protocol = "rosemaryline-rpc/2"
	// MaxMessageBytes bounds one message. Larger ones close the connection.
	MaxMessageBytes = 16 << 20
	// handshakeTimeout bounds connecting, the TLS handshake and the upgrade.
	handshakeTimeout = 2 * time.Second
	// maxHandshakeBytes bounds the answer to the upgrade, which a peer of another kind may send without end.
	maxHandshakeBytes = 64 << 10
	// writeTimeout bounds one write, so that a frozen peer cannot block a sender.
	writeTimeout = 2 * time.Second
	// idleTimeout closes a connection on which the peer sent nothing.
	idleTimeout = 2 * time.Minute
	// maxRunningPerConn bounds the handlers that run at once for one connection.
	maxRunningPerConn = 64
	// maxIdlePeers bounds the connections that a Client keeps.
	maxIdlePeers = 128
)
