package control

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"
)

// MaxMessageBytes is the maximum length of the text of a message between marshals.
const MaxMessageBytes = 1024

// messagePrefix starts every message between marshals; 1 is the version of the protocol.
var messagePrefix = []byte("ARROWCLEAT/1 ")

// AppendPeerMessage appends an encoded message between marshals to b: the number of its sender and its text.
func AppendPeerMessage(b []byte, from int, text string) []byte {
	b = strconv.AppendInt(append(b, messagePrefix...), int64(from), 10)
	return append(append(b, ' '), text...)
}

// ParsePeerMessage decodes a message between marshals.
func ParsePeerMessage(b []byte) (from int, text string, err error) {
	rest, ok := bytes.CutPrefix(b, messagePrefix)
	if !ok {
		return 0, "", errors.New("not a peer message of this protocol version")
	}
	number, body, ok := bytes.Cut(rest, []byte(" "))
	from, err = strconv.Atoi(string(number))
	if !ok || err != nil || from < 0 || len(body) > MaxMessageBytes {
		return 0, "", fmt.Errorf("malformed peer message: %.40q", rest)
	}
	return from, string(body), nil
}

// PeerTransport sends and receives messages between marshals over UDP. Messages may be lost, duplicated or delayed.
type PeerTransport struct {
	Number        int                  // this marshal's
	Addresses     map[int]*net.UDPAddr // of the other marshals, by number
	Conn          *net.UDPConn
	OnPeerMessage func(from int, text string)
	OnError       func(err error) // an invalid message was received, or one to send is too long
}

// receiveRetryDelay is the wait after a failed receive, so that a persistent error doesn't occupy the processor.
const receiveRetryDelay = time.Millisecond

// Run receives messages until the socket is closed. A message whose sender is not a known peer is reported to OnError.
func (p *PeerTransport) Run() {
	b := make([]byte, len(messagePrefix)+32+MaxMessageBytes+1)
	for {
		n, _, err := p.Conn.ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receiveRetryDelay)
			continue // for example, an earlier message was sent to a closed port
		}
		from, text, err := ParsePeerMessage(b[:n])
		if err == nil && (p.Addresses[from] == nil || from == p.Number) {
			err = fmt.Errorf("message from marshal %d, which is not a known peer", from)
		}
		if err != nil {
			p.OnError(err)
			continue
		}
		p.OnPeerMessage(from, text)
	}
}

// SendToPeer sends a message to one peer, or to all peers if to is negative.
func (p *PeerTransport) SendToPeer(to int, text string) {
	if len(text) > MaxMessageBytes {
		p.OnError(fmt.Errorf("peer message not sent: its %d bytes exceed the limit of %d", len(text), MaxMessageBytes))
		return
	}
	b := AppendPeerMessage(nil, p.Number, text)
	for number, address := range p.Addresses {
		if to < 0 || to == number {
			p.Conn.WriteToUDP(b, address) // errors are ignored: messages may be lost anyway
		}
	}
}

// Close closes the socket.
func (p *PeerTransport) Close() error { return p.Conn.Close() }
