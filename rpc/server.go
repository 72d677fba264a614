package rpc

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// HandlerFunc handles one call. peer is the remote address of the connection.
type HandlerFunc func(ctx context.Context, peer string, params json.RawMessage) (any, error)

// Server accepts upgraded connections and dispatches calls by method name.
type Server struct {
	mu       sync.Mutex // guards handlers and conns
	handlers map[string]HandlerFunc
	conns    map[*jsonrpc2.Conn]struct{}
	closed   bool
}

// NewServer returns a Server without methods.
func NewServer() *Server {
	return &Server{
		handlers: map[string]HandlerFunc{},
		conns:    map[*jsonrpc2.Conn]struct{}{},
	}
}

// Handle registers a handler for a method.
func (s *Server) Handle(method string, h HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// Register registers a typed handler for a method.
func Register[Req, Resp any](s *Server, method string, f func(ctx context.Context, peer string, req Req) (Resp, error)) {
	s.Handle(method, func(ctx context.Context, peer string, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, &RemoteError{Code: CodeInvalid, Message: "params: " + err.Error()}
		}
		return f(ctx, peer, req)
	})
}

// ServeHTTP upgrades the connection. Another protocol version is refused with 426, which names the version spoken.
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
	stream := newStream(conn, buffered.Reader)
	const accepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\n\r\n"
	if _, err := conn.Write([]byte(accepted)); err != nil {
		conn.Close()
		return
	}
	s.serve(stream, r.RemoteAddr)
}

func (s *Server) serve(stream jsonrpc2.ObjectStream, peer string) {
	h := &connHandler{server: s, peer: peer, running: make(chan struct{}, maxRunningPerConn)}
	// The context of the handlers ends with the connection.
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

func (s *Server) track(conn *jsonrpc2.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// Close closes all connections; later ones are refused.
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

type connHandler struct {
	server  *Server
	peer    string
	running chan struct{}
}

// Handle runs the call in its own goroutine. It blocks the connection while too many calls run.
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
		// A failing reply means that the connection is gone, which the caller sees itself.
		_ = conn.ReplyWithError(ctx, req.ID, toWire(err))
		return
	}
	if err := conn.Reply(ctx, req.ID, result); errors.Is(err, ErrMessageTooLarge) {
		// The caller would wait until its deadline otherwise.
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
	result, err := f(ctx, h.peer, *req.Params)
	return result, errors.WithMessage(err, req.Method)
}

type discardLogger struct{}

// Printf drops the library's messages: every error also reaches the caller as a value.
func (discardLogger) Printf(string, ...any) {}
