package rpc

import (
	"context"
	"encoding/json"
	"net/http"
	"runtime/debug"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// HandlerFunc handles one call and returns its result. peer is the remote address of the connection. ctx ends when the
// connection closes. An error without a *RemoteError in its chain reaches the caller with CodeInternal.
type HandlerFunc func(ctx context.Context, peer string, params json.RawMessage) (any, error)

// Server is an http.Handler that upgrades connections and dispatches the calls on them by method name.
type Server struct {
	// Traffic counts the replies sent. Set it before the first connection. Default: not counted.
	Traffic *Traffic
	// OnPanic is called for each panic of a handler, whose caller gets an error. It may be called concurrently. Set it before
	// the first connection. Default: no call.
	OnPanic func(value any, stack []byte)

	mu       sync.Mutex // guards the fields below
	handlers map[string]HandlerFunc
	conns    map[*jsonrpc2.Conn]struct{}
	closed   bool // no connection is accepted after Close
}

// NewServer returns a Server without handlers.
func NewServer() *Server {
	return &Server{
		handlers: map[string]HandlerFunc{},
		conns:    map[*jsonrpc2.Conn]struct{}{},
	}
}

// Handle registers the handler of a method and replaces an earlier one.
func (s *Server) Handle(method string, h HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// Register registers a handler that gets its params decoded from JSON. Params that cannot be decoded give the caller
// CodeInvalid.
func Register[Req, Resp any](s *Server, method string, f func(ctx context.Context, peer string, req Req) (Resp, error)) {
	s.Handle(method, func(ctx context.Context, peer string, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, &RemoteError{Code: CodeInvalid, Message: "params: " + err.Error()}
		}
		return f(ctx, peer, req)
	})
}

// ServeHTTP upgrades the connection and serves calls until it closes. It responds with status 426 to another protocol
// version; the response's Upgrade header has the supported one.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != Protocol {
		w.Header().Set("Upgrade", Protocol)
		http.Error(w, "this peer speaks "+Protocol, http.StatusUpgradeRequired)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "upgrade needs HTTP/1.1", http.StatusHTTPVersionNotSupported)
		return
	}
	stream := newStream(conn, buffered.Reader, s.Traffic)
	const accepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\n\r\n"
	if _, err := conn.Write([]byte(accepted)); err != nil {
		conn.Close()
		return
	}
	s.serve(stream, r.RemoteAddr)
}

func (s *Server) serve(stream jsonrpc2.ObjectStream, peer string) {
	h := &connHandler{server: s, peer: peer, running: make(chan struct{}, maxRunningPerConn)}
	// jsonrpc2 cancels the context of the handlers when the connection closes.
	conn := jsonrpc2.NewConn(context.Background(), stream, h, jsonrpc2.SetLogger(discardLogger{}))
	if !s.track(conn) {
		conn.Close()
		return
	}
	<-conn.DisconnectNotify()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// track adds a connection to those that Close closes. It returns false after Close.
func (s *Server) track(conn *jsonrpc2.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// Close closes all connections. Connections that are upgraded later are closed at once.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}

func (s *Server) lookup(method string) (HandlerFunc, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.handlers[method]
	return h, ok
}

// connHandler handles the calls on one connection.
type connHandler struct {
	server  *Server
	peer    string
	running chan struct{} // holds one element per running handler
}

// Handle runs the call in its own goroutine. It blocks while maxRunningPerConn handlers run, so that no further call is read
// from the connection.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.running <- struct{}{}
	go func() {
		defer func() { <-h.running }()
		h.dispatch(ctx, conn, req)
	}()
}

func (h *connHandler) dispatch(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := h.call(ctx, req)
	if req.Notif {
		return
	}
	if err != nil {
		// A reply fails only if the connection is lost, which the caller notices itself.
		_ = conn.ReplyWithError(ctx, req.ID, toWire(err))
		return
	}
	if err := conn.Reply(ctx, req.ID, result); errors.Is(err, ErrMessageTooLarge) {
		// Without a reply the caller would wait until its deadline.
		_ = conn.ReplyWithError(ctx, req.ID, toWire(errors.WithMessage(err, req.Method)))
	}
}

func (h *connHandler) call(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	f, ok := h.server.lookup(req.Method)
	if !ok {
		return nil, &RemoteError{Code: CodeNoMethod, Message: "no method " + req.Method}
	}
	if req.Params == nil {
		return nil, &RemoteError{Code: CodeInvalid, Message: "params are missing"}
	}
	result, err := h.server.callSafely(ctx, f, h.peer, *req.Params)
	return result, errors.WithMessage(err, req.Method)
}

// callSafely calls a handler and turns a panic into an error, so that a message that a handler does not expect ends one call and
// not the process.
func (s *Server) callSafely(ctx context.Context, f HandlerFunc, peer string, params json.RawMessage) (result any, err error) {
	defer func() {
		if value := recover(); value != nil {
			s.reportPanic(value)
			result, err = nil, errors.Errorf("handler failed: %v", value)
		}
	}()
	return f(ctx, peer, params)
}

func (s *Server) reportPanic(value any) {
	handlerPanics.Inc()
	if s.OnPanic != nil {
		s.OnPanic(value, debug.Stack())
	}
}

// handlerPanics counts the panics of the handlers of calls and datagrams.
var handlerPanics = metrics.NewCounter("rosemaryline_rpc_handler_panics_total")

// discardLogger discards the log messages of jsonrpc2: each error also reaches the caller as a value.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
