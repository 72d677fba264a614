package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// http2Pair returns a server of h whose connections count, and a client that sends HTTP/2 to it.
func http2Pair(t *testing.T, budget *ByteBudget, h http.Handler) (*httptest.Server, *http.Transport) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := httptest.NewUnstartedServer(h)
	s.Config.Protocols, s.Config.HTTP2, s.Config.ConnState = protocols, HTTP2Config(), budget.ConnState
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context { return budget.CountConn(ctx) }
	start(t, s)
	only := new(http.Protocols)
	only.SetUnencryptedHTTP2(true)
	client := &http.Transport{Protocols: only}
	t.Cleanup(client.CloseIdleConnections)
	return s, client
}

// Guards against connections that hold memory which the process does not count.
func TestConnectionsCount(t *testing.T) {
	budget := NewByteBudget(64 << 20)
	s, _ := http2Pair(t, budget, http.NotFoundHandler())
	var conns []net.Conn
	for range 3 {
		conns = append(conns, rawConn(t, addressOf(s), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	}
	eventually(t, "the connections count", func() bool { return budget.Held() == 3*connBufferBytes })
	for _, c := range conns {
		c.Close()
	}
	eventually(t, "nothing is held", func() bool { return budget.Held() == 0 })
}

// endless is a body that counts how much of it was read.
type endless struct{ read atomic.Int64 }

func (b *endless) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

// Guards against HTTP/2 callers that make the process hold more than it counts for a connection: bodies that no handler reads.
func TestHTTP2WindowCounts(t *testing.T) {
	const streams = 2
	budget := NewByteBudget(64 << 20)
	entered, release := make(chan struct{}), make(chan struct{})
	s, client := http2Pair(t, budget, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, end := watchSender(w, r)
		defer end()
		entered <- struct{}{}
		<-release
	}))
	body, ended := &endless{}, make(chan error, streams)
	for range streams {
		go func() {
			req, err := http.NewRequest("POST", s.URL, body)
			assert.Check(t, err)
			resp, err := client.RoundTrip(req)
			if err == nil {
				resp.Body.Close()
			}
			ended <- err
		}()
		<-entered // so that the next one uses the same connection
	}
	// A transport reads its next part of a body before it has room for it.
	const ahead = streams * 64 << 10
	eventually(t, "the window is full", func() bool { return body.read.Load() >= http2WindowBytes })
	time.Sleep(100 * time.Millisecond) // for bytes that must not be sent
	assert.Assert(t, body.read.Load() <= http2WindowBytes+ahead, "%d bytes were sent", body.read.Load())
	assert.Equal(t, budget.Held(), int64(connBufferBytes+http2BodyBytes))
	close(release)
	for range streams {
		<-ended
	}
	eventually(t, "only the connection counts", func() bool { return budget.Held() == connBufferBytes })
	eventually(t, "nothing is held", func() bool {
		client.CloseIdleConnections() // the connection is idle when its last stream has ended
		return budget.Held() == 0
	})
}
