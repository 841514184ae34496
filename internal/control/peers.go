package control

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"
)

// MaxMessageBytes is the most bytes of text in one message between marshals.
const MaxMessageBytes = 1024

var messagePrefix = []byte("ARROWCLEAT/1 ")

// AppendPeerMessage writes a message between marshals: who it is from, and its text.
func AppendPeerMessage(b []byte, from int, text string) []byte {
	b = strconv.AppendInt(append(b, messagePrefix...), int64(from), 10)
	return append(append(b, ' '), text...)
}

// ParsePeerMessage reads a message between marshals.
func ParsePeerMessage(b []byte) (from int, text string, err error) {
	rest, ok := bytes.CutPrefix(b, messagePrefix)
	if !ok {
		return 0, "", errors.New("no message between marshals of this version")
	}
	number, body, ok := bytes.Cut(rest, []byte(" "))
	from, err = strconv.Atoi(string(number))
	if !ok || err != nil || from < 0 || len(body) > MaxMessageBytes {
		return 0, "", fmt.Errorf("message between marshals malformed: %.40q", rest)
	}
	return from, string(body), nil
}

// PeerTransport sends and receives messages between marshals; any of them may be lost, doubled or late.
type PeerTransport struct {
	Number        int
	Addresses     map[int]*net.UDPAddr
	Conn          *net.UDPConn
	OnPeerMessage func(from int, text string)
	OnError       func(err error)
}

// receiveRetryDelay is the wait after a receive that failed: one that goes on failing must not take the processor.
const receiveRetryDelay = time.Millisecond

// Run receives until the socket is closed. Who a message is from must be a known peer.
func (p *PeerTransport) Run() {
	b := make([]byte, len(messagePrefix)+32+MaxMessageBytes+1)
	for {
		n, _, err := p.Conn.ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receiveRetryDelay)
			continue // an earlier message found nobody
		}
		from, text, err := ParsePeerMessage(b[:n])
		if err == nil && (p.Addresses[from] == nil || from == p.Number) {
			err = fmt.Errorf("message from marshal %d, which is no peer", from)
		}
		if err != nil {
			p.OnError(err)
			continue
		}
		p.OnPeerMessage(from, text)
	}
}

// Tell sends to one peer, or to all where to is negative.
func (p *PeerTransport) Tell(to int, text string) {
	if len(text) > MaxMessageBytes {
		p.OnError(fmt.Errorf("a message of %d bytes, more than %d, is not sent", len(text), MaxMessageBytes))
		return
	}
	b := AppendPeerMessage(nil, p.Number, text)
	for number, address := range p.Addresses {
		if to < 0 || to == number {
			p.Conn.WriteToUDP(b, address) // it may be lost anyway
		}
	}
}

// Close closes the socket.
func (p *PeerTransport) Close() error { return p.Conn.Close() }
