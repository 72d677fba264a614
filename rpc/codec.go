package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// ErrMessageTooLarge reports a message above MaxMessageBytes. A sender gets it before anything is written, so the connection
// stays usable for other calls.
var ErrMessageTooLarge = errors.New("message is too large")

// boundedCodec writes a message as a varint with its length in bytes, followed by its JSON text, which compress may have
// compressed. It rejects a message above MaxMessageBytes before it allocates memory for it, and a message whose JSON text
// or compressed data is shorter or longer than the length.
type boundedCodec struct {
	traffic *Traffic
	peer    string // address of the peer
}

func (c boundedCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageBytes {
		return errors.Wrapf(ErrMessageTooLarge, "%d bytes", len(data))
	}
	method := methodOf(data)
	if data, err = compress(data); err != nil {
		return err
	}
	sentMessages.Add(1)
	prefix := binary.AppendUvarint(nil, uint64(len(data)))
	c.traffic.Add(method, c.peer, len(prefix)+len(data))
	if _, err := stream.Write(prefix); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := peekSize(stream)
	if err != nil {
		return err
	}
	if size > MaxMessageBytes {
		return errors.Wrapf(ErrMessageTooLarge, "%d bytes", size)
	}
	if _, err := binary.ReadUvarint(stream); err != nil {
		return err
	}
	var text bytes.Buffer
	if _, err := io.CopyN(&text, stream, int64(size)); err != nil {
		return err
	}
	data, err := decompress(text.Bytes())
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// peekSize returns the length prefix of the next message in bytes without consuming it.
func peekSize(stream *bufio.Reader) (uint64, error) {
	for n := 1; n <= binary.MaxVarintLen64; n++ {
		prefix, err := stream.Peek(n)
		if err != nil {
			return 0, err
		}
		if prefix[n-1] < 0x80 {
			size, _ := binary.Uvarint(prefix)
			return size, nil
		}
	}
	return 0, errors.New("message length is not a varint")
}

// Counters of the messages that this process sent, exported at /debug/vars. Bytes don't include TLS, TCP and IP overhead.
var (
	sentBytes    = expvar.NewInt("rosemaryline_rpc_sent_bytes_total")
	sentMessages = expvar.NewInt("rosemaryline_rpc_sent_messages_total")
)

// deadlineConn sets a new deadline before each read and write. A failed write closes the connection.
type deadlineConn struct {
	net.Conn
	reader io.Reader // reads from Conn, after the bytes that the handshake buffered
}

func (c *deadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.reader.Read(p)
}

func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	sentBytes.Add(int64(n))
	if err != nil {
		// After a partly written message the peer cannot find the start of the next one.
		c.Conn.Close()
	}
	return n, err
}

func newStream(conn net.Conn, reader io.Reader, traffic *Traffic) jsonrpc2.ObjectStream {
	wrapped := &deadlineConn{Conn: conn, reader: reader}
	return jsonrpc2.NewBufferedStream(wrapped, boundedCodec{traffic: traffic, peer: conn.RemoteAddr().String()})
}
