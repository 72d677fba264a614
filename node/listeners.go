package node

import (
	"context"
	"crypto/tls"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"rosemaryline.dev/proxy"
	"rosemaryline.dev/proxy/pipeline"
	"rosemaryline.dev/rpc"
)

const (
	// readHeaderTimeout limits how long a client may take to send the headers.
	readHeaderTimeout = 5 * time.Second
	// readTimeout limits how long a caller may take to send headers and body.
	readTimeout = 2 * time.Minute
	// keepAliveTimeout is how long an idle connection stays open.
	keepAliveTimeout = 2 * time.Minute
)

// server is a listener with its HTTP server.
type server struct {
	*http.Server
	name     string
	listener net.Listener
	pipeline *pipeline.Pipeline // nil where pipelined requests are served one after the other
}

func (s *server) serve() error {
	err := s.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s listener", s.name)
}

// listen opens the listeners in the order in which they are shut down. Caller listeners are first. The local listener
// follows the peer listener, because requests that are still running may make nested calls.
func (n *Node) listen(peer net.Listener) error {
	o := &n.opts
	if o.CallerListen != "" {
		if err := n.openListener("caller", o.CallerListen, n.entry, o.CallerTLS); err != nil {
			peer.Close()
			return err
		}
	}
	for _, l := range o.Listeners {
		if err := n.openListener(l.Name, l.Address, l.Handler(n), nil); err != nil {
			peer.Close()
			return err
		}
	}
	n.addServer("peer", peer, n.peerHandler(), o.PeerServerTLS)
	if o.LocalListen != "" {
		if err := n.openListener("local", o.LocalListen, n.localHandler(), nil); err != nil {
			return err
		}
	}
	if o.AdminListen == "" {
		return nil
	}
	return n.openListener("admin", o.AdminListen, n.adminHandler(), nil)
}

func (n *Node) openListener(name, address string, h http.Handler, tlsConfig *tls.Config) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", name)
	}
	n.addServer(name, listener, h, tlsConfig)
	return nil
}

func (n *Node) addServer(name string, listener net.Listener, h http.Handler, tlsConfig *tls.Config) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	if name == "caller" {
		protocols.SetHTTP2(true)
		protocols.SetUnencryptedHTTP2(true)
	}
	var pipelined *pipeline.Pipeline
	if name == "caller" && tlsConfig == nil {
		pipelined = pipeline.New(h, n.entry.Repeatable, n.logPanic)
		pipelined.SetBudget(n.bytes)
		listener = pipelined.Listener(listener)
		h = pipelined
	}
	s := &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    n.opts.MaxHeaderBytes,
		Protocols:         protocols,
		HTTP2:             proxy.HTTP2Config(),
		ConnState:         n.bytes.ConnState,
		ErrorLog:          n.opts.Log.Std("", 0),
	}
	if name == "caller" {
		s.ReadTimeout = readTimeout
	}
	if name == "caller" {
		s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			if pipelined != nil {
				ctx = pipelined.ConnContext(ctx, c)
			}
			return n.bytes.CountConn(ctx)
		}
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, withProtocols(tlsConfig, name == "caller"))
	}
	n.servers = append(n.servers, &server{Server: s, name: name, listener: listener, pipeline: pipelined})
}

// logPanic logs a panic of the handler of a request.
func (n *Node) logPanic(value any, stack []byte) {
	n.opts.Log.Error().Str("panic", fmt.Sprint(value)).Bytes("stack", stack).Msg("entry: request handler failed.")
}

// logCallPanic logs a panic of the handler of a call between processes.
func (n *Node) logCallPanic(value any, stack []byte) {
	n.opts.Log.Error().Str("panic", fmt.Sprint(value)).Bytes("stack", stack).Msg("rpc: call handler failed.")
}

// withProtocols returns a copy of cfg that offers HTTP/1.1 and, if http2 is set, HTTP/2.
func withProtocols(cfg *tls.Config, http2 bool) *tls.Config {
	cfg = cfg.Clone()
	cfg.NextProtos = []string{"http/1.1"}
	if http2 {
		cfg.NextProtos = []string{"h2", "http/1.1"}
	}
	return cfg
}

// address returns the address of a listener, or "" if there is no such listener.
func (n *Node) address(name string) string {
	for _, s := range n.servers {
		if s.name == name {
			return s.listener.Addr().String()
		}
	}
	return ""
}

// CallerAddress returns the address that the process listens on for callers, or "".
func (n *Node) CallerAddress() string { return n.address("caller") }

// PeerAddress returns the address that peers use.
func (n *Node) PeerAddress() string { return n.opts.PeerAddress }

// LocalAddress returns the address for backend servers on this VM, or "".
func (n *Node) LocalAddress() string { return n.address("local") }

// AdminAddress returns the address for operators and monitoring, or "".
func (n *Node) AdminAddress() string { return n.address("admin") }

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(rpc.Path, n.rpc)
	mux.Handle(proxy.GatePath, &proxy.GateHandler{Gate: n.gate, MaxBufferedBody: n.opts.MaxBufferedBody, MaxKeyedBody: n.opts.MaxKeyedBody,
		Bytes: n.bytes, Reports: n.reports})
	return mux
}

func (n *Node) localHandler() http.Handler {
	router := bunrouter.New(bunrouter.WithNotFoundHandler(bunrouter.HTTPHandlerFunc(n.entry.ServeNested)),
		bunrouter.WithMethodNotAllowedHandler(bunrouter.HTTPHandlerFunc(n.entry.ServeNested)))
	proxy.RegisterAnnouncements(router, n.announcer)
	return router
}

func (n *Node) adminHandler() http.Handler {
	router := bunrouter.New()
	router.GET("/debug/vars", bunrouter.HTTPHandler(expvar.Handler()))
	router.GET("/metrics", bunrouter.HTTPHandler(http.HandlerFunc(ServeMetrics)))
	router.GET("/livez", func(w http.ResponseWriter, _ bunrouter.Request) error {
		_, err := w.Write([]byte("ok\n"))
		return err
	})
	router.GET("/readyz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		if !n.Ready() {
			http.Error(w, "not ready: "+n.notReadyReason(), http.StatusServiceUnavailable)
			return nil
		}
		_, err := w.Write([]byte("ok\n"))
		return err
	})
	n.registerOperators(router)
	return router
}

// ServeMetrics writes the process's counters and histograms in the Prometheus text format.
func ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
}

func (n *Node) notReadyReason() string {
	if n.fleet.Version() == 0 {
		return "no fleet state yet"
	}
	return string(n.gossip.denial(n.fleet.Version()))
}
