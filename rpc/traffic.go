package rpc

import (
	"bytes"
	"fmt"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Place is where a peer is, seen from this process.
type Place string

// Places of peers.
const (
	PlaceOwnDomain   Place = "own"     // the failure domain of this process
	PlaceOtherDomain Place = "other"   // another failure domain
	PlaceUnknown     Place = "unknown" // the peer is not known as a member of the fleet
)

// Traffic counts the messages and bytes that this process sends, by method and by the failure domain of the receiver. Bytes
// don't include TLS, TCP and IP overhead. A nil Traffic counts nothing. It is safe for concurrent use.
type Traffic struct {
	// Locate returns where the process with an IP address is. Nil means that no process is known.
	Locate func(ip string) Place

	counters sync.Map // trafficKey to *trafficCounters
}

type trafficKey struct {
	method string
	place  Place
}

type trafficCounters struct{ messages, bytes *metrics.Counter }

// Add counts one message to the process at address, a host and port.
func (t *Traffic) Add(method, address string, size int) {
	if t == nil {
		return
	}
	c := t.lookup(trafficKey{method, t.place(address)})
	c.messages.Inc()
	c.bytes.Add(size)
}

// AddBytes counts bytes of a message that Add counts or has counted.
func (t *Traffic) AddBytes(method, address string, size int) {
	if t == nil {
		return
	}
	t.lookup(trafficKey{method, t.place(address)}).bytes.Add(size)
}

func (t *Traffic) place(address string) Place {
	if t.Locate == nil {
		return PlaceUnknown
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return PlaceUnknown
	}
	return t.Locate(host)
}

func (t *Traffic) lookup(key trafficKey) *trafficCounters {
	if c, ok := t.counters.Load(key); ok {
		return c.(*trafficCounters)
	}
	name := func(counter string) string {
		return fmt.Sprintf("%s{method=%q,domain=%q}", counter, key.method, key.place)
	}
	c, _ := t.counters.LoadOrStore(key, &trafficCounters{
		messages: metrics.GetOrCreateCounter(name("rosemaryline_sent_messages_total")),
		bytes:    metrics.GetOrCreateCounter(name("rosemaryline_sent_bytes_total")),
	})
	return c.(*trafficCounters)
}

// replyMethod is the method under which replies to calls are counted.
const replyMethod = "reply"

// methodOf returns the method of a message as JSON text, or replyMethod for a reply.
func methodOf(text []byte) string {
	// jsonrpc2 writes the method before the parameters, behind the id and the version.
	const field, searched = `"method":"`, 96
	head := text[:min(len(text), searched)]
	i := bytes.Index(head, []byte(field))
	if i < 0 {
		return replyMethod
	}
	name, _, found := bytes.Cut(text[i+len(field):], []byte(`"`))
	if !found || len(name) > searched {
		return replyMethod
	}
	return string(name)
}
