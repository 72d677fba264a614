package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echo struct{ Text string }

// newServerAndClient starts a server with the method "echo" and returns it with a client and the server's address.
func newServerAndClient(t *testing.T) (*Server, *Client, string) {
	s := NewServer()
	Register(s, "echo", func(_ context.Context, _ string, r echo) (echo, error) { return r, nil })
	h := httptest.NewServer(s)
	c := NewClient(nil)
	t.Cleanup(func() { c.Close(); s.Close(); h.Close() })
	return s, c, h.Listener.Addr().String()
}

func callEcho(c *Client, address, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var r echo
	err := c.Call(ctx, address, "echo", echo{text}, &r)
	return r.Text, err
}

// Guards against errors that lose the step, the peer, the code or the details between server and caller.
func TestErrorsKeepStepPeerAndCode(t *testing.T) {
	s, c, address := newServerAndClient(t)
	Register(s, "refuse", func(context.Context, string, echo) (echo, error) {
		return echo{}, errors.WithMessage(&RemoteError{Code: CodeNotLeader, Message: "elsewhere", Data: "1.2.3.4:5"}, "step")
	})
	tests := []struct {
		desc, method string
		params       any
		want         RemoteError
	}{
		{"typed error", "refuse", echo{}, RemoteError{CodeNotLeader, "elsewhere", "1.2.3.4:5"}},
		{"unknown method", "none", echo{}, RemoteError{CodeNoMethod, "no method none", ""}},
		{"params of another type", "echo", []int{1}, RemoteError{Code: CodeInvalid}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			err := c.Call(t.Context(), address, test.method, test.params, nil)
			var peer *PeerError
			var remote *RemoteError
			assert.Assert(t, errors.As(err, &peer) && errors.As(err, &remote), "%v", err)
			assert.Equal(t, peer.Peer+peer.Step, address+test.method)
			assert.Equal(t, remote.Code, test.want.Code)
			if test.want.Message != "" {
				assert.Equal(t, *remote, test.want)
			}
		})
	}
}

// Guards against a message above the limit that closes the connection, so that other calls on it fail, or that leaves its
// own caller waiting.
func TestMessageAboveTheLimit(t *testing.T) {
	s, c, address := newServerAndClient(t)
	large := strings.Repeat("x", MaxMessageBytes)
	Register(s, "large", func(context.Context, string, echo) (echo, error) { return echo{large}, nil })
	_, err := callEcho(c, address, "first")
	assert.NilError(t, err)
	conn := c.peers[address].conn
	_, err = callEcho(c, address, large)
	assert.ErrorIs(t, err, ErrMessageTooLarge)
	assert.ErrorIs(t, c.Notify(t.Context(), address, "echo", echo{large}), ErrMessageTooLarge)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var remote *RemoteError
	assert.Assert(t, errors.As(c.Call(ctx, address, "large", echo{}, nil), &remote))
	_, err = callEcho(c, address, "last")
	assert.NilError(t, err)
	assert.Assert(t, c.peers[address].conn == conn)
}

// Guards against a connection attempt that succeeds, blocks or uses unbounded memory when the peer has another protocol
// version, does not speak the protocol, closes the connection or sends an endless response.
func TestPeersOfAnotherKind(t *testing.T) {
	endless := func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n")
		for n := 0; n < 64<<20; n += 4096 {
			if _, err := io.WriteString(conn, "X: "+strings.Repeat("x", 4091)+"\r\n"); err != nil {
				return
			}
		}
		io.WriteString(conn, "\r\n")
	}
	text := func(s string) func(net.Conn) { return func(conn net.Conn) { io.WriteString(conn, s) } }
	tests := []struct {
		desc  string
		serve func(net.Conn)
		want  string
	}{
		{"another version", text("HTTP/1.1 426 Upgrade Required\r\nUpgrade: rosemaryline-rpc/2\r\nContent-Length: 0\r\n\r\n"), `peer offers "rosemaryline-rpc/2"`},
		{"garbage", text("\x16\x03\x01\x00garbage\r\n\r\n"), "malformed"},
		{"closes", func(net.Conn) {}, "EOF"},
		{"status 000", text("HTTP/1.1 000 S\r\nUpgrade: rosemaryline-rpc/2\r\n\r\n"), "000"},
		{"status 000 and another response", text("HTTP/1.1 000 S\r\n\r\nHTTP/1.1 101 Switching Protocols\r\nUpgrade: rosemaryline-rpc/2\r\n\r\n"), "000"},
		{"blank in a name", text("HTTP/1.1 101 Switching Protocols\r\nUpgrade: rosemaryline-rpc/2\r\nX Field: a\r\n\r\n"), "X Field"},
		{"control byte in a name", text("HTTP/1.1 101 Switching Protocols\r\nUpgrade: rosemaryline-rpc/2\r\nX\x01Field: a\r\n\r\n"), "malformed"},
		{"header cut", text("HTTP/1.1 101 Switching Protocols\r\nUpgrade: rosemaryline-rpc/2\r\n"), "EOF"},
		{"endless header", endless, "EOF"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err == nil {
					bufio.NewReader(conn).ReadString('\n')
					test.serve(conn)
					conn.Close()
				}
			}()
			c := NewClient(nil)
			defer c.Close()
			_, err = callEcho(c, listener.Addr().String(), "x")
			var peer *PeerError
			assert.Assert(t, errors.As(err, &peer))
			assert.Equal(t, peer.Step, "connect")
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Guards against a server that accepts another protocol version, and against garbage after an accepted upgrade that makes
// the server unusable for other clients.
func TestServerRefusesGarbage(t *testing.T) {
	_, c, address := newServerAndClient(t)
	for _, upgrade := range []string{"", "rosemaryline-rpc/1", "websocket"} {
		req, _ := http.NewRequest("GET", "http://"+address+Path, nil)
		req.Header.Set("Upgrade", upgrade)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusUpgradeRequired)
		assert.Equal(t, resp.Header.Get("Upgrade"), Protocol)
	}
	http.DefaultClient.CloseIdleConnections()
	tooLarge := string(binary.AppendUvarint(nil, MaxMessageBytes+1))
	for _, garbage := range []string{"\x05hello", "\x02{}", tooLarge, strings.Repeat("\xff", 20), "\x04null", "\x30" + `{"jsonrpc":"2.0","method":"echo","params":null}`} {
		conn := dialUpgraded(t, address)
		_, err := io.WriteString(conn, garbage)
		assert.NilError(t, err)
		conn.(*net.TCPConn).CloseWrite()
		_, err = io.Copy(io.Discard, conn) // returns when the server closes the connection
		assert.NilError(t, err)
		conn.Close()
	}
	text, err := callEcho(c, address, "still there")
	assert.NilError(t, err)
	assert.Equal(t, text, "still there")
}

// dialUpgraded opens a connection to the server and upgrades it.
func dialUpgraded(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	reader, err := upgrade(conn, address)
	assert.NilError(t, err)
	assert.Equal(t, reader.Buffered(), 0)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

// Guards against handlers that outlive their connection and accumulate while a peer reconnects.
func TestHandlerEndsWithItsConnection(t *testing.T) {
	s, c, address := newServerAndClient(t)
	ended := make(chan struct{})
	Register(s, "wait", func(ctx context.Context, _ string, _ echo) (echo, error) {
		<-ctx.Done()
		close(ended)
		return echo{}, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, c.Call(ctx, address, "wait", echo{}, nil), context.DeadlineExceeded)
	c.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the handler is still running after its connection closed")
	}
}

// Guards against calls that keep failing on a connection whose peer neither reads nor responds. The failed write must close
// the connection; otherwise each later call fails on it until the idle timeout.
func TestFrozenPeerIsDialedAnew(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			bufio.NewReader(conn).ReadString('\n')
			io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
			accepted <- conn
		}
	}()
	c := NewClient(nil)
	defer c.Close()
	address := listener.Addr().String()
	// The message is larger than the socket buffers even when it is compressed.
	noise := make([]byte, 4<<20)
	rand.NewChaCha8([32]byte{}).Read(noise)
	assert.Assert(t, c.Call(t.Context(), address, "echo", echo{hex.EncodeToString(noise)[:7<<20]}, nil) != nil)
	assert.NilError(t, c.Notify(t.Context(), address, "echo", echo{}))
	for range 2 {
		(<-accepted).Close()
	}
}

// Guards against a connection that leaks because its client was closed while the connection was being opened.
func TestCloseWhileConnecting(t *testing.T) {
	_, c, address := newServerAndClient(t)
	failed := make(chan error)
	go func() {
		_, err := callEcho(c, address, "x")
		failed <- err
	}()
	c.Close()
	<-failed // either result is valid; goleak detects a connection that stays open
	_, err := callEcho(c, address, "x")
	assert.ErrorIs(t, err, ErrClientClosed)
}

// Guards against messages that are read differently from what was written, and against extra bytes after the JSON text of a
// message that are read as the next message.
func TestCodecKeepsMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOf(rapid.String()).Draw(t, "messages")
		var stream bytes.Buffer
		for _, text := range sent {
			if err := (boundedCodec{}).WriteObject(&stream, text); err != nil {
				t.Fatal(err)
			}
		}
		reader := bufio.NewReader(&stream)
		for _, text := range sent {
			var got string
			if err := (boundedCodec{}).ReadObject(reader, &got); err != nil || got != strings.ToValidUTF8(text, "\ufffd") {
				t.Fatalf("%q became %q: %v", text, got, err)
			}
		}
	})
	var v any
	padded := "1" + strings.Repeat(" ", 5000) + "2"
	frame := string(binary.AppendUvarint(nil, uint64(len(padded)))) + padded
	assert.ErrorContains(t, boundedCodec{}.ReadObject(bufio.NewReader(strings.NewReader(frame)), &v), "after top-level value")
}

func FuzzReadObject(f *testing.F) {
	f.Add([]byte("\x02{}"))
	f.Add(binary.AppendUvarint(nil, 1<<62))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		for i := 0; ; i++ {
			var v any
			if (boundedCodec{}).ReadObject(reader, &v) != nil {
				return
			}
			if i > len(data) {
				t.Fatal(fmt.Sprint("read more messages than there are bytes: ", i))
			}
		}
	})
}

// Guards against a message that a handler does not expect and that takes the whole process down.
func TestPanicOfAHandlerEndsOneCall(t *testing.T) {
	s, c, address := newServerAndClient(t)
	var reported atomic.Int32
	s.OnPanic = func(value any, stack []byte) {
		if value == "unexpected" && len(stack) > 0 {
			reported.Add(1)
		}
	}
	Register(s, "panic", func(context.Context, string, echo) (echo, error) { panic("unexpected") })
	err := c.Call(t.Context(), address, "panic", echo{}, nil)
	assert.ErrorContains(t, err, "handler failed: unexpected")
	assert.Equal(t, reported.Load(), int32(1))
	text, err := callEcho(c, address, "still here")
	assert.NilError(t, err)
	assert.Equal(t, text, "still here")
}
