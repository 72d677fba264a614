package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout ends a test that waits for something that does not happen.
const testTimeout = 20 * time.Second

// serve serves h with a Pipeline and returns a connection of a client. GET requests may run more than once.
func serve(t *testing.T, h http.HandlerFunc, budget ...Budget) (*Pipeline, net.Conn) {
	t.Helper()
	p := New(h, func(r *http.Request) bool { return r.Method == http.MethodGet }, func(value any, _ []byte) { t.Log("panic:", value) })
	for _, b := range budget {
		p.SetBudget(b)
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: p, ConnContext: p.ConnContext, ReadHeaderTimeout: testTimeout}
	done := make(chan struct{})
	go func() {
		server.Serve(p.Listener(inner))
		close(done)
	}()
	client, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, client.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() {
		client.Close()
		server.Close()
		<-done
	})
	return p, client
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func write(t *testing.T, c net.Conn, texts ...string) {
	t.Helper()
	_, err := io.WriteString(c, strings.Join(texts, ""))
	assert.NilError(t, err)
}

// readBodies returns the bodies of the next n responses.
func readBodies(t *testing.T, r *bufio.Reader, n int) (bodies []string) {
	t.Helper()
	for range n {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		bodies = append(bodies, string(body))
	}
	return bodies
}

// Guards against requests of one connection that run one after the other, and against responses in the order in which they
// are ready. The handlers end in the reverse order of the requests, each only after the one behind it.
func TestResponsesLeaveInTheOrderOfTheRequests(t *testing.T) {
	const n = maxEarly + 1
	ended := make([]chan struct{}, n+1)
	for i := range ended {
		ended[i] = make(chan struct{})
	}
	close(ended[n])
	_, c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		var i int
		fmt.Sscanf(r.URL.Path, "/%d", &i)
		<-ended[i+1]
		fmt.Fprint(w, r.URL.Path)
		close(ended[i])
	})
	var want []string
	for i := range n {
		write(t, c, get(fmt.Sprintf("/%d", i)))
		want = append(want, fmt.Sprintf("/%d", i))
	}
	assert.DeepEqual(t, readBodies(t, bufio.NewReader(c), n), want)
}

// Guards against a request that may not be repeated and runs beside others of its connection, and against one behind it that
// starts before it has ended.
func TestUnsafeRequestRunsAlone(t *testing.T) {
	var running, most atomic.Int32
	_, c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		if r.Method == http.MethodPost {
			most.Store(max(most.Load(), now))
			time.Sleep(20 * time.Millisecond)
			most.Store(max(most.Load(), running.Load()))
		}
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, r.URL.Path, string(body))
	})
	write(t, c, get("/1"), get("/2"), post("/3", "body"), get("/4"), get("/5"), post("/6", ""), get("/7"))
	chunked := "POST /8 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	write(t, c, chunked, get("/9"), get("/10"))
	assert.DeepEqual(t, readBodies(t, bufio.NewReader(c), 10), []string{"/1", "/2", "/3body", "/4", "/5", "/6", "/7", "/8ab", "/9", "/10"})
	assert.Equal(t, most.Load(), int32(1))
}

// Guards against a response behind one that closes the connection, and against requests behind it that go on running.
func TestNothingIsAnsweredBehindAClose(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	_, c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			close(started)
			<-r.Context().Done()
			close(cancelled)
			return
		}
		<-started
		w.Header().Set("Connection", "close")
		fmt.Fprint(w, r.URL.Path)
	})
	write(t, c, get("/1"), get("/2"))
	reader := bufio.NewReader(c)
	assert.DeepEqual(t, readBodies(t, reader, 1), []string{"/1"})
	_, err := reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	<-cancelled
}

// Guards against requests that go on running after their client has left, also those behind the first.
func TestRequestsEndWithTheirClient(t *testing.T) {
	var started, cancelled sync.WaitGroup
	started.Add(3)
	cancelled.Add(3)
	_, c := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		started.Done()
		<-r.Context().Done()
		cancelled.Done()
	})
	write(t, c, get("/1"), get("/2"), get("/3"))
	started.Wait()
	c.Close()
	cancelled.Wait()
}

// Guards against a request whose body was not read and that goes on running after its client has left.
func TestRequestWithUnreadBodyEndsWithItsClient(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	_, c := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	write(t, c, post("/1", "body"))
	<-started
	c.Close()
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the request was not cancelled")
	}
}

// Guards against memory that grows with a client that sends requests and reads no response.
func TestClientThatNeverReadsIsBounded(t *testing.T) {
	var started atomic.Int32
	_, c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		started.Add(1)
		part := make([]byte, maxKeptBytes)
		for range 1000 {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	assert.NilError(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
	const input = 64 << 20 // bytes, more than the buffers of the socket
	requests := strings.Repeat(get("/"), 1000)
	sent := 0
	for sent < input {
		n, err := io.WriteString(c, requests)
		sent += n
		if err != nil {
			break
		}
	}
	assert.Assert(t, sent < input, "the whole input was read")
	assert.Assert(t, started.Load() <= maxEarly+1, "%d requests were started", started.Load())
}

// Guards against a malformed request in the middle of a pipeline that ends the process, costs the response before it, or is
// skipped.
func TestMalformedRequestInTheMiddle(t *testing.T) {
	for _, malformed := range []string{"GET /2 HTTP/9.9\r\n\r\n", "\x00\x01\r\n\r\n", "GET /2 HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n",
		"GET /2 HTTP/1.1\r\nHost: h\r\nX: a\x01b\r\n\r\n", "GET /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"} {
		var served atomic.Int32
		_, c := serve(t, func(w http.ResponseWriter, r *http.Request) {
			served.Add(1)
			fmt.Fprint(w, r.URL.Path)
		})
		write(t, c, get("/1"), malformed, get("/3"))
		reader := bufio.NewReader(c)
		assert.DeepEqual(t, readBodies(t, reader, 1), []string{"/1"})
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "%q", malformed)
		assert.Assert(t, resp.StatusCode >= 400, "%q got status %d", malformed, resp.StatusCode)
		resp.Body.Close()
		assert.Equal(t, served.Load(), int32(1), "%q", malformed)
	}
}

// Guards against a handler's panic in a request that was started early: it must not end the process, and its response must
// not look complete.
func TestPanicBehindTheFirstRequest(t *testing.T) {
	second := make(chan struct{})
	_, c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			<-second
			fmt.Fprint(w, r.URL.Path)
		default:
			defer close(second)
			w.Header().Set("Content-Length", "10")
			fmt.Fprint(w, "part")
			panic("a fault of the handler")
		}
	})
	write(t, c, get("/1"), get("/2"))
	reader := bufio.NewReader(c)
	assert.DeepEqual(t, readBodies(t, reader, 1), []string{"/1"})
	resp, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	assert.Assert(t, err != nil, "a response that broke off looks complete")
}

// Guards against a response larger than what is kept that is cut or reordered, and against chunks that are only sent at the
// end.
func TestLongResponseBehindTheFirstRequest(t *testing.T) {
	const size = 10 * maxKeptBytes
	release := make(chan struct{})
	_, c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-release
			return
		}
		for i := range size / 1024 {
			w.Write(bytes.Repeat([]byte{byte('a' + i%26)}, 1024))
		}
	})
	write(t, c, get("/1"), get("/2"))
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	bodies := readBodies(t, bufio.NewReader(c), 2)
	assert.Equal(t, len(bodies[1]), size)
	for i := range size / 1024 {
		assert.Equal(t, bodies[1][i*1024], byte('a'+i%26))
	}
}

// Guards against requests that start early while the server shuts down, which then closes the connection in front of them.
func TestStopEndsTheEarlyStart(t *testing.T) {
	var started atomic.Int32
	release := make(chan struct{})
	p, c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		started.Add(1)
		<-release
		fmt.Fprint(w, r.URL.Path)
	})
	p.Stop()
	write(t, c, get("/1"), get("/2"), get("/3"))
	time.AfterFunc(50*time.Millisecond, func() {
		assert.Check(t, started.Load() == 1)
		close(release)
	})
	assert.DeepEqual(t, readBodies(t, bufio.NewReader(c), 3), []string{"/1", "/2", "/3"})
}

// Guards against a read deadline that is lost because the connection is read ahead, and against one that ends the reading.
func TestReadDeadline(t *testing.T) {
	a, b := net.Pipe()
	c := newConn(a, New(nil, nil, nil))
	defer c.Close()
	defer b.Close()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	buffer := make([]byte, 10)
	_, err := c.Read(buffer)
	var timeout net.Error
	assert.Assert(t, errorsAs(err, &timeout) && timeout.Timeout())
	go b.Write([]byte("x"))
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	n, err := c.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "x")
	b.Close()
	_, err = c.Read(buffer)
	assert.Equal(t, err, io.EOF)
}

// Guards against a goroutine and a buffer for each connection whose client sends one request at a time.
func TestConnectionWithoutPipeliningHasOneGoroutine(t *testing.T) {
	const conns = 50
	_, first := serve(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) })
	write(t, first, get("/1"))
	readBodies(t, bufio.NewReader(first), 1)
	before := runtime.NumGoroutine()
	clients := []net.Conn{first}
	for range conns {
		c, err := net.Dial("tcp", first.RemoteAddr().String())
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		clients = append(clients, c)
	}
	for _, c := range clients {
		reader := bufio.NewReader(c)
		for range 3 {
			write(t, c, get("/1"))
			assert.DeepEqual(t, readBodies(t, reader, 1), []string{"/1"})
			write(t, c, post("/2", "body"))
			assert.DeepEqual(t, readBodies(t, reader, 1), []string{"/2"})
		}
	}
	// net/http has one goroutine for each connection, and those that noticed a client's departure may still be ending.
	grown := runtime.NumGoroutine() - before
	assert.Assert(t, grown <= conns+conns/10, "%d goroutines more for %d connections", grown, conns)
}

func errorsAs(err error, target *net.Error) bool {
	e, ok := err.(net.Error)
	*target = e
	return ok
}

// FuzzSplitter guards against requests that are found where net/http sees others: each request that is found must be the next
// one that the parser of net/http reads from the same bytes, however they are cut.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte(get("/1")+post("/2", "GET /no HTTP/1.1\r\n\r\n")+get("/3")), uint8(7))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"+get("/2")), uint8(1))
	f.Add([]byte("GET / HTTP/1.1\nHost: h\n\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"), uint8(3))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, data []byte, cut uint8) {
		s := &splitter{}
		var found []seen
		for rest := data; len(rest) > 0; {
			n := min(int(cut)+1, len(rest))
			found = append(found, s.feed(rest[:n])...)
			rest = rest[n:]
		}
		reader := bufio.NewReader(bytes.NewReader(data))
		for _, r := range found {
			want, err := http.ReadRequest(reader)
			if err != nil || want.Method != r.Method || want.RequestURI != r.RequestURI || want.Host != r.Host {
				t.Fatalf("found %s %s, net/http reads %v (%v)", r.Method, r.RequestURI, want, err)
			}
			if _, err := io.Copy(io.Discard, want.Body); err != nil && startable(r.Request) {
				t.Fatalf("startable request with a broken body: %v", err)
			}
		}
	})
}

// Guards against HTTP/2 or other connections that are treated as read ahead.
func TestOtherConnectionsAreServedDirectly(t *testing.T) {
	p := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }), nil, nil)
	rec := newRecorder(func() {})
	p.ServeHTTP(rec, (&http.Request{ProtoMajor: 2}).WithContext(context.Background()))
	assert.Equal(t, rec.status, http.StatusTeapot)
}
