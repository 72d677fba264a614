package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is what a client sends.
type request struct {
	method, host, path, key string
	body                    []byte
	deadline                time.Duration
	kind                    string
}

// client sends requests on kept connections to the outbound address of a machine.
type client struct {
	m    *machine
	conn net.Conn
	r    *bufio.Reader
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (q *request) bytes(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n", q.method, q.path, q.host, id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "X-Api-Key: %s\r\n", q.key)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(q.body))
	b.Write(q.body)
	return b.Bytes()
}

// do sends a request and waits for its answer; it records both. The answer is checked as a client would.
func (c *client) do(q *request) *sent {
	rec := c.m.f.rec
	s := &sent{id: newID(""), kind: q.kind}
	rec.send(s, c.m.name)
	status, problem := c.exchange(q, s.id)
	if status == 0 || problem != "" {
		c.drop()
	}
	rec.end(s, status, problem)
	return s
}

func (c *client) exchange(q *request, id string) (status int, problem string) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.m.f.addr(c.m.ip, portOutbound), time.Second)
		if err != nil {
			return 0, "no connection"
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	if _, err := c.conn.Write(q.bytes(id)); err != nil {
		return 0, "write: " + err.Error()
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		return 0, "read: " + err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "body: " + err.Error()
	}
	if resp.Close {
		c.drop()
	}
	return resp.StatusCode, checkAnswer(resp, body, id, q.method)
}

// checkAnswer returns what breaks the rule MIXED in an answer.
func checkAnswer(resp *http.Response, body []byte, id, method string) string {
	got := resp.Header.Get("X-Request-Id")
	if got != "" && got != id {
		return "MIXED: answer of another request " + got
	}
	sig := resp.Header.Get("X-Response-Signature")
	if resp.StatusCode/100 == 2 && method != "HEAD" {
		name, _, _ := strings.Cut(sig, ".")
		if sig == "" {
			return "MIXED: success without signature"
		}
		if signature(id, name, body) != sig {
			return "MIXED: body does not match the signature"
		}
	}
	return ""
}
