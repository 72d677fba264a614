package proxy

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// copyBufferBytes is the size of the buffer that copies one response body.
const copyBufferBytes = 32 << 10

// writeStallTimeout limits one write to a caller. Without it, a caller that vanished or does not read would hold its
// slot.
const writeStallTimeout = 10 * time.Second

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

// writeBody writes status and body. If the body breaks off, it aborts the connection, so that the reader cannot mistake
// the partial body for a complete response.
func writeBody(w http.ResponseWriter, method string, resp *Response, budget *ByteBudget) {
	if resp.ContentLength >= 0 && method != http.MethodHead && resp.Status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.Status)
	if method == http.MethodHead {
		return
	}
	if err := streamBody(w, resp, budget); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func streamBody(w http.ResponseWriter, resp *Response, budget *ByteBudget) error {
	buffer, free := budget.copyBuffer()
	defer free()
	flush := resp.ContentLength < 0
	controller := http.NewResponseController(w)
	defer controller.SetWriteDeadline(time.Time{})
	for {
		n, readErr := resp.Body.Read(buffer)
		if n > 0 {
			// Only test writers lack write deadlines; the writers of net/http have them.
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
