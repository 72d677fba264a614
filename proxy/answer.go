package proxy

import (
	"io"
	"net/http"
	"strconv"
	"sync"
)

// copyBufferBytes is the memory that one streamed answer uses.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

// writeBody writes status and body. When the body breaks off it aborts the connection, so that the reader cannot take
// the part that it received for the whole answer.
func writeBody(w http.ResponseWriter, method string, resp *Response) {
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.Status)
	if method == http.MethodHead {
		return
	}
	if err := stream(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func stream(w http.ResponseWriter, resp *Response) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	flush := resp.ContentLength < 0
	for {
		n, readErr := resp.Body.Read(buffer[:])
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		if flush {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return err
			}
		}
	}
}
