package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is what a client saw of a request.
type result struct {
	id        string
	sent      time.Time
	ended     time.Time
	status    int // 0 without an answer
	signature string
	body      string
	err       error
}

// send sends one request on a connection of its own to the process on a machine.
func send(m *machine, method, path, id string, deadline time.Duration, body string, headers ...string) (res result) {
	res = result{id: id, sent: time.Now()}
	defer func() { res.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", m.address(portCaller), time.Second)
	if err != nil {
		res.err = err
		return res
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\nX-Api-Key: %s\r\n", method, path, routeHost, id, deadline.Milliseconds(), routeKey)
	for _, h := range headers {
		head += h + "\r\n"
	}
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		res.err = err
		return res
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		res.err = err
		return res
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	res.status, res.signature, res.body, res.err = resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(data), err
	return res
}

func (res result) String() string {
	body := res.body
	if len(body) > 60 {
		body = body[:60] + "..."
	}
	return fmt.Sprintf("%s: status %d, signature %q, body %q, %v", res.id, res.status, res.signature, strings.TrimSpace(body), res.err)
}
