package rpc

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// boundedCodec refuses a message above MaxMessageBytes before it allocates memory for it.
type boundedCodec struct{ inner jsonrpc2.VarintObjectCodec }

func (c boundedCodec) WriteObject(stream io.Writer, obj any) error {
	return c.inner.WriteObject(stream, obj)
}

func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := peekSize(stream)
	if err != nil {
		return err
	}
	if size > MaxMessageBytes {
		return errors.Errorf("message of %d bytes exceeds %d", size, MaxMessageBytes)
	}
	return c.inner.ReadObject(stream, v)
}

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

// deadlineConn sets a fresh deadline before each read and write.
type deadlineConn struct {
	net.Conn
	reader io.Reader
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
	return c.Conn.Write(p)
}

func newStream(conn net.Conn, reader io.Reader) jsonrpc2.ObjectStream {
	wrapped := &deadlineConn{Conn: conn, reader: reader}
	return jsonrpc2.NewBufferedStream(wrapped, boundedCodec{})
}
