package rpc

import (
	"encoding/json"
	"net"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxDatagramBytes is the size up to which a message is sent as a datagram. A larger one would be split into IP
	// fragments, and the loss of one fragment would lose the message.
	maxDatagramBytes = 1200
	// datagramVersion is the first byte of each datagram. It changes with each incompatible change of the messages.
	datagramVersion = 2
	// maxReceivedDatagram is the largest datagram that is accepted.
	maxReceivedDatagram = 64 << 10
	// receiveRetryDelay is the wait after a failed receive, so that a persistent error does not occupy the processor.
	receiveRetryDelay = 100 * time.Millisecond
)

// Datagrams sends and receives single messages without a reply over UDP. A message may be lost, late or duplicated. It costs
// no connection, so a process can send to each of thousands of peers now and then.
type Datagrams struct {
	conn    *net.UDPConn
	traffic *Traffic
}

// ListenDatagrams opens a UDP socket at address, an IP address and port. traffic may be nil.
func ListenDatagrams(address string, traffic *Traffic) (*Datagrams, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "address for datagrams")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	return &Datagrams{conn: conn, traffic: traffic}, nil
}

// Send sends a message to address, an IP address and port. It returns false if the message does not fit into a datagram or
// cannot be sent; the caller then sends it over a connection. True does not mean that it arrives.
func (d *Datagrams) Send(address, method string, message any) bool {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	data, err := encodeDatagram(message)
	if err != nil || len(data) > maxDatagramBytes {
		return false
	}
	if _, err := d.conn.WriteToUDPAddrPort(data, to); err != nil {
		return false
	}
	d.traffic.Add(method, address, len(data))
	return true
}

// Close closes the socket, which ends ReceiveDatagrams.
func (d *Datagrams) Close() { _ = d.conn.Close() }

// ReceiveDatagrams calls handle for each message until Close. Datagrams that are not a message of this version and type are
// dropped. A panic of handle ends the handling of its message; onPanic, unless nil, is called for it.
func ReceiveDatagrams[T any](d *Datagrams, handle func(T), onPanic func(value any, stack []byte)) {
	buffer := make([]byte, maxReceivedDatagram)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receiveRetryDelay)
			continue
		}
		var message T
		if decodeDatagram(buffer[:n], &message) == nil {
			handleSafely(handle, message, onPanic)
		}
	}
}

func handleSafely[T any](handle func(T), message T, onPanic func(value any, stack []byte)) {
	defer func() {
		if value := recover(); value != nil {
			handlerPanics.Inc()
			if onPanic != nil {
				onPanic(value, debug.Stack())
			}
		}
	}()
	handle(message)
}

func encodeDatagram(message any) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	data, err := compress(text)
	if err != nil {
		return nil, err
	}
	return append([]byte{datagramVersion}, data...), nil
}

func decodeDatagram(data []byte, message any) error {
	if len(data) == 0 || data[0] != datagramVersion {
		return errors.New("datagram of another version")
	}
	text, err := decompress(data[1:])
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(text, message), "datagram")
}
