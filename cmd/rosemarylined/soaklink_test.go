package main

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkFault is a network fault that a link simulates.
type linkFault int

const (
	linkHealthy      linkFault = iota
	linkSlow                   // delays every read by linkDelay
	linkBlackhole              // drops all bytes in both directions without closing the connections
	linkDropOutbound           // drops bytes from the process
	linkDropInbound            // drops bytes to the process
	linkReset                  // resets open and new connections
	linkFaultCount             // number of the values above
)

// linkDelay is the delay of linkSlow per read.
const linkDelay = 120 * time.Millisecond

// link is a TCP proxy on loopback in front of a process's peer listener. It simulates network faults.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex // guards the fields below
	fault linkFault
	conns map[net.Conn]struct{}
	// drop, if set, selects accepted connections whose bytes are dropped.
	drop func(net.Conn) bool
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
		go l.forward(conn)
	}
}

// forward copies both directions between an accepted connection and the process.
func (l *link) forward(in net.Conn) {
	l.mu.Lock()
	drop := l.drop
	l.mu.Unlock()
	if drop != nil && drop(in) {
		l.add(in)
		_, _ = io.Copy(io.Discard, in)
		return
	}
	out, err := net.Dial("tcp", l.target)
	if err != nil || !l.add(in, out) {
		resetConnection(in)
		if out != nil {
			resetConnection(out)
		}
		return
	}
	go l.copy(out, in, linkDropInbound)
	l.copy(in, out, linkDropOutbound)
}

// add tracks connections, so that set can reset them. It returns false if the link resets new connections.
func (l *link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = struct{}{}
	}
	return l.fault != linkReset
}

// copy copies the bytes of one direction. dropFault is the fault that drops this direction only. After it dropped bytes,
// it drops all that follow, because TCP never delivers a stream with a gap.
func (l *link) copy(to, from net.Conn, dropFault linkFault) {
	defer resetConnection(to)
	defer resetConnection(from)
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch fault := l.currentFault(); {
		case fault == linkBlackhole, fault == dropFault:
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

func (l *link) currentFault() linkFault {
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
		resetConnection(c)
	}
	clear(l.conns)
}

// resetConnection closes a connection with a TCP RST.
func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// TestSoakLink guards against a link that does not simulate the faults that the soak test relies on.
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
	l.set(linkDropOutbound)
	assert.ErrorContains(t, echo(), "timeout")
	l.set(linkReset)
	assert.Assert(t, echo() != nil)
}
