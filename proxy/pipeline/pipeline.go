package pipeline

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// earlyRequests counts the requests that were started before net/http had served those before them.
var earlyRequests = metrics.NewCounter("rosemaryline_pipelined_requests_total")

// maxEarly limits the requests of one connection that run beside the oldest one.
const maxEarly = 8

// Pipeline is the handler of an http.Server together with its listener. The server's ConnContext must be set to the method of
// that name. It has no effect on HTTP/2.
type Pipeline struct {
	handler http.Handler
	// repeatable reports whether a request may run more than once.
	repeatable func(*http.Request) bool
	// logPanic is called for a panic of the handler while it serves a request that was started early.
	logPanic func(value any, stack []byte)
	budget   Budget
	stopped  atomic.Bool
}

// New returns a Pipeline that serves requests by handler. repeatable and logPanic may be called concurrently.
func New(handler http.Handler, repeatable func(*http.Request) bool, logPanic func(value any, stack []byte)) *Pipeline {
	return &Pipeline{handler: handler, repeatable: repeatable, logPanic: logPanic, budget: unlimited{}}
}

// Listener returns a listener whose connections are read ahead.
func (p *Pipeline) Listener(inner net.Listener) net.Listener { return &listener{inner, p} }

type listener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c, l.pipeline), nil
}

// Stop ends the early start of requests. Call it before the server shuts down: it closes each connection after the response
// to the oldest request.
func (p *Pipeline) Stop() { p.stopped.Store(true) }

func (p *Pipeline) mayStart(r *http.Request) bool { return !p.stopped.Load() && p.repeatable(r) }

type connKey struct{}

// ConnContext is the ConnContext of the http.Server.
func (p *Pipeline) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ServeHTTP serves the next request of a connection: with the response that is already there, or by the handler.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || r.ProtoMajor != 1 {
		p.handler.ServeHTTP(w, r)
		return
	}
	// While further requests are buffered, net/http does not notice that the client has left.
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(c.gone, cancel)()
	oldest := c.begin(r)
	defer c.finish(oldest)
	if oldest != nil && oldest.ambiguous {
		// Another process on the way may have read another body, so nothing behind this request can be trusted either.
		w.Header().Set("Connection", "close")
		http.Error(w, "both Content-Length and Transfer-Encoding", http.StatusBadRequest)
		return
	}
	if oldest == nil || oldest.early == nil {
		p.handler.ServeHTTP(w, r.WithContext(ctx))
		return
	}
	oldest.early.copyTo(w)
}

// runEarly serves a request that was started early.
func (p *Pipeline) runEarly(r *http.Request, rec *recorder) {
	defer func() {
		value := recover()
		if value != nil && value != http.ErrAbortHandler {
			p.logPanic(value, debug.Stack())
		}
		rec.end(value != nil)
	}()
	p.handler.ServeHTTP(rec, r)
}
