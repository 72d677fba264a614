package proxy

import (
	"net"
	"net/http"
)

// resetOnAbort is deferred by the handler of a caller that cannot tell a part of a response from the whole, because only the end of the
// connection marks the end: that of an HTTP/1.0 request. If the handler panics to abort the response, the connection is reset. net/http
// would close it regularly.
func resetOnAbort(w http.ResponseWriter) {
	value := recover()
	if value == nil {
		return
	}
	// Only test writers cannot be hijacked; the HTTP/1 writers of net/http can.
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		reset(conn)
	}
	panic(value)
}

// reset closes a connection so that its peer sees an error and no regular end.
func reset(conn net.Conn) {
	socket := conn
	for {
		outer, ok := socket.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		socket = outer.NetConn()
	}
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	socket.Close() // before conn, which would end a TLS connection regularly
	conn.Close()
}
