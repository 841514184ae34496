package control

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"
)

// MostTold is the most bytes of text in one message between marshals.
const MostTold = 1024

var magic = []byte("ARROWCLEAT/1 ")

// AppendTold writes a message between marshals: who it is from, and its text.
func AppendTold(b []byte, from int, text string) []byte {
	b = strconv.AppendInt(append(b, magic...), int64(from), 10)
	return append(append(b, ' '), text...)
}

// ParseTold reads a message between marshals.
func ParseTold(b []byte) (from int, text string, err error) {
	rest, ok := bytes.CutPrefix(b, magic)
	if !ok {
		return 0, "", errors.New("no message between marshals of this version")
	}
	number, body, ok := bytes.Cut(rest, []byte(" "))
	from, err = strconv.Atoi(string(number))
	if !ok || err != nil || from < 0 || len(body) > MostTold {
		return 0, "", fmt.Errorf("message between marshals malformed: %.40q", rest)
	}
	return from, string(body), nil
}

// Peers sends and receives messages between marshals; any of them may be lost, doubled or late.
type Peers struct {
	Number int
	To     map[int]*net.UDPAddr
	Conn   *net.UDPConn
	Told   func(from int, text string)
	Bad    func(err error)
}

// receiveAgain is the wait after a receive that failed: one that goes on failing must not take the processor.
const receiveAgain = time.Millisecond

// Run receives until the socket is closed. Who a message is from must be a known peer.
func (p *Peers) Run() {
	b := make([]byte, len(magic)+32+MostTold+1)
	for {
		n, _, err := p.Conn.ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receiveAgain)
			continue // an earlier message found nobody
		}
		from, text, err := ParseTold(b[:n])
		if err == nil && (p.To[from] == nil || from == p.Number) {
			err = fmt.Errorf("message from marshal %d, which is no peer", from)
		}
		if err != nil {
			p.Bad(err)
			continue
		}
		p.Told(from, text)
	}
}

// Tell sends to one peer, or to all where to is negative.
func (p *Peers) Tell(to int, text string) {
	if len(text) > MostTold {
		p.Bad(fmt.Errorf("a message of %d bytes, more than %d, is not sent", len(text), MostTold))
		return
	}
	b := AppendTold(nil, p.Number, text)
	for number, address := range p.To {
		if to < 0 || to == number {
			p.Conn.WriteToUDP(b, address) // it may be lost anyway
		}
	}
}

// Close closes the socket.
func (p *Peers) Close() error { return p.Conn.Close() }
