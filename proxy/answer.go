package proxy

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// copyBufferBytes is the memory that one streamed answer uses.
const copyBufferBytes = 32 << 10

// writeStallTimeout bounds one write to a caller. A caller that vanished or reads nothing would hold the slot otherwise.
const writeStallTimeout = 10 * time.Second

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

// writeBody writes status and body. When the body breaks off it aborts the connection, so that the reader cannot take
// the part that it received for the whole answer.
func writeBody(w http.ResponseWriter, method string, resp *Response) {
	if resp.ContentLength >= 0 && method != http.MethodHead && resp.Status != http.StatusNotModified {
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
	controller := http.NewResponseController(w)
	defer controller.SetWriteDeadline(time.Time{})
	for {
		n, readErr := resp.Body.Read(buffer[:])
		if n > 0 {
			// A writer without deadlines belongs to a test; net/http's have them.
			_ = controller.SetWriteDeadline(time.Now().Add(writeStallTimeout))
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
			if err := controller.Flush(); err != nil {
				return err
			}
		}
	}
}
