package main

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkFault is what a link does to the bytes that it carries.
type linkFault int

const (
	linkSound   linkFault = iota
	linkSlow              // every piece is late
	linkSilent            // nothing passes, and nobody is told
	linkDeafOut           // what the process sends back is lost
	linkDeafIn            // what the process is sent is lost
	linkReset             // connections are reset, new ones too
	linkFaults
)

// linkDelay is the delay of a slow link.
const linkDelay = 120 * time.Millisecond

// link is a loopback proxy in front of a process's peer listener.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex // guards the fields below
	fault linkFault
	conns map[net.Conn]struct{}
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &link{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go l.accept()
	t.Cleanup(func() {
		listener.Close()
		l.set(linkReset)
	})
	return l
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn)
	}
}

func (l *link) carry(in net.Conn) {
	out, err := net.Dial("tcp", l.target)
	if err != nil || !l.add(in, out) {
		closeHard(in)
		if out != nil {
			closeHard(out)
		}
		return
	}
	go l.copy(out, in, linkDeafIn)
	l.copy(in, out, linkDeafOut)
}

// add keeps the connections where the link takes any.
func (l *link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
	return l.fault != linkReset
}

// copy carries one direction. A direction that lost bytes never carries any again, as a path that was cut would not
// deliver the middle of a stream.
func (l *link) copy(to, from net.Conn, deaf linkFault) {
	defer closeHard(to)
	defer closeHard(from)
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch fault := l.now(); {
		case fault == linkSilent, fault == deaf:
			lost = true
		case fault == linkSlow:
			time.Sleep(linkDelay)
		}
		if lost {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *link) now() linkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

func (l *link) set(fault linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	if fault != linkReset {
		return
	}
	for c := range l.conns {
		closeHard(c)
	}
	clear(l.conns)
}

// closeHard closes a connection with a reset.
func closeHard(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Guards against a link that does not do what the soak takes it to do.
func TestSoakLink(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	l := newLink(t, listener.Addr().String())
	conn, err := net.Dial("tcp", l.listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	echo := func() error {
		assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Second)))
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	assert.NilError(t, echo())
	l.set(linkDeafOut)
	assert.ErrorContains(t, echo(), "timeout")
	l.set(linkReset)
	assert.Assert(t, echo() != nil)
}
